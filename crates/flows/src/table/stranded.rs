//! Flows whose receiver has left before it acknowledged them.

use indexmap::IndexMap;
use usher_types::HostId;

use super::FlowTable;
use super::handover::PARCEL_FLOWS;
use crate::transit::Transit;

impl FlowTable {
    /// Ends a transfer whose receiver has left. It may have taken the flows, without an
    /// acknowledgement, and passed them on to their next owners, so those are asked before the flows
    /// are served here again.
    pub(super) fn cancel_transit(&mut self, host: &HostId) {
        let Some(transit) = self.transits.swap_remove(host) else {
            return;
        };
        for flow in transit.flows {
            let owner = self
                .membership
                .successor(&flow, self.settings.buckets, host);
            let owner = owner.map(|(_, member)| member.agent);
            if let Some(owner) = owner.filter(|owner| *owner != self.settings.agent) {
                self.yields.insert(flow, owner);
                self.stranded.insert(flow);
            } else {
                self.thaw(flow);
                self.queue_if_leaving(flow);
            }
        }
        self.located.extend(transit.directory);
        self.closed.extend(transit.closed);
    }

    /// Adds stranded flows to transfers to their next owners; one without a next owner is served here.
    pub(super) fn dispatch_stranded(&mut self, transits: &mut IndexMap<HostId, Transit>) {
        for flow in self.stranded.clone() {
            match self.destination(&flow) {
                Some((host, _)) if !self.transits.contains_key(&host) => {
                    let transit = transits.entry(host).or_default();
                    if transit.flows.len() < PARCEL_FLOWS {
                        transit.flows.push(flow);
                        // The receiver may hold the flow already.
                        transit.is_uncertain = true;
                    }
                }
                Some(_) => {}
                None => {
                    self.stranded.swap_remove(&flow);
                    self.thaw(flow);
                }
            }
        }
    }
}
