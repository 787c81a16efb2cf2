use usher_hedge::{Decision, ExtraShare, Hedge};
use usher_types::{ColdRate, Span, Time};

use super::exhausted_flows::ExhaustedFlows;
use super::flow_cache::{FlowCache, FlowLocation};
use super::placement::Cost;
use super::search;
use super::view::{HostView, RoutingView};
use crate::{
    Candidates, FlowKey, ForwardHeader, Hint, HostState, NodeId, PacketHeader, ServiceKey,
};

// Time that a balancer allows hosts to report before it concludes that one is gone.
pub(super) const SETTLE_TIME: Span = Span::from_secs(5);
// Hosts that a new flow may be placed on. Fewer than one packet of a search visits, so that a few
// hosts can join a large service before the first packet misses a flow.
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
        /// Whether the packet goes to a second agent too, with the header of
        /// [`Verdict::extra_header`].
        extra: Decision<NodeId>,
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

impl Verdict {
    /// The second agent that the packet goes to, and its forward header.
    pub fn extra_header(&self) -> Option<(NodeId, ForwardHeader)> {
        match self {
            Self::Send {
                forward_header,
                extra: Decision::Repeat { to, .. },
                ..
            } => Some((*to, forward_header.extra(*to))),
            _ => None,
        }
    }
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
    Searched {
        /// Number of agents that returned a packet of the flow before.
        visited: usize,
        /// Number of agents that the balancer knows.
        known: usize,
    },
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
    /// No host of the service is in a region that the route allows.
    NoRegion,
    /// All serving hosts of the service are in evacuated data centres.
    Evacuated,
    /// No host holds the flow, so its host is gone.
    HostGone,
    /// Hosts that may take or hold the flow may not have reported yet.
    Unsettled,
    /// Other packets of the flow are visiting the agents that may hold it.
    Searching,
}

impl RejectReason {
    /// Name of the reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::NoRoute => "no-route",
            Self::NoHost => "no-host",
            Self::NoRegion => "no-region",
            Self::Evacuated => "evacuated",
            Self::HostGone => "host-gone",
            Self::Unsettled => "unsettled",
            Self::Searching => "searching",
        }
    }
}

