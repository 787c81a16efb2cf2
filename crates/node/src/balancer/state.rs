use std::sync::Arc;

use arc_swap::ArcSwap;
use serde_json::Value;
use usher_forwarding::{
    Directory, Exchange, Fleet, Hello, HostState, InForce, NodeId, Relayed, Report, View,
};
use usher_platform::configuration;
use usher_types::{Span, Time, Version};

use crate::codec::PeerMessage;
use crate::metrics::Metrics;
use crate::{Settings, event};

// A greeting fits one datagram: four bytes each.
const NAMED_BALANCERS: usize = 64;
const NAMED_AGENTS: usize = 256;
// Without any host after this time, the balancer is ready all the same: it refuses at once what
// nobody can serve.
const HOSTLESS: Span = Span::from_secs(3);

/// Control state of a balancer; only its control thread has it.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) fleet: Fleet,
    pub(crate) stopping: bool,
    pub(crate) metrics: Arc<Metrics>,
    epoch: u64,
    started: Time,
    directory: Directory,
    in_force: InForce,
    document: Value,
    view: Arc<ArcSwap<View>>,
    ready: bool,
    exchange: Exchange,
    /// Where the next greeting begins to name balancers and agents.
    turn: usize,
}

impl State {
    pub(crate) fn new(settings: Settings, view: Arc<ArcSwap<View>>, metrics: Arc<Metrics>) -> Self {
        let started = usher_clock::now();
        let exchange = Exchange::new(settings.node, settings.strength, settings.centre.clone());
        Self {
            directory: Directory::new(settings.centre.clone(), started),
            settings,
            fleet: Fleet::default(),
            stopping: false,
            metrics,
            epoch: usher_clock::epoch(),
            started,
            in_force: InForce::default(),
            document: Value::Null,
            view,
            ready: false,
            exchange,
            turn: 0,
        }
    }

    /// Takes the operator's document as stored at a version.
    pub(crate) fn adopt(&mut self, version: Version, spec: Value, source: &str) {
        if version <= self.in_force.version() {
            return;
        }
        match configuration(version, &spec) {
            Ok(offered) => {
                let (label, routes) = (offered.label, offered.routes.len());
                let ignored = offered.ignored;
                self.in_force.adopt(offered);
                self.document = spec;
                self.publish();
                event::CONFIGURED.log(&[
                    ("version", &version),
                    ("label", &label),
                    ("routes", &routes),
                    ("ignored", &ignored),
                    ("source", &source),
                ]);
            }
            Err(fault) => event::CONFIG_UNREADABLE.log(&[("version", &version), ("fault", &fault)]),
        }
    }

    pub(crate) fn version(&self) -> Version {
        self.in_force.version()
    }

    /// The document in force, for another balancer.
    pub(crate) fn document(&self) -> String {
        let document = &self.document;
        serde_json::json!({ "version": self.version(), "document": document }).to_string()
    }

    pub(crate) fn hear_agent(&mut self, now: Time, node: NodeId, report: &Report) {
        let known = self.directory.state(now, node);
        let changed = self.directory.hear_direct(now, node, report);
        self.exchange.hear_agent(now, node);
        self.tell_host(changed, known, node, report);
    }

    /// Takes reports that a balancer relays.
    pub(crate) fn hear_digest(&mut self, now: Time, from: NodeId, digest: &[(NodeId, Report)]) {
        let centre = self.fleet.centre(from).cloned();
        for (node, report) in digest {
            let known = self.directory.state(now, *node);
            let directory = &mut self.directory;
            let changed = directory.hear_relayed(now, *node, report, centre.as_ref());
            self.tell_host(changed, known, *node, report);
        }
    }

    /// Reports to relay, each digest with its receivers.
    pub(crate) fn digests(&mut self, now: Time) -> [Relayed; 2] {
        let directory = &mut self.directory;
        self.exchange.digests(now, &self.fleet, directory)
    }

    fn tell_host(
        &self,
        changed: bool,
        known: Option<(HostState, Span)>,
        node: NodeId,
        report: &Report,
    ) {
        if !changed {
            return;
        }
        self.publish();
        let before = known.map(|(state, _)| state);
        if before != Some(report.state) {
            let before = before.map_or_else(|| "unknown".to_owned(), |state| state.to_string());
            event::HOST_CHANGED.log(&[
                ("host", &node),
                ("before", &before),
                ("state", &report.state),
                ("service", &report.service),
                ("epoch", &report.epoch),
                ("sequence", &report.sequence),
            ]);
        }
    }

