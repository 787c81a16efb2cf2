use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use usher_admission::Policy;
use usher_agent::{Action, Event};
use usher_routing::{HintTable, Router};
use usher_types::{
    ClassRule, Hint, Incarnation, Message, MessageId, Packet, Profile, RequestId, Roster, Share,
    Span, Time,
};

use super::node::{Life, Node};

use crate::model::{Calendar, Deployment, Host, Plan, Tally};

const HINTS: usize = 100_000;
const DRAIN: Span = Span::from_secs(15);
// A process that has left forwards packets of the flows that it handed over.
const LINGER: Span = Span::from_secs(5);
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
    /// Hosts whose backend server loses each run, from the first one on.
    pub down: usize,
    /// Transmissions of a request by its caller, and whether they share one attempt budget.
    pub caller: (u16, bool),
    /// Share of successes that agents spend on retries.
    pub retries: Share,
    /// Time between planned restarts of one host after another.
    pub restarts: Option<Span>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            hunt: Some(Profile::default().hunt),
            weights: false,
            down: 0,
            caller: (1, true),
            retries: Profile::default().retries,
            restarts: None,
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
    pub(super) routers: Vec<Router>,
    pub(super) hints: Vec<HintTable>,
    pub(super) roster: Arc<Roster>,
    pub(super) rng: Pcg64,
    pub(super) sequences: Vec<u32>,
    pub(super) opened: Vec<bool>,
    /// Message number and transmissions of each arrival.
    pub(super) sent: Vec<(MessageId, u16)>,
    pub(super) ids: HashMap<RequestId, usize>,
    pub(super) tally: Tally,
    end: Time,
}

/// Content of a handover.
#[derive(Debug, Clone)]
pub(super) enum Transfer {
    Flows(usher_flows::Transfer),
    Records(usher_dedupe::Transfer),
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
    Resend(usize, Span),
    Reopen(usize),
    View(usize, Arc<Roster>),
    Table(usize, Arc<Roster>),
    Drain(usize),
    Transfer(usize, usize, Transfer),
    Reply(usize, Event),
    Exit(usize),
    Join(usize),
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
                .map(|i| Node::new(site, options, i, Incarnation::new(1)))
                .collect(),
            routers: vec![Router::default(); site.balancers],
            hints: (0..site.balancers).map(|_| HintTable::new(HINTS)).collect(),
            roster: Arc::default(),
            rng: Pcg64::seed_from_u64(seed),
            sequences: vec![0; plan.flows.len()],
            opened: vec![false; plan.flows.len()],
            sent: vec![(MessageId::new(0), 0); plan.arrivals.len()],
            ids: HashMap::new(),
            tally: Tally::new(plan, hosts, end - Time::ZERO),
            end,
        };
        agents.start();
        agents
    }

    fn start(&mut self) {
        // The flow table keeps the threshold of the first profile; the scheduler follows later ones.
        if self.options.hunt.is_none() {
            let off = Profile {
                hunt: Span::from_secs(3_600),
                ..self.profile()
            };
            self.adopt(Time::ZERO, &off);
        }
        self.adopt(Time::ZERO, &self.profile());
        for node in 0..self.nodes.len() {
            let offset = BEAT.scale(node as f64 / self.nodes.len() as f64);
            self.calendar.add(Time::ZERO + offset, Step::Beat(node));
            if self.options.weights {
                self.calendar
                    .add(Time::ZERO + BEAT * 10 + offset, Step::Weigh(node));
            }
        }
        if let Some(gap) = self.options.restarts {
            for node in 0..self.nodes.len() {
                let at = Time::ZERO + gap * (node as u64 + 1);
                self.calendar.add(at, Step::Drain(node));
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
            Step::Resend(number, delay) => self.resend(now, number, delay),
            Step::Reopen(flow) => self.reopen(now, flow),
            Step::View(node, roster) => self.view(now, node, roster),
            Step::Table(balancer, roster) => self.table(balancer, &roster),
            Step::Drain(node) => self.drain(now, node),
            Step::Transfer(to, from, transfer) => self.take_transfer(now, to, from, transfer),
            Step::Reply(node, event) => self.feed(now, node, event),
            Step::Exit(node) => self.exit(now, node),
            Step::Join(node) => self.join(now, node),
        }
    }

    pub(super) fn feed(&mut self, now: Time, node: usize, event: Event) {
        if self.nodes[node].life == Life::Gone {
            return;
        }
        let actions = self.nodes[node].agent.handle(now, event);
        for action in actions {
            self.carry_out(now, node, action);
        }
        self.arm(node);
    }

    pub(super) fn arm(&mut self, node: usize) {
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

    pub(super) fn carry_out(&mut self, now: Time, node: usize, action: Action) {
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
                self.tally.runs += 1;
                if now > start_by || !self.tally.hosts[node].has_free() {
                    return self.feed(now, node, Event::Refused(id));
                }
                self.calendar.add(now, Step::Run(node, id, number));
                self.tally.hosts[node].begin();
            }
            Action::CancelRun(id) => self.cancel(now, node, id),
            Action::HandOverFlows { to, transfer } => {
                self.hand_over(now, node, &to, Transfer::Flows(transfer));
            }
            Action::HandOverRecords { to, transfer } => {
                self.hand_over(now, node, &to, Transfer::Records(transfer));
            }
            Action::Drained => self.leave(now, node),
            Action::RecordsDrained => self.calendar.add(now + LINGER, Step::Exit(node)),
            _ => {}
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
            retries: self.options.retries,
            ..standard
        }
    }
}
