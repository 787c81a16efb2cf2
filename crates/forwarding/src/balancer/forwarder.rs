use usher_types::{Span, Time};

use super::flow_cache::{FlowCache, FlowLocation};
use super::placement::Cost;
use super::search;
use super::view::{HostView, RoutingView};
use crate::{
    Candidates, FlowKey, ForwardHeader, Hint, HostState, NodeId, PacketHeader, ServiceKey,
};

// Time that a balancer allows hosts to report before it concludes that one is gone.
const SETTLE_TIME: Span = Span::from_secs(5);
// Hosts that a new flow may be placed on. Fewer than one search round visits, so that a few hosts
// can join a large service before the first round misses a flow.
const PLACEMENT_HOSTS: usize = 12;

/// A balancer's decision about a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward to an agent.
    Send {
        /// The agent.
        to: NodeId,
        /// The forward header to send with the packet.
        forward_header: ForwardHeader,
        /// How the agent was found.
        how: HostSource,
    },
    /// Send a reset to the caller.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// Position up to which the caller has received.
        received: u32,
        /// Why the flow is reset.
        reason: RejectReason,
    },
    /// Drop the packet.
    Drop(RejectReason),
}

/// How a balancer found the agent for a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostSource {
    /// The packet opens a flow, which was placed on a host.
    Placed {
        /// Age of the report that the choice of the host is based on.
        age: Span,
        /// Requests at the host by that report, plus flows placed since then.
        working: u16,
        /// Number of hosts to choose from.
        among: u8,
    },
    /// The flow cache names the host of the flow.
    Cached,
    /// The packet visits the hosts that may hold the flow.
    Searched,
}

/// Why a balancer does not forward a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// No configuration has been read yet.
    Unconfigured,
    /// No route uses the address.
    NoRoute,
    /// No host of the service takes new flows.
    NoHost,
    /// No host holds the flow, so its host is gone.
    HostGone,
    /// Hosts that may take or hold the flow may not have reported yet.
    Unsettled,
}

impl RejectReason {
    /// Name of the reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::NoRoute => "no-route",
            Self::NoHost => "no-host",
            Self::HostGone => "host-gone",
            Self::Unsettled => "unsettled",
        }
    }
}

/// The forwarding decisions of one balancer. Performs no I/O.
#[derive(Debug, Clone)]
pub struct BalancerForwarder {
    node: NodeId,
    cache: FlowCache,
}

