use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_types::{Beat, BeatAck, DataCentre, Fleet, Member, Roster, ServiceName};

use crate::Status;

/// Input of [`crate::Membership::handle`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The timer of `next_timer` is due.
    Tick,
    /// A roster was read; version 0 means that the store has none yet.
    Roster {
        /// Service of the roster.
        service: ServiceName,
        /// The roster; older versions are ignored.
        roster: Arc<Roster>,
    },
    /// A service was deleted.
    ServiceDeleted(ServiceName),
    /// The fleet of a data centre was read.
    Fleet {
        /// Data centre of the fleet.
        centre: DataCentre,
        /// The fleet; older versions are ignored.
        fleet: Arc<Fleet>,
    },
    /// A heartbeat arrived.
    Beat {
        /// Address that the acknowledgement goes to.
        source: SocketAddrV4,
        /// The heartbeat.
        beat: Beat,
    },
    /// An acknowledgement arrived.
    BeatAck(BeatAck),
    /// This process has new values to announce.
    Status(Status),
    /// The store does not answer; nothing is proposed until `StoreUp`.
    StoreDown,
    /// The store answers again.
    StoreUp,
    /// This host is ready to join its service's roster.
    Join(Member),
    /// This process takes no new work.
    Drain,
    /// This host has drained and leaves its service's roster.
    Leave,
}
