use std::net::SocketAddrV4;

use usher_config::{Object, Write};
use usher_members::Proposal;
use usher_types::{Message, Outcome, Packet, RequestId, RequestKey, Roster, Version};

use crate::backend::Order;
use crate::effect::{Taken, Transfers};
use crate::fault::Fault;

/// Name of a machine.
pub(crate) type Name = String;

/// Something that happens at a time of the run.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "most of what is due is of the largest variant"
)]
pub(crate) enum Due {
    /// What happens on one machine to the process of an incarnation.
    On(Name, u64, Local),
    /// A packet reaches its caller.
    ToCaller(Packet),
    /// The time-out of a handover.
    TimedOut(u64),
    /// A fault begins.
    Fault(Fault),
    /// A fault ends.
    End(Ending),
    /// Writes of operators reach the store.
    Operator(Vec<Write>),
    /// The next request of a load.
    Request(usize),
    /// A timer of a flow's caller.
    CallerTimer(usize),
    /// A caller repeats a request that has no answer.
    Resend(RequestKey),
    /// The fabric sends no more packets to a balancer.
    Withdraw(Name),
}

/// What happens on one machine.
#[derive(Debug)]
pub(crate) enum Local {
    Message(SocketAddrV4, Message),
    Packet(Packet),
    Timer,
    Poll,
    PeerObjects(Vec<Object>),
    JoinFleet,
    ReadRoster(Proposal, Option<Vec<Version>>),
    WriteRoster(Write, Roster),
    Written(Roster),
    Start(Order),
    EndRun(Order),
    Result(RequestId, RunResult),
    Handover(u64, Name, Transfers),
    HandedOver(Name, Option<Taken>),
}

/// What became of a run.
#[derive(Debug)]
pub(crate) enum RunResult {
    Finished(Outcome),
    Refused,
}

/// A fault that ends.
#[derive(Debug)]
pub(crate) enum Ending {
    StoreDown,
    StoreStale,
    Backend(Name),
}

impl Local {
    /// The backend server outlives the process of the agent.
    pub(crate) fn is_of_backend(&self) -> bool {
        matches!(self, Self::Start(_) | Self::EndRun(_))
    }

    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Message(..) => "message",
            Self::Packet(_) => "packet",
            Self::Timer => "timer",
            Self::Poll => "poll",
            Self::PeerObjects(_) => "peer-objects",
            Self::JoinFleet => "join-fleet",
            Self::ReadRoster(..) => "read-roster",
            Self::WriteRoster(..) => "write-roster",
            Self::Written(_) => "written",
            Self::Start(_) => "start",
            Self::EndRun(_) => "end-run",
            Self::Result(..) => "result",
            Self::Handover(..) => "handover",
            Self::HandedOver(..) => "handed-over",
        }
    }
}
