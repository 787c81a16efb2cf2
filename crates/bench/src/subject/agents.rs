use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use usher_admission::Policy;
use usher_agent::{Action, Event};
use usher_routing::{HintTable, Router};
use usher_types::{
    Hint, Incarnation, Message, MessageId, MethodRule, Packet, Profile, RequestId, Roster, Share,
    Span, Time,
};

use super::node::{Node, Phase};

use crate::model::{Deployment, EventQueue, Host, RunResult, Workload};

// Hints that a balancer holds at most.
const HINT_CAPACITY: usize = 100_000;
// Simulated time after the last request, in which open requests end.
const SETTLE_TIME: Span = Span::from_secs(15);
// Time for which a process that left the roster forwards packets of flows that it handed over.
const LINGER: Span = Span::from_secs(5);
pub(crate) const BEAT_INTERVAL: Span = Span::from_secs(1);

/// Settings and faults that differ between runs of the system.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Scheduling policy.
    pub policy: Policy,
    /// Queueing time above which a new flow goes to its second candidate; `None`: never.
    pub hunt: Option<Span>,
    /// Whether rosters carry the weights that hosts measure.
    pub measured_weights: bool,
    /// Number of hosts, from the first one on, whose backend server fails each call.
    pub failed_hosts: usize,
    /// Most transmissions by the caller, and whether they share one attempt budget.
    pub caller_policy: (u16, bool),
    /// Share of successes that agents spend on retries.
    pub retries: Share,
    /// Interval between planned restarts of one host after another; `None`: no restarts.
    pub restart_interval: Option<Span>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            hunt: Some(Profile::default().hunt),
            measured_weights: false,
            failed_hosts: 0,
            caller_policy: (1, true),
            retries: Profile::default().retries,
            restart_interval: None,
        }
    }
}

/// The real agents and routers with simulated callers, backend servers and network.
///
/// Messages arrive after the one-way latency of the deployment; none is lost.
pub struct Agents<'a> {
    pub(super) site: &'a Deployment,
    pub(super) workload: &'a Workload,
    pub(super) options: &'a Options,
    pub(super) events: EventQueue<Step>,
    pub(super) nodes: Vec<Node>,
    pub(super) routers: Vec<Router>,
    pub(super) hints: Vec<HintTable>,
    pub(super) roster: Arc<Roster>,
    pub(super) rng: Pcg64,
    /// Last sequence number that the caller used on each flow.
    pub(super) sequences: Vec<u32>,
    /// Whether the caller knows that its flow was accepted.
    pub(super) opened: Vec<bool>,
    /// Message id and number of transmissions of each request.
    pub(super) sent: Vec<(MessageId, u16)>,
    /// Index of the request that each request id stands for.
    pub(super) requests: HashMap<RequestId, usize>,
    pub(super) result: RunResult,
    end: Time,
}

/// Content of a handover.
#[derive(Debug, Clone)]
pub(super) enum Transfer {
    Flows(usher_flows::Transfer),
    Records(usher_dedupe::Transfer),
}

/// A simulated event; numbers are indexes of flows, requests, hosts or balancers.
#[derive(Debug)]
pub(super) enum Step {
    /// A caller opens the flow.
    Open(usize),
    /// A caller closes the flow.
    Close(usize),
    /// A caller sends the request.
    Arrive(usize),
    /// A caller's packet arrives at the balancer.
    ToBalancer(usize, Packet),
    /// A packet arrives at its caller.
    ToCaller(Packet),
    /// A message arrives at the host from the given sender.
    Message(usize, SocketAddrV4, Message),
    /// A hint arrives at the balancer.
    Hint(usize, Hint),
    /// The host starts to run the request given by its id and its index.
    Run(usize, RequestId, usize),
    /// The host ends a run that started at the given time.
    RunEnd(usize, RequestId, Time),
    /// A timer of the host's agent is due.
    Tick(usize),
    /// The host sends heartbeats.
    Beat(usize),
    /// The host's measured weight is compared with the one in the roster.
    UpdateWeight(usize),
    /// The caller repeats the request if it is still open, after the given delay.
    Resend(usize, Span),
    /// The caller opens the flow again if it was not accepted.
    Reopen(usize),
    /// The roster reaches the host.
    View(usize, Arc<Roster>),
    /// The roster reaches the balancer.
    Table(usize, Arc<Roster>),
    /// The host starts to drain for a planned restart.
    Drain(usize),
    /// A handover arrives at the first host from the second one.
    Transfer(usize, usize, Transfer),
    /// The answer to a handover arrives at the host that sent it.
    Reply(usize, Event),
    /// The process on the host exits.
    Exit(usize),
    /// A new process on the host joins the roster.
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
    /// Creates agents that have adopted a roster of equal weights.
    pub(crate) fn new(
        site: &'a Deployment,
        workload: &'a Workload,
        window: (Time, Time),
        options: &'a Options,
        seed: u64,
    ) -> Self {
        let last = workload
            .arrivals
            .last()
            .map_or(Time::ZERO, |arrival| arrival.at);
        let end = last + SETTLE_TIME;
        let hosts = site
            .speeds
            .iter()
            .map(|s| Host::new(*s, site.slots, window))
            .collect();
        let mut agents = Self {
            site,
            workload,
            options,
            events: EventQueue::default(),
            nodes: (0..site.speeds.len())
                .map(|i| Node::new(site, options, i, Incarnation::new(1)))
                .collect(),
            routers: vec![Router::default(); site.balancers],
            hints: (0..site.balancers)
                .map(|_| HintTable::new(HINT_CAPACITY))
                .collect(),
            roster: Arc::default(),
            rng: Pcg64::seed_from_u64(seed),
            sequences: vec![0; workload.flows.len()],
            opened: vec![false; workload.flows.len()],
            sent: vec![(MessageId::new(0), 0); workload.arrivals.len()],
            requests: HashMap::new(),
            result: RunResult::new(workload, hosts, end - Time::ZERO),
            end,
        };
        agents.start();
        agents
    }

