use std::net::SocketAddrV4;

use async_std::channel::Sender;
use serde_json::Value;
use usher_agent::View;
use usher_types::{FlowId, HostId, Message, Version};

use crate::backend::Report;
use crate::control::Content;

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
    /// News from the backend server.
    Backend(Report),
    /// State handed over by another agent; answered through `reply`.
    Handover {
        content: Content,
        reply: Sender<Option<Value>>,
    },
    /// A host has taken over flows, or `None` when it did not answer.
    FlowsTaken {
        to: HostId,
        flows: Option<Vec<FlowId>>,
    },
    /// A host has taken over the records of a roster version.
    RecordsTaken { from: HostId, roster: Version },
    /// State for the `status` call.
    Status(Sender<Value>),
    /// A drain begins.
    Drain,
    /// A planned stop begins: records are handed over as well.
    Leave,
}
