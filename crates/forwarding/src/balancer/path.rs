use usher_types::{Span, Time};

use super::flow_cache::FlowCache;
use super::placement::Cost;
use super::view::{HostView, View};
use crate::{Candidates, FlowKey, Head, Hint, HostState, NodeId, ServiceKey, Trip};

// Time that a balancer gives the hosts to report before it concludes that one is gone.
const SETTLE: Span = Span::from_secs(5);
// Reports come every 100 ms; a host whose last report is older may be cut off.
const FRESH: Span = Span::from_millis(350);

/// What a balancer does with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// To an agent.
    Send {
        /// The agent.
        to: NodeId,
        /// The packet's way.
        trip: Trip,
        /// How the agent was found.
        how: Found,
    },
    /// The caller gets a reset.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// Position up to which the caller has received.
        received: u32,
        /// Why.
        reason: Refused,
    },
    /// Nothing can be done.
    Drop(Refused),
}

/// How a balancer found the agent for a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// A new flow was placed.
    Placed,
    /// The cache knows the flow.
    Cached,
    /// The flow is searched among all hosts that may hold it.
    Searched,
}

/// Why a balancer does not forward a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// No configuration has been read yet.
    Unconfigured,
    /// No route has the address.
    NoRoute,
    /// The service has no host.
    NoHost,
    /// The host of the flow is gone.
    HostGone,
    /// The flow is unknown, and a host that may hold it is not heard.
    Unsettled,
}

impl Refused {
    /// The reason as a word for logs and metrics.
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

/// The decisions of one balancer about packets. Performs no I/O.
#[derive(Debug, Clone)]
pub struct BalancerPath {
    node: NodeId,
    cache: FlowCache,
}

impl BalancerPath {
    /// A balancer that knows no flows.
    ///
    /// ```
    /// use usher_forwarding::BalancerPath;
    /// let balancer = BalancerPath::new("10.1.0.10".parse()?);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(node: NodeId) -> Self {
        let cache = FlowCache::default();
        Self { node, cache }
    }

    /// Decides on a packet of a caller.
    pub fn on_packet(&mut self, now: Time, head: &Head, view: &View) -> Verdict {
        let flow = head.inbound();
        if head.opens() {
            return self.on_opening(now, flow, view);
        }
        if let Some(node) = self.cache.get(&flow) {
            let how = Found::Cached;
            return self.send(
                node,
                others(view, &flow, node),
                ServiceKey::from_bits(0),
                how,
            );
        }
        if view.route(&flow.address).is_none() {
            return Verdict::Drop(Refused::NoRoute);
        }
        let candidates = holders(view, &flow);
        match candidates.as_slice().first() {
            Some(node) => {
                let service = ServiceKey::from_bits(0);
                self.send(*node, candidates, service, Found::Searched)
            }
            None => Verdict::Drop(Refused::NoHost),
        }
    }

    /// Takes what an agent tells of a flow; a reset follows when its host is known to be gone.
    pub fn on_hint(&mut self, now: Time, hint: &Hint, view: &View) -> Option<Verdict> {
        match *hint {
            Hint::Held { flow, node } => {
                self.cache.insert(now, flow, node);
                None
            }
            Hint::Missing { flow, received } => {
                self.cache.remove(&flow);
                if !view.is_settled(now, SETTLE, FRESH) {
                    return Some(Verdict::Drop(Refused::Unsettled));
                }
                Some(Verdict::Reset {
                    flow,
                    received,
                    reason: Refused::HostGone,
                })
            }
        }
    }

    fn on_opening(&mut self, now: Time, flow: FlowKey, view: &View) -> Verdict {
        let refuse = |reason| Verdict::Reset {
            flow,
            received: 0,
            reason,
        };
        if view.configuration.version.get() == 0 {
            return Verdict::Drop(Refused::Unconfigured);
        }
        let Some(route) = view.route(&flow.address) else {
            return refuse(Refused::NoRoute);
        };
        let Some(service) = route.service(flow.hash(0)) else {
            return refuse(Refused::NoHost);
        };
        let ranked = rank(now, view.hosts(service), &flow);
        let known = self.cache.get(&flow);
        // A copy of an opening packet follows the first one while its host is heard.
        let again = ranked
            .iter()
            .position(|(cost, host)| Some(host.node) == known && cost.is_fit());
        let first = again.unwrap_or(0);
        let Some((cost, chosen)) = ranked.get(first) else {
            return refuse(Refused::NoHost);
        };
        if !cost.serves() && now - view.started >= SETTLE {
            return refuse(Refused::NoHost);
        }
        if again.is_none() {
            chosen.cell.place();
        }
        let mut candidates = Candidates::default();
        candidates.push(chosen.node);
        for (cost, host) in &ranked {
            if cost.serves() {
                candidates.push(host.node);
            }
        }
        self.cache.insert(now, flow, chosen.node);
        let mut verdict = self.send(chosen.node, candidates, service, Found::Placed);
        if let Verdict::Send { trip, .. } = &mut verdict {
            trip.budget = route.timeout;
        }
        verdict
    }

    fn send(&self, to: NodeId, candidates: Candidates, service: ServiceKey, how: Found) -> Verdict {
        let trip = Trip {
            service,
            origin: self.node,
            candidates,
            hop: 0,
            best: None,
            budget: Span::ZERO,
            last: false,
        };
        Verdict::Send { to, trip, how }
    }
}

fn rank<'a>(now: Time, hosts: &'a [HostView], flow: &FlowKey) -> Vec<(Cost, &'a HostView)> {
    let latest = hosts.iter().map(|host| host.cell.heard()).max();
    let latest = latest.unwrap_or(now);
    let cost = |host: &'a HostView| (Cost::of(now, latest, host, flow), host);
    let mut ranked: Vec<_> = hosts
        .iter()
        .filter(|host| host.state != HostState::Ended)
        .map(cost)
        .collect();
    ranked.sort_by_key(|(cost, _)| *cost);
    ranked
}

// Agents that may hold a flow, those of the route's services first.
fn holders(view: &View, flow: &FlowKey) -> Candidates {
    let mut candidates = Candidates::default();
    for service in view.holders(&flow.address) {
        let hosts = view.hosts(service);
        let order = hosts.iter().filter(|host| host.near);
        for host in order.chain(hosts.iter().filter(|host| !host.near)) {
            candidates.push(host.node);
        }
    }
    candidates
}

fn others(view: &View, flow: &FlowKey, first: NodeId) -> Candidates {
    let mut candidates = Candidates::default();
    candidates.push(first);
    for node in holders(view, flow).as_slice() {
        candidates.push(*node);
    }
    candidates
}
