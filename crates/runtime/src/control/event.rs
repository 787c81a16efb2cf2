use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_types::{Beat, BeatAck, Roster, Span, Version, Weight};

use super::{Call, Update};

/// Input of the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// Objects arrived from the store or a peer.
    Objects(Update),
    /// Whether the store can be reached.
    Store(bool),
    /// The store was restored from a copy.
    Restored,
    /// The next object that the store has lost may be written again.
    WriteAgain,
    /// A heartbeat arrived.
    Beat { source: SocketAddrV4, beat: Beat },
    /// A heartbeat was acknowledged.
    BeatAck(BeatAck),
    /// Measurements of an agent's traffic thread, and its unsettled roster versions.
    Load {
        wait: Span,
        weight: Weight,
        unsettled: Vec<Version>,
    },
    /// The traffic thread has this configuration version in force.
    InForce(Version),
    /// The traffic thread has handed over its flows and finished its requests.
    Drained,
    /// The traffic thread has handed over its dedupe records.
    RecordsDrained,
    /// The backend server announced that it is leaving.
    Leaving,
    /// A conditional write of the roster ended.
    Written(Option<Arc<Roster>>),
    /// A call of the administration RPC.
    Call(Call),
    /// A planned stop begins.
    Stop,
}
