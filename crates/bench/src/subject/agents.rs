use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use usher_admission::Policy;
use usher_agent::{Action, AgentState, Event};
use usher_routing::{Forward, HintTable, Router, Table};
use usher_types::{
    ClassRule, Generation, Hint, HostId, Message, Packet, Profile, RequestId, Roster, ServiceName,
    Span, Time, Version, Weight,
};

use crate::model::{Calendar, Deployment, Host, Plan, Tally};

const HINTS: usize = 100_000;
const DRAIN: Span = Span::from_secs(15);
pub(crate) const BEAT: Span = Span::from_secs(1);

/// Parts of the system that a run varies.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Scheduling policy.
    pub policy: Policy,
    /// Wait above which a new flow goes to the second candidate; `None` turns it off.
    pub hunt: Option<Span>,
    /// Rosters carry weights that hosts measure.
    pub weights: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            hunt: Some(Profile::default().hunt),
            weights: false,
        }
    }
}

/// The real agents and routers between fake callers and fake backend servers.
///
/// Messages between processes arrive after the one-way latency of the deployment; none is lost.
pub struct Agents<'a> {
    pub(super) site: &'a Deployment,
    pub(super) plan: &'a Plan,
    pub(super) options: &'a Options,
    pub(super) calendar: Calendar<Step>,
    pub(super) nodes: Vec<Node>,
    pub(super) router: Router,
    pub(super) hints: Vec<HintTable>,
    pub(super) roster: Arc<Roster>,
    pub(super) rng: Pcg64,
    pub(super) sequences: Vec<u32>,
    pub(super) ids: HashMap<RequestId, usize>,
    pub(super) tally: Tally,
    end: Time,
}

/// An agent with the runs of its backend server.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) host: HostId,
    pub(super) agent: AgentState,
    pub(super) runs: HashMap<RequestId, Time>,
    tick: Option<Time>,
}

#[derive(Debug)]
pub(super) enum Step {
    Open(usize),
    Close(usize),
    Arrive(usize),
    ToBalancer(usize, Packet),
    ToCaller(Packet),
    Message(usize, SocketAddrV4, Message),
    Hint(usize, Hint),
    Run(usize, RequestId, usize),
    RunEnd(usize, RequestId, Time),
    Tick(usize),
    Beat(usize),
    Weigh(usize),
}

impl std::fmt::Debug for Agents<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Agents")
            .field("nodes", &self.nodes)
            .finish_non_exhaustive()
    }
}

impl<'a> Agents<'a> {
    /// Agents that have adopted a roster of equal weights.
    pub(crate) fn new(
        site: &'a Deployment,
        plan: &'a Plan,
        window: (Time, Time),
        options: &'a Options,
        seed: u64,
    ) -> Self {
        let last = plan
            .arrivals
            .last()
            .map_or(Time::ZERO, |arrival| arrival.at);
        let end = last + DRAIN;
        let hosts = site
            .speeds
            .iter()
            .map(|s| Host::new(*s, site.slots, window))
            .collect();
        let mut agents = Self {
            site,
            plan,
            options,
            calendar: Calendar::default(),
            nodes: (0..site.speeds.len())
                .map(|i| Node::new(site, options, i))
                .collect(),
            router: Router::default(),
            hints: (0..site.balancers).map(|_| HintTable::new(HINTS)).collect(),
            roster: Arc::default(),
            rng: Pcg64::seed_from_u64(seed),
            sequences: vec![0; plan.flows.len()],
            ids: HashMap::new(),
            tally: Tally::new(plan, hosts, end - Time::ZERO),
            end,
        };
        agents.start();
        agents
    }

    fn start(&mut self) {
        let weights = vec![Weight::NOMINAL; self.nodes.len()];
        // The flow table keeps the threshold of the first profile; the scheduler follows later ones.
        if self.options.hunt.is_none() {
            let off = Profile {
                hunt: Span::from_secs(3_600),
                ..self.profile()
            };
            self.adopt(Time::ZERO, &weights, off);
        }
        self.adopt(Time::ZERO, &weights, self.profile());
        for node in 0..self.nodes.len() {
            let offset = BEAT.scale(node as f64 / self.nodes.len() as f64);
            self.calendar.add(Time::ZERO + offset, Step::Beat(node));
            if self.options.weights {
                self.calendar
                    .add(Time::ZERO + BEAT * 10 + offset, Step::Weigh(node));
            }
        }
        for (number, flow) in self.plan.flows.iter().enumerate() {
            self.calendar.add(flow.opens, Step::Open(number));
            if let Some(at) = flow.closes {
                self.calendar.add(at, Step::Close(number));
            }
        }
        for (number, arrival) in self.plan.arrivals.iter().enumerate() {
            self.calendar.add(arrival.at, Step::Arrive(number));
        }
    }

    /// Serves the plan to its end.
    pub(crate) fn run(mut self) -> Tally {
        while let Some((now, step)) = self.calendar.pop() {
            if now > self.end {
                break;
            }
            self.act(now, step);
        }
        self.tally
    }

