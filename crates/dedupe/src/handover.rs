use indexmap::IndexMap;
use usher_types::{HostId, Span, Time, Version};

use crate::action::LedgerAction;
use crate::limits::{RESEND, RESEND_MAX};
use crate::parcel::Parcel;

#[derive(Debug)]
struct Pending {
    parcel: Parcel,
    due: Time,
    pause: Span,
}

/// Parcels that have not been acknowledged, by receiving host.
#[derive(Debug, Default)]
pub(crate) struct Handovers(IndexMap<HostId, Pending>);

impl Handovers {
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.0.keys()
    }

    pub(crate) fn send(&mut self, now: Time, parcel: Parcel) {
        let host = parcel.to.host.clone();
        let due = now;
        let pause = RESEND;
        self.0.insert(host, Pending { parcel, due, pause });
    }

    pub(crate) fn acknowledge(&mut self, host: &HostId, roster: Version) {
        let sent = self.0.get(host).map(|pending| pending.parcel.roster);
        if sent == Some(roster) {
            self.0.swap_remove(host);
        }
    }

    pub(crate) fn next_due(&self) -> Option<Time> {
        self.0.values().map(|pending| pending.due).min()
    }

    /// Parcels whose first transmission or retransmission is due.
    ///
    /// A retransmission repeats times relative to the first one, which makes records live longer
    /// and `since` later: both lean towards refusal.
    pub(crate) fn transmit(&mut self, now: Time) -> Vec<LedgerAction> {
        let due = self.0.iter_mut().filter(|(_, pending)| pending.due <= now);
        due.map(|(host, pending)| {
            pending.due = now + pending.pause;
            pending.pause = (pending.pause * 2).min(RESEND_MAX);
            LedgerAction::Handover {
                to: host.clone(),
                parcel: pending.parcel.clone(),
            }
        })
        .collect()
    }
}