/// The forwarding decisions of one balancer. Performs no I/O.
#[derive(Debug, Clone)]
pub struct BalancerForwarder {
    pub(super) node: NodeId,
    pub(super) cache: FlowCache,
    pub(super) hedge: Hedge,
    pub(super) exhausted: ExhaustedFlows,
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
        Self {
            node,
            cache: FlowCache::default(),
            hedge: Hedge::new(ExtraShare::OFF),
            exhausted: ExhaustedFlows::default(),
        }
    }

    /// Allows extra opening packets for a share of the flows of repeatable routes.
    #[must_use]
    pub fn with_extra_openings(self, share: ExtraShare) -> Self {
        let hedge = Hedge::new(share);
        Self { hedge, ..self }
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
            return self.on_opening(now, packet_header, view);
        }
        if let Some(FlowLocation::At(node)) = self.cache.get(&flow) {
            let node = *node;
            return self.send_cached(node);
        }
        if let Some(FlowLocation::Either(pair)) = self.cache.get(&flow) {
            let candidates = pair.candidates(now, packet_header);
            return self.send_established(candidates, HostSource::Cached);
        }
        if view.route(&flow.address).is_none() {
            return Verdict::Drop(RejectReason::NoRoute);
        }
        let together = view.started_together(now);
        let mut search = self.take_search(&flow);
        if together && search.is_copy(now, packet_header) {
            return self.defer(now, flow, search);
        }
        search.begin(now, packet_header, together);
        self.search(now, packet_header, search, view)
    }

    /// Applies a hint from an agent.
    pub fn on_hint(&mut self, now: Time, hint: &Hint) {
        if let Some(FlowLocation::Either(pair)) = self.cache.get(&hint.flow)
            && !pair.on_hint(hint.node)
        {
            return;
        }
        self.cache
            .insert(now, hint.flow, FlowLocation::At(hint.node));
    }

    fn on_opening(
        &mut self,
        now: Time,
        packet_header: &PacketHeader,
        view: &RoutingView,
    ) -> Verdict {
        let flow = packet_header.inbound();
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
        if view.has_no_allowed_host(service, &route.regions) {
            return refuse(RejectReason::NoRegion);
        }
        let allowed = |host: &&HostView| route.regions.allows(host.region.as_ref());
        let open = view.hosts(service).iter().filter(allowed);
        let open = open.filter(|host| !host.evacuated);
        let hosts = search::shortlist(open, &flow, PLACEMENT_HOSTS);
        let ranked = rank(now, &hosts, &flow, route.rank);
        let latest = view.latest_report();
        let repeated = self.known_host(&flow, view.hosts(service), latest);
        let repeated = repeated.filter(allowed);
        let best = ranked.first().filter(|(cost, _)| cost.serves());
        let Some(chosen) = repeated.or(best.map(|(_, host)| *host)) else {
            if view.awaits_no_host(service) {
                return refuse(RejectReason::Evacuated);
            }
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
            if chosen.is_trial_due(now, route.rank) {
                chosen.shared_load.record_trial(now);
            }
        }
        let sent = if route.repeatable {
            self.decide_extra(now, packet_header, chosen, latest, &ranked)
        } else {
            Decision::NotDue
        };
        let mut candidates = Candidates::default();
        candidates.push(chosen.node);
        let best = ranked.first().map(|(cost, _)| *cost);
        for (cost, host) in &ranked {
            if best.is_some_and(|best| cost.takes_after(&best)) {
                candidates.push(host.node);
            }
        }
        if !self.is_of_pair(&flow, chosen.node) {
            self.cache.insert(now, flow, FlowLocation::At(chosen.node));
        }
        let placed = HostSource::Placed {
            age: now - chosen.shared_load.reported_at(),
            working: chosen.shared_load.load().working,
            among: candidates.as_slice().len() as u8,
        };
        let mut verdict = self.send(chosen.node, candidates, service, placed);
        if let Verdict::Send {
            forward_header,
            extra,
            ..
        } = &mut verdict
        {
            forward_header.budget = route.target.min(route.timeout);
            forward_header.rank = route.rank;
            *extra = sent;
            forward_header.cold_rate = chosen.cold_rate;
        }
        verdict
    }

    // The host that a copy of an opening packet goes to: that of the first one, while it is heard.
    // It may drain meanwhile, or have been pushed off the list by hosts that joined. If it is silent,
    // the host of the extra opening packet takes its place.
    fn known_host<'a>(
        &mut self,
        flow: &FlowKey,
        hosts: &'a [HostView],
        latest: Time,
    ) -> Option<&'a HostView> {
        let (first, second) = match self.cache.get(flow)? {
            FlowLocation::At(node) => (*node, None),
            FlowLocation::Either(pair) => {
                let [first, second] = pair.hosts();
                (first, Some(second))
            }
            FlowLocation::Searching(_) => return None,
        };
        let heard = |known: NodeId| {
            hosts.iter().find(|host| {
                host.node == known
                    && host.state != HostState::Ended
                    && !host.evacuated
                    && !host.is_suspected(latest)
            })
        };
        heard(first).or_else(|| second.and_then(heard))
    }

    // Whether the flow may open at this host or at another one.
    fn is_of_pair(&mut self, flow: &FlowKey, chosen: NodeId) -> bool {
        match self.cache.get(flow) {
            Some(FlowLocation::Either(pair)) => pair.hosts().contains(&chosen),
            _ => false,
        }
    }

    pub(super) fn send_cached(&self, node: NodeId) -> Verdict {
        let mut candidates = Candidates::default();
        candidates.push(node);
        self.send_established(candidates, HostSource::Cached)
    }

    // Sends a packet of an established flow to the first of the agents that may hold it.
    fn send_established(&self, candidates: Candidates, how: HostSource) -> Verdict {
        let to = candidates.as_slice().first().copied();
        let to = to.unwrap_or(NodeId::NONE);
        self.send(to, candidates, ServiceKey::NONE, how)
    }

    pub(super) fn send(
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
            cold_rate: ColdRate::NONE,
            is_final: false,
            is_extra: false,
        };
        Verdict::Send {
            to,
            forward_header,
            how,
            extra: Decision::NotDue,
        }
    }
}

// Hosts that have not ended, by rising cost of placing the flow on them.
fn rank<'a>(
    now: Time,
    hosts: &[&'a HostView],
    flow: &FlowKey,
    rank: u8,
) -> Vec<(Cost, &'a HostView)> {
    let latest = hosts
        .iter()
        .map(|host| host.shared_load.reported_at())
        .max();
    let latest = latest.unwrap_or(now);
    let mut ranked: Vec<_> = hosts
        .iter()
        .filter(|host| host.state != HostState::Ended)
        .map(|host| (Cost::of(now, latest, host, flow, rank), *host))
        .collect();
    ranked.sort_by_key(|(cost, _)| *cost);
    ranked
}
