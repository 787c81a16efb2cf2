use indexmap::IndexMap;
use usher_types::{HostId, Span, Time, Version};

use crate::action::LedgerAction;
use crate::limits::{RESEND_DELAY, RESEND_DELAY_MAX};
use crate::transfer::Transfer;

#[derive(Debug)]
struct Pending {
    transfer: Transfer,
    due: Time,
    /// Time from the next transmission to the one after it.
    pause: Span,
}

/// Transfers that have not been acknowledged, by receiving host.
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

    /// Queues a transfer; `transmit` sends it.
    pub(crate) fn enqueue(&mut self, now: Time, transfer: Transfer) {
        let host = transfer.to.host.clone();
        let due = now;
        let pause = RESEND_DELAY;
        self.0.insert(
            host,
            Pending {
                transfer,
                due,
                pause,
            },
        );
    }

    pub(crate) fn acknowledge(&mut self, host: &HostId, roster: Version) {
        let sent = self.0.get(host).map(|pending| pending.transfer.roster);
        if sent == Some(roster) {
            self.0.swap_remove(host);
        }
    }

    pub(crate) fn next_due(&self) -> Option<Time> {
        self.0.values().map(|pending| pending.due).min()
    }

    /// Transfers whose first transmission or retransmission is due.
    ///
    /// A retransmission repeats the times of the first one, so the receiver keeps records longer and
    /// assumes a later stop. Both can only lead to more refusals.
    pub(crate) fn transmit(&mut self, now: Time) -> Vec<LedgerAction> {
        let due = self.0.iter_mut().filter(|(_, pending)| pending.due <= now);
        due.map(|(host, pending)| {
            pending.due = now + pending.pause;
            pending.pause = (pending.pause * 2).min(RESEND_DELAY_MAX);
            LedgerAction::Handover {
                to: host.clone(),
                transfer: pending.transfer.clone(),
            }
        })
        .collect()
    }
}
