use std::net::SocketAddrV4;
use std::sync::Arc;

use async_std::channel::Sender;
use serde_json::Value;
use usher_types::{FlowId, Generation, HostId, Profile, Roster, Version};
use usher_wire::Datagram;

use crate::backend::Report;
use crate::control::Content;

/// Control state that the traffic thread needs; immutable.
#[derive(Debug, Clone)]
pub(crate) struct View {
    /// Generation of the service's address.
    pub(crate) generation: Generation,
    /// Profile of the service.
    pub(crate) profile: Arc<Profile>,
    /// Roster of the service.
    pub(crate) roster: Arc<Roster>,
    /// Configuration version that the view stands for.
    pub(crate) revision: Version,
    /// This process wrote the service's first roster.
    pub(crate) created: bool,
}

/// Input of the traffic thread.
#[derive(Debug)]
pub(crate) enum WorkerEvent {
    /// A datagram from another process.
    Datagram {
        source: SocketAddrV4,
        datagram: Datagram,
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
