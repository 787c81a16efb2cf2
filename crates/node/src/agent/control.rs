use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};
use usher_clock::SuspendWatch;
use usher_forwarding::{
    AgentForwarder, Fleet, Hello, HostIdentity, HostState, NodeId, Report, ServiceKey,
};
use usher_platform::Call;
use usher_types::{Sequence, Slots, Span, Time};

use super::traffic::Shared;
use crate::codec::PeerMessage;
use crate::control::{
    EvacuationRecord, InvalidEntries, Peers, Signal, Signals, list_balancers, reload, serve_metrics,
};
use crate::http::{Client, serve};
use crate::metrics::Metrics;
use crate::settings::AgentSettings;
use crate::socket::open_udp;
use crate::{NodeError, Settings, event};

// Balancers avoid a host after a few missed reports. The reports cost 1 % of a small balancer's
// processor.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
// How often expired flows and silent balancers are removed.
const EXPIRY_INTERVAL: Span = Span::from_secs(1);
// How often the store is asked for balancers while none is heard.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);
// How often it is asked while a balancer is heard.
const RELIST_INTERVAL: Duration = Duration::from_secs(30);
// Longest wait for open flows at a planned stop.
const DRAIN_LIMIT: Span = Span::from_secs(3);
// Part of the grace time that is left for the process to exit.
const END_MARGIN: Span = Span::from_millis(1_000);

/// Runs an agent until it is stopped.
pub(crate) async fn run(
    settings: Settings,
    file: &Path,
    mut signals: Signals,
) -> Result<(), NodeError> {
    let Some(agent_settings) = settings.agent.clone() else {
        return Err(NodeError::NoAgent);
    };
    let now = usher_clock::now();
    let mut forwarder = AgentForwarder::new(
        settings.node,
        HostIdentity {
            service: agent_settings.service.clone(),
            address: agent_settings.backend,
            centre: settings.centre.clone(),
        },
        now,
        settings.flow_life,
    );
    if settings.outliers {
        forwarder.observe_outcomes();
    }
    let shared = Shared {
        forwarder: Arc::new(Mutex::new(forwarder)),
        held: Arc::default(),
        suspend_watch: Arc::new(Mutex::new(SuspendWatch::new())),
        network_socket: Arc::new(open_udp(settings.packets, "packets")?),
        backend_socket: Arc::new(open_udp(
            agent_settings.outbound,
            "packets of the backend server",
        )?),
        node: settings.node,
        backend: agent_settings.backend,
        port: settings.packets.port(),
        metrics: Arc::new(Metrics::new()),
    };
    let control = Rc::new(Control {
        peers: Peers::open(&settings)?,
        fleet: RefCell::new(Fleet::default()),
        evacuations: RefCell::new(EvacuationRecord::new(
            &settings,
            Arc::clone(&shared.metrics),
        )),
        sequence: Cell::new(Sequence::default()),
        epoch: usher_clock::epoch(),
        complete: Cell::new(false),
        stopping: Cell::new(None),
        shared,
        agent_settings,
        settings,
    });
    control.listen().await?;
    control.start_traffic()?;
    for seed in &control.settings.seeds {
        control.fleet.borrow_mut().add(now, *seed);
    }
    spawn_local(Rc::clone(&control).find_balancers());
    event::STARTED.log(&[
        ("role", &"agent"),
        ("service", &control.agent_settings.service),
        ("packets", &control.settings.packets),
        ("backend", &control.agent_settings.backend),
    ]);
    control.event_loop(&mut signals, file).await;
    event::STOPPED.log(&[]);
    Ok(())
}

/// Control state of an agent.
#[derive(Debug)]
pub(super) struct Control {
    settings: Settings,
    agent_settings: AgentSettings,
    pub(super) shared: Shared,
    peers: Peers,
    fleet: RefCell<Fleet>,
    evacuations: RefCell<EvacuationRecord>,
    sequence: Cell<Sequence>,
    epoch: u64,
    /// The last report said that all flows of the backend server are known.
    complete: Cell<bool>,
    /// End of the wait for open flows, once a planned stop has begun.
    pub(super) stopping: Cell<Option<Time>>,
}

impl Control {
    async fn listen(self: &Rc<Self>) -> Result<(), NodeError> {
        let shared = Rc::clone(self);
        serve(
            self.settings.ready,
            "readiness",
            move |method, path, _body| shared.on_call(Call::parse(method, path), &[]),
        )
        .await?;
        let shared = Rc::clone(self);
        serve(
            self.agent_settings.control,
            "heartbeats",
            move |method, path, body| shared.on_call(Call::parse(method, path), body),
        )
        .await?;
        let shared = Rc::clone(self);
        serve_metrics(&self.settings, move || shared.metrics_text()).await
    }

    fn metrics_text(&self) -> String {
        let metrics = &self.shared.metrics;
        let (flows, working) = {
            let forwarder = self.shared.forwarder();
            metrics.set_ranks(forwarder.rank_counts());
            (forwarder.held(), forwarder.load(usher_clock::now()).working)
        };
        self.evacuations.borrow().set_metrics();
        metrics.set_complete(self.complete.get());
        metrics.set_agent(flows, working);
        metrics.text()
    }

    fn start_traffic(&self) -> Result<(), NodeError> {
        type Direction = (&'static str, fn(&Shared));
        let directions: [Direction; 2] = [
            ("inbound", Shared::run_inbound),
            ("outbound", Shared::run_outbound),
        ];
        for (name, run) in directions {
            let shared = self.shared.clone();
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || run(&shared))
                .map_err(|cause| NodeError::Start {
                    what: "a traffic thread",
                    cause: cause.to_string(),
                })?;
        }
        Ok(())
    }