    fn start(&mut self) {
        // The flow table keeps the hunt threshold of the first profile, while the scheduler follows
        // later ones: a threshold of one hour in the first profile turns hunting off.
        if self.options.hunt.is_none() {
            let off = Profile {
                hunt: Span::from_secs(3_600),
                ..self.profile()
            };
            self.adopt(Time::ZERO, &off);
        }
        self.adopt(Time::ZERO, &self.profile());
        for node in 0..self.nodes.len() {
            let offset = BEAT_INTERVAL.scale(node as f64 / self.nodes.len() as f64);
            self.events.add(Time::ZERO + offset, Step::Beat(node));
            if self.options.measured_weights {
                self.events.add(
                    Time::ZERO + BEAT_INTERVAL * 10 + offset,
                    Step::UpdateWeight(node),
                );
            }
        }
        if let Some(interval) = self.options.restart_interval {
            for node in 0..self.nodes.len() {
                let at = Time::ZERO + interval * (node as u64 + 1);
                self.events.add(at, Step::Drain(node));
            }
        }
        for (number, flow) in self.workload.flows.iter().enumerate() {
            self.events.add(flow.opens, Step::Open(number));
            if let Some(at) = flow.closes {
                self.events.add(at, Step::Close(number));
            }
        }
        for (number, arrival) in self.workload.arrivals.iter().enumerate() {
            self.events.add(arrival.at, Step::Arrive(number));
        }
    }

    /// Simulates the workload to its end.
    pub(crate) fn run(mut self) -> RunResult {
        while let Some((now, step)) = self.events.pop() {
            if now > self.end {
                break;
            }
            self.apply(now, step);
        }
        self.result
    }

    fn apply(&mut self, now: Time, step: Step) {
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
            Step::UpdateWeight(node) => self.update_weight(now, node),
            Step::Resend(number, delay) => self.resend(now, number, delay),
            Step::Reopen(flow) => self.reopen(now, flow),
            Step::View(node, roster) => self.update_view(now, node, roster),
            Step::Table(balancer, roster) => self.update_table(balancer, &roster),
            Step::Drain(node) => self.drain(now, node),
            Step::Transfer(to, from, transfer) => self.take_transfer(now, to, from, transfer),
            Step::Reply(node, event) => self.handle_event(now, node, event),
            Step::Exit(node) => self.exit(now, node),
            Step::Join(node) => self.join(now, node),
        }
    }

    /// Passes an event to an agent and carries out the actions that it returns.
    pub(super) fn handle_event(&mut self, now: Time, node: usize, event: Event) {
        if self.nodes[node].phase == Phase::Exited {
            return;
        }
        let actions = self.nodes[node].agent.handle(now, event);
        for action in actions {
            self.carry_out(now, node, action);
        }
        self.schedule_tick(node);
    }

    /// Schedules a tick for the agent's next timer, unless an earlier one is scheduled.
    pub(super) fn schedule_tick(&mut self, node: usize) {
        let due = self.nodes[node].agent.next_timer();
        if let Some(due) = due
            && self.nodes[node].tick.is_none_or(|planned| due < planned)
        {
            self.nodes[node].tick = Some(due);
            self.events.add(due, Step::Tick(node));
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
            self.handle_event(now, node, Event::Tick);
        } else {
            self.schedule_tick(node);
        }
    }

    pub(super) fn carry_out(&mut self, now: Time, node: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(now, node, to, message),
            Action::Packet(packet) => {
                self.events
                    .add(now + self.site.caller_latency, Step::ToCaller(packet));
            }
            Action::Deliver { id, bytes } => self.deliver(now, node, id, &bytes),
            Action::Answer { id, outcome } => self.answer(now, node, id, &outcome),
            Action::Run {
                id, body, start_by, ..
            } => {
                let number = super::agents_callers::arrival_number(&body);
                self.result.runs += 1;
                if now > start_by || !self.result.hosts[node].has_free() {
                    return self.handle_event(now, node, Event::Refused(id));
                }
                self.events.add(now, Step::Run(node, id, number));
                self.result.hosts[node].begin();
            }
            Action::CancelRun(id) => self.cancel(now, node, id),
            Action::HandOverFlows { to, transfer } => {
                self.hand_over(now, node, &to, Transfer::Flows(transfer));
            }
            Action::HandOverRecords { to, transfer } => {
                self.hand_over(now, node, &to, Transfer::Records(transfer));
            }
            Action::Drained => self.leave(now, node),
            Action::RecordsDrained => self.events.add(now + LINGER, Step::Exit(node)),
            _ => {}
        }
    }

    pub(super) fn profile(&self) -> Profile {
        let rule = |work: &crate::model::Work| {
            let rule = MethodRule {
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