    /// Takes a balancer's greeting; `true` if it should be greeted at once.
    pub(crate) fn hear_balancer(&mut self, now: Time, node: NodeId, hello: &Hello) -> bool {
        for other in &hello.balancers {
            if *other != self.settings.node {
                self.fleet.learn(now, *other);
            }
        }
        let new = self.fleet.hear(now, node, hello);
        if new {
            event::BALANCER_FOUND.log(&[
                ("balancer", &node),
                ("epoch", &hello.epoch),
                ("version", &hello.version),
            ]);
        }
        new
    }

    /// Agents that a balancer named and this one does not know.
    pub(crate) fn unknown_agents(&self, now: Time, hello: &Hello) -> Vec<NodeId> {
        let named = hello.agents.iter().copied();
        named
            .filter(|agent| self.directory.state(now, *agent).is_none())
            .collect()
    }

    /// Agents that are greeted at `now`: those that report here, and those that may come to.
    pub(crate) fn greeted_agents(&mut self, now: Time) -> Vec<NodeId> {
        self.exchange.agents(now, &self.fleet, &self.directory)
    }

    /// Balancers that are greeted at `now`, and whether each is asked to greet this one.
    pub(crate) fn greeted_balancers(&mut self, now: Time) -> Vec<(NodeId, bool)> {
        self.exchange.balancers(now, &mut self.fleet)
    }

    /// The greeting to other balancers.
    pub(crate) fn hello_balancer(&mut self, now: Time, ask: bool) -> PeerMessage {
        let mut hello = self.hello(now);
        hello.ask = ask;
        if !self.fleet.is_large() {
            hello.agents = some_of(self.directory.agents().collect(), NAMED_AGENTS, self.turn);
        }
        PeerMessage::Hello(hello)
    }

    /// The greeting to agents.
    pub(crate) fn hello_agent(&mut self, now: Time) -> PeerMessage {
        PeerMessage::Hello(self.hello(now))
    }

    fn hello(&mut self, now: Time) -> Hello {
        self.turn = self.turn.wrapping_add(NAMED_BALANCERS);
        Hello {
            epoch: self.epoch,
            version: self.version(),
            leaving: self.stopping,
            centre: self.settings.centre.clone(),
            strength: self.settings.strength,
            balancers: some_of(self.fleet.present(now), NAMED_BALANCERS, self.turn),
            agents: Vec::new(),
            ask: false,
        }
    }

    /// Forgets who is gone.
    pub(crate) fn expire(&mut self, now: Time) {
        if self.directory.expire(now) {
            event::HOSTS_FORGOTTEN.log(&[]);
            self.publish();
        }
        for node in self.fleet.expire(now) {
            event::BALANCER_FORGOTTEN.log(&[("balancer", &node)]);
        }
    }

    /// Whether the platform may send traffic here.
    pub(crate) fn is_ready(&mut self) -> bool {
        let now = usher_clock::now();
        let mut states = self
            .directory
            .agents()
            .filter_map(|agent| self.directory.state(now, agent));
        let host = states.any(|(state, _)| state == HostState::Serving);
        let configured = self.version() > Version::default();
        let settings = &self.settings;
        let (own, strength) = (settings.node, settings.strength);
        let standby = self.fleet.stands_by(now, own, strength, &settings.centre);
        let hosts = host || now - self.started > HOSTLESS;
        let ready = configured && !self.stopping && hosts && !standby;
        if ready != self.ready {
            self.ready = ready;
            event::READY.log(&[
                ("ready", &ready),
                ("version", &self.version()),
                ("hosts", &host),
                ("standby", &standby),
                ("stopping", &self.stopping),
            ]);
        }
        ready
    }

    /// All metrics as text.
    pub(crate) fn metrics_text(&self) -> String {
        let hosts = self.directory.agents().count();
        self.metrics.balancer(self.version(), hosts);
        self.metrics.text()
    }

    fn publish(&self) {
        let previous = self.view.load();
        let view = self.directory.view(self.in_force.current(), &previous);
        self.view.store(Arc::new(view));
    }
}

// At most `count` of the nodes, others in each turn.
fn some_of(mut nodes: Vec<NodeId>, count: usize, turn: usize) -> Vec<NodeId> {
    if nodes.len() > count {
        let first = turn % nodes.len();
        nodes.rotate_left(first);
        nodes.truncate(count);
    }
    nodes
}
