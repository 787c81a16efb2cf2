use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_config::Object;
use usher_types::{Beat, BeatAck, Roster, Span, Version, Weight};

use super::Call;

/// Input of the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// All objects that a source holds above `after`, complete up to `through`.
    Objects {
        after: Version,
        through: Version,
        objects: Vec<Object>,
    },
    /// Whether the store can be reached.
    Store(bool),
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