    async fn event_loop(&self, signals: &mut Signals, file: &Path) {
        let mut ticks = interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut suspend_watch = SuspendWatch::new();
        let mut last_expiry = usher_clock::now();
        loop {
            tokio::select! {
                (node, message) = self.peers.receive() => {
                    if let PeerMessage::Hello(hello) = message {
                        self.on_hello(node, &hello);
                    }
                }
                _ = ticks.tick() => {
                    if let Some(span) = suspend_watch.check() {
                        event::RESUMED.log(&[("for", &span)]);
                    }
                    let now = usher_clock::now();
                    if self.evacuations.borrow_mut().expire(now) {
                        self.confirm_evacuation(now, true);
                    }
                    self.shared.release();
                    self.report(now);
                    if now - last_expiry >= EXPIRY_INTERVAL {
                        last_expiry = now;
                        self.expire(now);
                    }
                    if self.can_exit(now) {
                        return;
                    }
                }
                signal = signals.next() => match signal {
                    Signal::Stop if self.stopping.get().is_none() => self.stop(),
                    Signal::Stop => return,
                    Signal::Reload => reload(file),
                },
            }
        }
    }

    fn on_hello(&self, node: NodeId, hello: &Hello) {
        let now = usher_clock::now();
        let mut fleet = self.fleet.borrow_mut();
        let mut new = fleet.on_hello(now, node, hello);
        if new {
            event::BALANCER_FOUND.log(&[("balancer", &node), ("epoch", &hello.epoch)]);
        }
        for other in &hello.balancers {
            new |= fleet.add(now, *other);
        }
        drop(fleet);
        let mut evacuations = self.evacuations.borrow_mut();
        let offered = hello.evacuations.as_ref();
        let changed = offered.is_some_and(|offered| evacuations.adopt(now, offered, &node));
        drop(evacuations);
        self.confirm_evacuation(now, changed);
        if new {
            self.report(now);
        }
    }

    // Tells the traffic threads what a hello message has shown about the data centre.
    fn confirm_evacuation(&self, now: Time, changed: bool) {
        if self.settings.evacuation.is_none() {
            return;
        }
        let evacuated = self.evacuations.borrow().contains(&self.settings.centre);
        self.shared.forwarder().confirm_evacuation(now, evacuated);
        if changed {
            self.shared.release();
        }
    }

    pub(super) fn report(&self, now: Time) {
        let report = {
            let mut forwarder = self.shared.forwarder();
            let outcomes = forwarder.outcomes(now);
            let heartbeat = forwarder.heartbeat();
            Report {
                epoch: self.epoch,
                sequence: self.sequence.get(),
                centre: self.settings.centre.clone(),
                service: ServiceKey::of(&self.agent_settings.service),
                state: forwarder.state(),
                born: heartbeat.map_or(0, |heartbeat| heartbeat.born),
                slots: heartbeat.map_or(Slots::new(1), |heartbeat| heartbeat.slots),
                warmup: forwarder.warmup(),
                load: forwarder.load(now),
                outcomes,
                relayed: self.fleet.borrow().reports_to_few(),
                complete: forwarder.reports_complete(now),
                uptime: forwarder.uptime(now),
            }
        };
        if self.complete.replace(report.complete) != report.complete {
            event::TABLE_COMPLETE
                .log(&[("complete", &report.complete), ("uptime", &report.uptime)]);
        }
        self.sequence.set(self.sequence.get().next());
        let settings = &self.settings;
        let balancers = self
            .fleet
            .borrow_mut()
            .relays(now, settings.node, &settings.centre);
        self.peers.send(&balancers, &PeerMessage::Report(report));
    }

    fn expire(&self, now: Time) {
        self.shared.forwarder().expire(now, self.settings.flow_life);
        for node in self.fleet.borrow_mut().expire(now) {
            event::BALANCER_EXPIRED.log(&[("balancer", &node)]);
        }
    }

    fn stop(&self) {
        let now = usher_clock::now();
        let span = DRAIN_LIMIT.min(self.settings.grace - END_MARGIN);
        self.shared.forwarder().stop();
        self.stopping.set(Some(now + span));
        self.report(now);
        let open = self.shared.forwarder().open();
        event::STOPPING.log(&[("within", &span), ("flows", &open)]);
    }

    fn can_exit(&self, now: Time) -> bool {
        let Some(end) = self.stopping.get() else {
            return false;
        };
        let forwarder = self.shared.forwarder();
        now >= end || forwarder.open() == 0 || forwarder.state() == HostState::Ended
    }

    async fn find_balancers(self: Rc<Self>) {
        let metrics = &self.shared.metrics;
        let client = Client::new(self.settings.store, Arc::clone(metrics));
        let mut invalid_entries = InvalidEntries::new(Arc::clone(metrics));
        loop {
            let list = list_balancers(&client, &mut invalid_entries, true).await;
            if let Some(list) = list {
                let now = usher_clock::now();
                let mut fleet = self.fleet.borrow_mut();
                for listed in list.entries {
                    fleet.add(now, listed.node);
                }
            }
            let isolated = self.fleet.borrow().present(usher_clock::now()).is_empty();
            tokio::time::sleep(if isolated {
                SEARCH_INTERVAL
            } else {
                RELIST_INTERVAL
            })
            .await;
        }
    }
}
