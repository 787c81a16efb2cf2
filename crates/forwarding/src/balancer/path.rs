use usher_types::{Span, Time};

use super::flow_cache::{FlowCache, Known};
use super::placement::Cost;
use super::search;
use super::view::{HostView, View};
use crate::{Candidates, FlowKey, Head, Hint, HostState, NodeId, ServiceKey, Trip};

// Time that a balancer gives the hosts to report before it concludes that one is gone.
const SETTLE: Span = Span::from_secs(5);
// Hosts among which a new flow is placed. Fewer than a search visits, so that some hosts may join
// a large service before the first round of a search misses a flow.
const PLACES: usize = 12;

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
    Placed {
        /// Age of the report by which the host was chosen.
        age: Span,
        /// Requests that the host had by then.
        working: u16,
        /// Hosts that could have been chosen.
        among: u8,
    },
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
        let round = match self.cache.get(&flow) {
            Some(Known::At(node)) => {
                let mut candidates = Candidates::default();
                candidates.push(node);
                return self.send(node, candidates, ServiceKey::NONE, Found::Cached);
            }
            Some(Known::Searched(round)) => round,
            None => 0,
        };
        if view.route(&flow.address).is_none() {
            return Verdict::Drop(Refused::NoRoute);
        }
        let candidates = search::round(view, &flow, round);
        match candidates.as_slice().first() {
            Some(node) => self.send(*node, candidates, ServiceKey::NONE, Found::Searched),
            None => Verdict::Drop(Refused::Unsettled),
        }
    }

    /// Takes what an agent tells of a flow; a reset follows when its host is known to be gone.
    pub fn on_hint(&mut self, now: Time, hint: &Hint, view: &View) -> Option<Verdict> {
        match *hint {
            Hint::Held { flow, node } => {
                self.cache.insert(now, flow, Known::At(node));
                None
            }
            Hint::Missing { flow, received } => self.on_missing(now, flow, received, view),
        }
    }

    // The next packet of a missing flow goes to the next round of agents; a flow that all of them
    // miss is gone.
    fn on_missing(
        &mut self,
        now: Time,
        flow: FlowKey,
        received: u32,
        view: &View,
    ) -> Option<Verdict> {
        let next = match self.cache.get(&flow) {
            Some(Known::Searched(round)) => round.saturating_add(1),
            Some(Known::At(_)) => 0,
            None => 1,
        };
        if !search::round(view, &flow, next).as_slice().is_empty() {
            self.cache.insert(now, flow, Known::Searched(next));
            return None;
        }
        self.cache.remove(&flow);
        if !view.is_settled(now, SETTLE) {
            return Some(Verdict::Drop(Refused::Unsettled));
        }
        Some(Verdict::Reset {
            flow,
            received,
            reason: Refused::HostGone,
        })
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
        let hosts = search::shortlist(view.hosts(service), &flow, PLACES);
        let ranked = rank(now, &hosts, &flow);
        let known = self.cache.get(&flow);
        // A copy of an opening packet follows the first one while its host is heard.
        let again = ranked
            .iter()
            .position(|(cost, host)| known == Some(Known::At(host.node)) && cost.is_fit());
        let first = again.unwrap_or(0);
        let Some((_, chosen)) = ranked.get(first).filter(|(cost, _)| cost.serves()) else {
            // Hosts may not have reported yet to a balancer that has just started; the caller
            // repeats its packet.
            let settled = now - view.started >= SETTLE;
            return if settled {
                refuse(Refused::NoHost)
            } else {
                Verdict::Drop(Refused::Unsettled)
            };
        };
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
        self.cache.insert(now, flow, Known::At(chosen.node));
        let placed = Found::Placed {
            age: now - chosen.cell.heard(),
            working: chosen.cell.load().working,
            among: candidates.as_slice().len() as u8,
        };
        let mut verdict = self.send(chosen.node, candidates, service, placed);
        if let Verdict::Send { trip, .. } = &mut verdict {
            trip.budget = route.target.min(route.timeout);
            trip.rank = route.rank;
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
            rank: 0,
            last: false,
        };
        Verdict::Send { to, trip, how }
    }
}

fn rank<'a>(now: Time, hosts: &[&'a HostView], flow: &FlowKey) -> Vec<(Cost, &'a HostView)> {
    let latest = hosts.iter().map(|host| host.cell.heard()).max();
    let latest = latest.unwrap_or(now);
    let mut ranked: Vec<_> = hosts
        .iter()
        .filter(|host| host.state != HostState::Ended)
        .map(|host| (Cost::of(now, latest, host, flow), *host))
        .collect();
    ranked.sort_by_key(|(cost, _)| *cost);
    ranked
}
