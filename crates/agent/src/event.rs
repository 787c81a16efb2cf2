use std::net::SocketAddrV4;

use usher_types::{FlowId, HostId, Message, Outcome, Request, RequestId, Slots, Version};

use crate::View;

/// Input of an agent from the runtime.
#[derive(Debug, Clone)]
pub enum Event {
    /// A message from another process.
    Message {
        /// Address of the sender.
        from: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// New control state.
    View(View),
    /// A delivered message was parsed as a request.
    Request(Request),
    /// The encoded answer to a delivered message is ready to be sent.
    Reply {
        /// Identifies the flow and the message in it.
        id: RequestId,
        /// The whole answer.
        bytes: Vec<u8>,
    },
    /// The backend server answered a run, `Answered` or `Failed`.
    Finished {
        /// The request.
        id: RequestId,
        /// The answer.
        outcome: Outcome,
    },
    /// A run certainly did not start on the backend server.
    Refused(RequestId),
    /// The answer of a run is lost; the run may have taken place.
    Lost(RequestId),
    /// The backend server's number of slots changed; 0 while it cannot be reached.
    Slots(Slots),
    /// The caller no longer waits for the answer.
    Cancel(RequestId),
    /// Another agent hands over flows; answered by `Action::TookFlows`.
    TakeFlows(usher_flows::Transfer),
    /// Another agent hands over dedupe records; answered by `Action::TookRecords`.
    TakeRecords(usher_dedupe::Transfer),
    /// A host has taken over flows; `None` when it did not answer.
    FlowsTaken {
        /// The host.
        to: HostId,
        /// Flows that it holds now.
        flows: Option<Vec<FlowId>>,
    },
    /// A host has taken over the records of a roster version.
    RecordsTaken {
        /// The host.
        from: HostId,
        /// Roster version of the records.
        roster: Version,
    },
    /// A drain begins: no new work is accepted, flows are handed to other hosts.
    Drain,
    /// The process is about to leave the roster.
    Leave,
    /// A timer is due; `next_timer` returned its time.
    Tick,
}