    fn act(&mut self, now: Time, step: Step) {
        match step {
            Step::Open(flow) => self.open(now, flow),
            Step::Close(flow) => self.close(now, flow),
            Step::Arrive(number) => self.send_request(now, number),
            Step::ToBalancer(balancer, packet) => self.forward(now, balancer, packet),
            Step::ToCaller(packet) => self.receive(now, packet),
            Step::Message(node, from, message) => self.on_message(now, node, from, message),
            Step::Hint(balancer, hint) => self.hints[balancer].insert(hint.flow, hint.holder),
            Step::Run(node, id, number) => self.start_run(now, node, id, number),
            Step::RunEnd(node, id, started) => self.end_run(now, node, id, started),
            Step::Tick(node) => self.tick(now, node),
            Step::Beat(node) => self.beat(now, node),
            Step::Weigh(node) => self.weigh(now, node),
        }
    }

    pub(super) fn feed(&mut self, now: Time, node: usize, event: Event) {
        let actions = self.nodes[node].agent.handle(now, event);
        for action in actions {
            self.carry_out(now, node, action);
        }
        self.arm(node);
    }

    fn arm(&mut self, node: usize) {
        let due = self.nodes[node].agent.next_timer();
        if let Some(due) = due
            && self.nodes[node].tick.is_none_or(|planned| due < planned)
        {
            self.nodes[node].tick = Some(due);
            self.calendar.add(due, Step::Tick(node));
        }
    }

    fn tick(&mut self, now: Time, node: usize) {
        if self.nodes[node].tick != Some(now) {
            return;
        }
        self.nodes[node].tick = None;
        if self.nodes[node]
            .agent
            .next_timer()
            .is_some_and(|due| due <= now)
        {
            self.feed(now, node, Event::Tick);
        } else {
            self.arm(node);
        }
    }

    fn carry_out(&mut self, now: Time, node: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(now, node, to, message),
            Action::Packet(packet) => {
                self.calendar
                    .add(now + self.site.edge, Step::ToCaller(packet));
            }
            Action::Deliver { id, bytes } => self.deliver(now, node, id, &bytes),
            Action::Answer { id, outcome } => self.answer(now, node, id, &outcome),
            Action::Run {
                id, body, start_by, ..
            } => {
                let number = super::agents_callers::number(&body);
                if now > start_by || !self.tally.hosts[node].has_free() {
                    return self.feed(now, node, Event::Refused(id));
                }
                self.calendar.add(now, Step::Run(node, id, number));
                self.tally.hosts[node].begin();
            }
            Action::CancelRun(id) => self.cancel(now, node, id),
            _ => {}
        }
    }

    fn forward(&mut self, now: Time, balancer: usize, packet: Packet) {
        let address = balancer_address(balancer);
        let forward = self
            .router
            .forward(packet, &mut self.hints[balancer], address);
        if let Forward::Send { to, relay } = forward {
            let node = node_at(to);
            let step = Step::Message(node, address, Message::Relay(relay));
            self.calendar.add(now + self.site.inner, step);
        }
    }

    /// A random balancer, as the fabric sprays packets.
    pub(super) fn spray(&mut self, now: Time, packet: Packet) {
        let balancer = self.rng.random_range(0..self.hints.len());
        let step = Step::ToBalancer(balancer, packet);
        self.calendar.add(now + self.site.edge, step);
    }

    /// Puts a roster with these weights in force in all processes at once.
    pub(super) fn adopt(&mut self, now: Time, weights: &[Weight], profile: Profile) {
        self.roster = Arc::new(super::agents_hosts::next_roster(
            &self.roster,
            &self.nodes,
            weights,
        ));
        let earlier: Vec<Roster> = self
            .roster
            .earlier
            .iter()
            .map(usher_types::PastRoster::to_roster)
            .collect();
        let rosters = std::iter::once(&*self.roster).chain(&earlier);
        let table = Table::new(service(), Generation::new(1), profile.buckets, rosters);
        self.router = Router::new([(crate::model::SERVICE, Arc::new(table))]);
        let profile = Arc::new(profile);
        for node in 0..self.nodes.len() {
            let view = usher_agent::View {
                generation: Generation::new(1),
                profile: Arc::clone(&profile),
                roster: Arc::clone(&self.roster),
                revision: Version::new(1),
                created: true,
            };
            self.feed(now, node, Event::View(view));
        }
    }

    pub(super) fn profile(&self) -> Profile {
        let rule = |work: &crate::model::Work| {
            let rule = ClassRule {
                long: work.long,
                priority: work.priority,
            };
            (work.method.to_owned(), rule)
        };
        let standard = Profile::default();
        Profile {
            methods: self.site.mix.iter().map(rule).collect(),
            hunt: self.options.hunt.unwrap_or(standard.hunt),
            ..standard
        }
    }
}

impl Node {
    fn new(site: &Deployment, options: &Options, index: usize) -> Self {
        let host = host(index);
        let settings = usher_agent::Settings {
            host: host.clone(),
            incarnation: usher_types::Incarnation::new(1),
            service: service(),
            address: agent_address(index),
            slots: usher_types::Slots::new(site.slots),
            policy: options.policy,
        };
        Self {
            host,
            agent: AgentState::new(settings),
            runs: HashMap::new(),
            tick: None,
        }
    }
}

pub(super) fn service() -> ServiceName {
    "desk"
        .parse()
        .unwrap_or_else(|_| unreachable!("a valid name"))
}

fn host(index: usize) -> HostId {
    format!("host-{index}")
        .parse()
        .unwrap_or_else(|_| unreachable!("a valid name"))
}

pub(super) fn agent_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 200, 0, index as u8), 7_000)
}

pub(super) fn balancer_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 201, 0, index as u8), 9_000)
}

pub(super) fn node_at(address: SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[3])
}
