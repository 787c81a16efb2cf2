use std::mem;

use usher_types::Time;

use super::flow_cache::FlowLocation;
use super::flow_search::FlowSearch;
use super::forwarder::{BalancerForwarder, HostSource, RejectReason, SETTLE_TIME, Verdict};
use super::search;
use super::view::RoutingView;
use super::wake_up::WakeUp;
use crate::{Candidates, FlowKey, NodeId, PacketHeader, ServiceKey};

// Searching for the hosts of flows that this balancer has not placed.
impl BalancerForwarder {
    /// Decides on a packet that the `visited` agents have returned, since none holds its flow.
    ///
    /// The packet is forwarded to the remaining agents. After the last one the flow is lost; it is
    /// reset if its host is known to be gone.
    pub fn on_returned(
        &mut self,
        now: Time,
        packet_header: &PacketHeader,
        visited: &Candidates,
        view: &RoutingView,
    ) -> Verdict {
        let flow = packet_header.inbound();
        if let Some(FlowLocation::At(node)) = self.cache.get(&flow)
            && !visited.as_slice().contains(node)
        {
            // Another packet of the flow has found the host in the meantime.
            let node = *node;
            return self.send_cached(node);
        }
        if let Some(FlowLocation::Either(pair)) = self.cache.get(&flow)
            && let Some(node) = pair.on_returned(visited)
        {
            return self.send_cached(node);
        }
        let mut search = self.take_search(&flow);
        if view.started_together(now) && !search.is_of(packet_header) {
            // A late packet of an earlier flow from the same port.
            return self.defer(now, flow, search);
        }
        search.add(visited);
        self.search(now, packet_header, search, view)
    }

    /// Sends a further copy of a packet that searches for its flow; `None` when all are sent.
    ///
    /// To be called after each [`Verdict::Send`] of [`Self::on_packet`] and [`Self::on_returned`], until it
    /// returns `None`.
    pub fn further(&mut self, packet_header: &PacketHeader, view: &RoutingView) -> Option<Verdict> {
        let flow = packet_header.inbound();
        let Some(FlowLocation::Searching(search)) = self.cache.get(&flow) else {
            return None;
        };
        let chain = search.next_unsent(packet_header)?;
        let visited = search.visited();
        Some(self.send_searching(chain, visited, view))
    }

    /// Judges flows whose search has found nothing, at most [`WakeUp::MAX_JUDGED`] of them.
    ///
    /// Returns the resets, and the wake-up that continues with the flows that are left. Nothing happens
    /// while the hosts are not settled, whoever sent the wake-up.
    pub fn on_wake_up(
        &mut self,
        now: Time,
        wake_up: WakeUp,
        view: &RoutingView,
    ) -> (Vec<Verdict>, Option<WakeUp>) {
        let mut resets = Vec::new();
        if !view.is_jointly_settled(now) {
            return (resets, None);
        }
        let listed = u16::try_from(self.exhausted.len()).unwrap_or(u16::MAX);
        let due = wake_up.remaining.min(listed);
        let judged = due.min(WakeUp::MAX_JUDGED);
        for _flow in 0..judged {
            if let Some(flow) = self.exhausted.pop() {
                resets.extend(self.judge(now, flow, view));
            }
        }
        let remaining = due - judged;
        (resets, (remaining > 0).then_some(WakeUp { remaining }))
    }

    // The reset of a listed flow, unless it may still be found. A search that began just before stays
    // listed; one that has further agents to visit goes on with the caller's next packet.
    fn judge(&mut self, now: Time, flow: FlowKey, view: &RoutingView) -> Option<Verdict> {
        let Some(FlowLocation::Searching(search)) = self.cache.get(&flow) else {
            return None;
        };
        search.listed = false;
        if !search::next_agents(view, &flow, search)
            .as_slice()
            .is_empty()
        {
            return None;
        }
        if !search.is_thorough(now) {
            search.listed = self.exhausted.push(flow);
            return None;
        }
        search.mark_reset(now);
        Some(Verdict::Reset {
            flow,
            received: search.received(),
            reason: RejectReason::HostGone,
        })
    }

    // The search of a flow; a new one if the host was known or nothing is.
    pub(super) fn take_search(&mut self, flow: &FlowKey) -> FlowSearch {
        match self.cache.get(flow) {
            Some(FlowLocation::Searching(search)) => mem::take(search),
            Some(FlowLocation::Either(pair)) => pair.search().clone(),
            _ => FlowSearch::default(),
        }
    }

    // Sends a packet to agents that have not returned one of its flow yet.
    //
    // Copies of it visit several chains of agents in parallel. One packet of the flow does so at a time;
    // others visit the agents one after the other.
    //
    // A flow is taken for lost only after a second search: another balancer may have placed it on a
    // host that this one has not heard of yet. After a start of all machines one search is enough, if
    // such a host is known by now.
    pub(super) fn search(
        &mut self,
        now: Time,
        packet_header: &PacketHeader,
        mut search: FlowSearch,
        view: &RoutingView,
    ) -> Verdict {
        let flow = packet_header.inbound();
        let first = if !search.is_parallel() || search.is_parallel_with(packet_header) {
            let room = search.room(view.is_complete());
            let together = view.started_together(now);
            let chains = search::next_chains(view, &flow, &search, room, self.node, together);
            if !chains.is_empty() {
                search.send_parallel(now, packet_header, chains);
            }
            search.next_unsent(packet_header)
        } else {
            let agents = search::next_agents(view, &flow, &search);
            Some(agents).filter(|agents| !agents.as_slice().is_empty())
        };
        let verdict = if let Some(chain) = first {
            search.sent(now);
            self.send_searching(chain, search.visited(), view)
        } else if search.is_parallel() {
            Verdict::Drop(RejectReason::Searching)
        } else {
            search.mark_exhausted(now);
            let repeated = search.is_repeated() && view.is_settled(now, SETTLE_TIME);
            if repeated || (search.is_thorough(now) && view.is_jointly_settled(now)) {
                search.mark_reset(now);
                Verdict::Reset {
                    flow,
                    received: packet_header.acknowledged,
                    reason: RejectReason::HostGone,
                }
            } else {
                if view.may_show_start(now) && !search.listed {
                    search.listed = self.exhausted.push(flow);
                }
                Verdict::Drop(RejectReason::Unsettled)
            }
        };
        self.cache
            .insert(now, flow, FlowLocation::Searching(Box::new(search)));
        verdict
    }

    // Sends a packet along a chain of agents. The only agent of a chain is told that the packet searches,
    // so that it notifies this balancer if it holds the flow.
    fn send_searching(&self, chain: Candidates, visited: usize, view: &RoutingView) -> Verdict {
        let alone = chain.as_slice().len() == 1;
        let to = chain.as_slice().first().copied().unwrap_or(NodeId::NONE);
        let how = HostSource::Searched {
            visited,
            known: view.agent_count(),
        };
        let mut verdict = self.send(to, chain, ServiceKey::NONE, how);
        if let Verdict::Send { forward_header, .. } = &mut verdict {
            forward_header.is_final = alone;
        }
        verdict
    }

    // Keeps a search as it is.
    pub(super) fn defer(&mut self, now: Time, flow: FlowKey, search: FlowSearch) -> Verdict {
        let search = FlowLocation::Searching(Box::new(search));
        self.cache.insert(now, flow, search);
        Verdict::Drop(RejectReason::Searching)
    }
}
