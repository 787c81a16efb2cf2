use usher_hedge::{Decision, Opening};
use usher_types::Time;

use super::flow_cache::FlowLocation;
use super::flow_pair::FlowPair;
use super::forwarder::BalancerForwarder;
use super::placement::Cost;
use super::view::HostView;
use crate::{NodeId, PacketHeader};

impl BalancerForwarder {
    /// Decides whether an opening packet of a repeatable route goes to a second host, and records
    /// where the flow may open then.
    ///
    /// `chosen` is the host that the packet goes to, `ranked` the hosts by rising cost. A flow has at
    /// most one extra opening; later copies go to the chosen host alone.
    pub(crate) fn decide_extra(
        &mut self,
        now: Time,
        packet_header: &PacketHeader,
        chosen: &HostView,
        latest: Time,
        ranked: &[(Cost, &HostView)],
    ) -> Decision<NodeId> {
        let flow = packet_header.inbound();
        let is_repeated = matches!(self.cache.get(&flow), Some(FlowLocation::Either(_)));
        let opening = Opening {
            copies: packet_header.acknowledged,
            is_late: chosen.is_late(latest) && !chosen.is_suspected(latest),
            is_repeated,
        };
        let second = || second_host(latest, ranked, chosen);
        let extra = self.hedge.decide(&opening, second);
        let extra = extra.map(|second| {
            second.shared_load.count_placed();
            second.node
        });
        if let Decision::Repeat { to, .. } = extra {
            let pair = FlowPair::new(chosen.node, to);
            self.cache
                .insert(now, flow, FlowLocation::Either(Box::new(pair)));
        }
        extra
    }
}

// The best host beside `chosen` that takes one more flow at once.
//
// Draining and suspected hosts do not count, nor do those whose last report is late or names no
// free slot. So there are no extra openings while all hosts are busy.
fn second_host<'a>(
    latest: Time,
    ranked: &[(Cost, &'a HostView)],
    chosen: &HostView,
) -> Option<&'a HostView> {
    let fit = ranked.iter().filter(|(cost, _)| cost.is_fit());
    let mut others = fit.map(|(_, host)| *host);
    others.find(|host| host.node != chosen.node && !host.is_late(latest) && host.has_free_slot())
}