impl BalancerForwarder {
    /// Creates a balancer with an empty flow cache.
    ///
    /// ```
    /// use usher_forwarding::BalancerForwarder;
    /// let balancer = BalancerForwarder::new("10.1.0.10".parse()?);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(node: NodeId) -> Self {
        let cache = FlowCache::default();
        Self { node, cache }
    }

    /// Decides on a packet from a caller.
    pub fn on_packet(
        &mut self,
        now: Time,
        packet_header: &PacketHeader,
        view: &RoutingView,
    ) -> Verdict {
        let flow = packet_header.inbound();
        if packet_header.opens() {
            return self.on_opening(now, flow, view);
        }
        let round = match self.cache.get(&flow) {
            Some(FlowLocation::At(node)) => {
                let mut candidates = Candidates::default();
                candidates.push(node);
                return self.send(node, candidates, ServiceKey::NONE, HostSource::Cached);
            }
            Some(FlowLocation::Searched(round)) => round,
            None => 0,
        };
        if view.route(&flow.address).is_none() {
            return Verdict::Drop(RejectReason::NoRoute);
        }
        let candidates = search::round(view, &flow, round);
        match candidates.as_slice().first() {
            Some(node) => self.send(*node, candidates, ServiceKey::NONE, HostSource::Searched),
            None => Verdict::Drop(RejectReason::Unsettled),
        }
    }

    /// Applies a hint from an agent.
    ///
    /// Returns a reset if the flow's host is known to be gone.
    pub fn on_hint(&mut self, now: Time, hint: &Hint, view: &RoutingView) -> Option<Verdict> {
        match *hint {
            Hint::Held { flow, node } => {
                self.cache.insert(now, flow, FlowLocation::At(node));
                None
            }
            Hint::Missing { flow, received } => self.on_missing(now, flow, received, view),
        }
    }

    // The next packet of the flow goes to the agents of the next search round. After the last round
    // the flow is lost.
    fn on_missing(
        &mut self,
        now: Time,
        flow: FlowKey,
        received: u32,
        view: &RoutingView,
    ) -> Option<Verdict> {
        let next = match self.cache.get(&flow) {
            Some(FlowLocation::Searched(round)) => round.saturating_add(1),
            Some(FlowLocation::At(_)) => 0,
            None => 1,
        };
        if !search::round(view, &flow, next).as_slice().is_empty() {
            self.cache.insert(now, flow, FlowLocation::Searched(next));
            return None;
        }
        self.cache.remove(&flow);
        if !view.is_settled(now, SETTLE_TIME) {
            return Some(Verdict::Drop(RejectReason::Unsettled));
        }
        Some(Verdict::Reset {
            flow,
            received,
            reason: RejectReason::HostGone,
        })
    }

    fn on_opening(&mut self, now: Time, flow: FlowKey, view: &RoutingView) -> Verdict {
        let refuse = |reason| Verdict::Reset {
            flow,
            received: 0,
            reason,
        };
        if !view.is_configured() {
            return Verdict::Drop(RejectReason::Unconfigured);
        }
        let Some(route) = view.route(&flow.address) else {
            return refuse(RejectReason::NoRoute);
        };
        let Some(service) = route.service(flow.hash(0)) else {
            return refuse(RejectReason::NoHost);
        };
        let hosts = search::shortlist(view.hosts(service), &flow, PLACEMENT_HOSTS);
        let ranked = rank(now, &hosts, &flow);
        let known = self.cache.get(&flow);
        // A copy of an opening packet goes to the host of the first one while that host is heard.
        let repeated = ranked
            .iter()
            .position(|(cost, host)| known == Some(FlowLocation::At(host.node)) && cost.is_fit());
        let first = repeated.unwrap_or(0);
        let Some((_, chosen)) = ranked.get(first).filter(|(cost, _)| cost.serves()) else {
            // Hosts may not have reported yet to a balancer that has just started. The caller
            // retransmits its packet.
            let settled = now - view.started >= SETTLE_TIME;
            return if settled {
                refuse(RejectReason::NoHost)
            } else {
                Verdict::Drop(RejectReason::Unsettled)
            };
        };
        if repeated.is_none() {
            chosen.shared_load.count_placed();
        }
        let mut candidates = Candidates::default();
        candidates.push(chosen.node);
        for (cost, host) in &ranked {
            if cost.serves() {
                candidates.push(host.node);
            }
        }
        self.cache.insert(now, flow, FlowLocation::At(chosen.node));
        let placed = HostSource::Placed {
            age: now - chosen.shared_load.reported_at(),
            working: chosen.shared_load.load().working,
            among: candidates.as_slice().len() as u8,
        };
        let mut verdict = self.send(chosen.node, candidates, service, placed);
        if let Verdict::Send { forward_header, .. } = &mut verdict {
            forward_header.budget = route.target.min(route.timeout);
            forward_header.rank = route.rank;
        }
        verdict
    }

    fn send(
        &self,
        to: NodeId,
        candidates: Candidates,
        service: ServiceKey,
        how: HostSource,
    ) -> Verdict {
        let forward_header = ForwardHeader {
            service,
            origin: self.node,
            candidates,
            hop: 0,
            shortest: None,
            budget: Span::ZERO,
            rank: 0,
            is_final: false,
        };
        Verdict::Send {
            to,
            forward_header,
            how,
        }
    }
}

// Hosts that have not ended, by rising cost of placing the flow on them.
fn rank<'a>(now: Time, hosts: &[&'a HostView], flow: &FlowKey) -> Vec<(Cost, &'a HostView)> {
    let latest = hosts
        .iter()
        .map(|host| host.shared_load.reported_at())
        .max();
    let latest = latest.unwrap_or(now);
    let mut ranked: Vec<_> = hosts
        .iter()
        .filter(|host| host.state != HostState::Ended)
        .map(|host| (Cost::of(now, latest, host, flow), *host))
        .collect();
    ranked.sort_by_key(|(cost, _)| *cost);
    ranked
}
