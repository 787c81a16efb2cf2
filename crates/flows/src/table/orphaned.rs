//! Flows whose receiver left before it acknowledged the handover.

use indexmap::IndexMap;
use usher_types::HostId;

use super::FlowTable;
use super::handover::MAX_TRANSFER_FLOWS;
use crate::outgoing_transfer::OutgoingTransfer;

impl FlowTable {
    /// Ends a transfer whose receiver has left.
    ///
    /// The receiver may have taken over the flows and handed them to their next owners although no
    /// acknowledgement arrived. The flows are served here again only after those owners are asked.
    pub(super) fn cancel_transfer(&mut self, host: &HostId) {
        let Some(outgoing) = self.outgoing_transfers.swap_remove(host) else {
            return;
        };
        for flow in outgoing.flows {
            let owner = self
                .membership
                .successor(&flow, self.settings.buckets, host);
            let owner = owner.map(|(_, member)| member.agent);
            if let Some(owner) = owner.filter(|owner| *owner != self.settings.agent) {
                self.handover_targets.insert(flow, owner);
                self.orphaned.insert(flow);
            } else {
                self.unfreeze(flow);
                self.queue_handover(flow);
            }
        }
        self.locations.extend(outgoing.directory);
        self.closed.extend(outgoing.closed);
    }

    /// Adds orphaned flows to transfers to their next owners.
    ///
    /// A flow without a next owner is served here again.
    pub(super) fn dispatch_orphaned(
        &mut self,
        outgoing_transfers: &mut IndexMap<HostId, OutgoingTransfer>,
    ) {
        for flow in self.orphaned.clone() {
            match self.destination(&flow) {
                Some((host, _)) if !self.outgoing_transfers.contains_key(&host) => {
                    let outgoing = outgoing_transfers.entry(host).or_default();
                    if outgoing.flows.len() < MAX_TRANSFER_FLOWS {
                        outgoing.flows.push(flow);
                        // The receiver may hold the flow already.
                        outgoing.is_uncertain = true;
                    }
                }
                Some(_) => {}
                None => {
                    self.orphaned.swap_remove(&flow);
                    self.unfreeze(flow);
                }
            }
        }
    }
}
