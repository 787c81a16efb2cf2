use std::net::SocketAddrV4;

use usher_config::{Object, Write};
use usher_members::Proposal;
use usher_types::{Message, Outcome, Packet, RequestId, RequestKey, Roster, Version};

use crate::backend::RunRequest;
use crate::effect::{HandoverReply, HandoverRequest};
use crate::fault::Fault;

/// Name of a host or an instance.
pub(crate) type MachineName = String;

/// Event in the queue of the simulation.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "most scheduled events are of the largest variant"
)]
pub(crate) enum ScheduledEvent {
    /// An event on one machine for the process with this incarnation.
    Machine(MachineName, u64, MachineEvent),
    /// A packet arrives at its caller.
    CallerPacket(Packet),
    /// The handover call with this number times out.
    HandoverTimeout(u64),
    /// A fault begins.
    Fault(Fault),
    /// A fault ends.
    EndFault(Ending),
    /// Writes of operators reach the store.
    OperatorWrites(Vec<Write>),
    /// The next request of the load with this index is due.
    Request(usize),
    /// The timer of the caller's flow with this index expires.
    CallerTimer(usize),
    /// A caller repeats a request that has no answer.
    Resend(RequestKey),
    /// The fabric stops sending packets to a balancer.
    Withdraw(MachineName),
}

/// Event on one machine.
#[derive(Debug)]
pub(crate) enum MachineEvent {
    Message(SocketAddrV4, Message),
    Packet(Packet),
    Timer,
    /// The process reads the store.
    Poll,
    /// Objects that the process fetched from another one at its start.
    PeerObjects(Vec<Object>),
    /// The process writes an object again that the store has lost.
    WriteAgain,
    /// A balancer writes its entry into the fleet.
    JoinFleet,
    /// The first step of a roster change; its result is written by `WriteRoster`.
    ReadRoster(Proposal, Option<Vec<Version>>),
    WriteRoster(Write, Roster),
    /// The answer to a successful roster write arrives at the writer.
    RosterWritten(Roster),
    StartRun(RunRequest),
    EndRun(RunRequest),
    /// The backend server answers a run request.
    BackendAnswer(RequestId, RunResult),
    /// A handover arrives; its call number and sender come first.
    Handover(u64, MachineName, HandoverRequest),
    /// Receiver and answer of a handover; `None` if it was refused or timed out.
    HandedOver(MachineName, Option<HandoverReply>),
}

/// Result of a run request.
#[derive(Debug)]
pub(crate) enum RunResult {
    Finished(Outcome),
    Refused,
}

/// Fault whose duration is over.
#[derive(Debug)]
pub(crate) enum Ending {
    StoreDown,
    StoreStale,
    Backend(MachineName),
}

impl MachineEvent {
    /// Whether the event is for the backend server, which outlives the agent's process.
    pub(crate) fn is_for_backend(&self) -> bool {
        matches!(self, Self::StartRun(_) | Self::EndRun(_))
    }

    /// Name of the event in the trace of the run.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Message(..) => "message",
            Self::Packet(_) => "packet",
            Self::Timer => "timer",
            Self::Poll => "poll",
            Self::PeerObjects(_) => "peer-objects",
            Self::WriteAgain => "write-again",
            Self::JoinFleet => "join-fleet",
            Self::ReadRoster(..) => "read-roster",
            Self::WriteRoster(..) => "write-roster",
            Self::RosterWritten(_) => "written",
            Self::StartRun(_) => "start",
            Self::EndRun(_) => "end-run",
            Self::BackendAnswer(..) => "result",
            Self::Handover(..) => "handover",
            Self::HandedOver(..) => "handed-over",
        }
    }
}
