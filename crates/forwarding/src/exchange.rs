use indexmap::IndexMap;
use usher_types::{DataCentre, Span, Time};

use crate::{Directory, Fleet, NodeId, Report, Strength};

// Digests go to other data centres at this pace, unless a host changes.
const OUTWARD: Span = Span::from_millis(500);
// The agents to greet are chosen at this pace.
const CHOICE: Span = Span::from_millis(900);
// An agent that has not reported for this long reports elsewhere.
const DIRECT: Span = Span::from_secs(1);

/// Whom a balancer greets and to whom it relays reports, so that control traffic stays bounded.
///
/// Within a data centre everybody hears everybody. Data centres are linked by a few balancers,
/// which hand on what they hear.
#[derive(Debug, Clone)]
pub struct Exchange {
    own: NodeId,
    strength: Strength,
    centre: DataCentre,
    /// When each agent last reported here directly.
    direct: IndexMap<NodeId, Time>,
    chosen: Vec<NodeId>,
    chosen_at: Option<Time>,
    outward_at: Option<Time>,
}

/// Reports and the balancers that get them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Relayed {
    /// Receivers.
    pub to: Vec<NodeId>,
    /// Reports, each with its agent.
    pub reports: Vec<(NodeId, Report)>,
}

impl Exchange {
    /// The exchange of a balancer.
    ///
    /// ```
    /// use usher_forwarding::{Directory, Exchange, Fleet};
    /// use usher_types::Time;
    /// let strength = "0.05".parse().unwrap();
    /// let mut exchange = Exchange::new("10.1.0.1".parse()?, strength, "kolkata".parse()?);
    /// let directory = Directory::new("kolkata".parse()?, Time::ZERO);
    /// assert!(exchange.agents(Time::ZERO, &Fleet::default(), &directory).is_empty());
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn new(own: NodeId, strength: Strength, centre: DataCentre) -> Self {
        Self {
            own,
            strength,
            centre,
            direct: IndexMap::new(),
            chosen: Vec::new(),
            chosen_at: None,
            outward_at: None,
        }
    }

    /// Notes that an agent reports here.
    pub fn hear_agent(&mut self, now: Time, agent: NodeId) {
        if self.direct.insert(agent, now).is_none() {
            self.chosen_at = None;
        }
    }

    /// Balancers that are greeted at `now`, and whether each is asked to greet this one.
    pub fn balancers(&self, now: Time, fleet: &mut Fleet) -> Vec<(NodeId, bool)> {
        fleet.greeted(now, self.own, &self.centre)
    }

    /// Agents that are greeted at `now`: those that report here, and those that may come to.
    pub fn agents(&mut self, now: Time, fleet: &Fleet, directory: &Directory) -> Vec<NodeId> {
        if self.chosen_at.is_none_or(|chosen| now - chosen >= CHOICE) {
            self.chosen_at = Some(now);
            self.direct.retain(|_, heard| now - *heard <= DIRECT);
            let own = (self.own, self.strength, &self.centre);
            let agents = directory.centres();
            let chosen = agents.filter(|(agent, centre)| {
                self.direct.contains_key(agent) || fleet.greets(now, own, *agent, centre)
            });
            self.chosen = chosen.map(|(agent, _)| agent).collect();
        }
        self.chosen.clone()
    }

    /// Reports that are relayed at `now`, within the data centre and to others.
    pub fn digests(&mut self, now: Time, fleet: &Fleet, directory: &mut Directory) -> [Relayed; 2] {
        let inward = Relayed {
            to: fleet.near(now, &self.centre),
            reports: directory.inward_digest(),
        };
        let mut outward = Relayed::default();
        let due = self.outward_at.is_none_or(|last| now - last >= OUTWARD);
        if due || directory.is_urgent() {
            self.outward_at = Some(now);
            outward.reports = directory.outward_digest();
        }
        if !outward.reports.is_empty() {
            outward.to = fleet.links(now, self.own, &self.centre);
        }
        [inward, outward]
    }
}
