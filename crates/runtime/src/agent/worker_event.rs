use std::net::SocketAddrV4;

use async_std::channel::Sender;
use serde_json::Value;
use usher_agent::View;
use usher_types::{FlowId, HostId, Message, Version};

use crate::backend::Report;
use crate::control::HandoverContent;

/// Input of the traffic thread.
#[derive(Debug)]
pub(crate) enum WorkerEvent {
    /// A message from another process.
    Message {
        from: SocketAddrV4,
        message: Message,
    },
    /// New control state.
    View(View),
    /// A run's result or a change of the backend server's state.
    Backend(Report),
    /// State handed over by another agent; the result goes to `reply`.
    Handover {
        content: HandoverContent,
        reply: Sender<Option<Value>>,
    },
    /// A host has taken over flows, or `None` when it did not answer.
    FlowsTaken {
        to: HostId,
        flows: Option<Vec<FlowId>>,
    },
    /// A host has taken over the records of a roster version.
    RecordsTaken { from: HostId, roster: Version },
    /// Asks for the traffic thread's part of the `status` call.
    Status(Sender<Value>),
    /// A drain begins.
    Drain,
    /// A planned stop begins: records are handed over as well.
    Leave,
}
