use std::sync::Arc;

use arc_swap::ArcSwap;
use indexmap::IndexSet;
use serde_json::value::RawValue;
use usher_clock::SuspendWatch;
use usher_evacuation::Evacuations;
use usher_forwarding::{
    ActiveConfiguration, AnswerEra, ConfigurationVersion, ControlTargets, Fleet, HelloRotation,
    HostDirectory, HostState, RoutingView, ServiceKey, SettleWatch, StartUp, StorePosition, WakeUp,
};
use usher_platform::decode_configuration;
use usher_types::{Era, Span, Time, Version};

use super::configuration_copy::ConfigurationCopy;
use crate::codec::MESSAGE_BYTES;
use crate::control::EvacuationRecord;
use crate::http::Client;
use crate::metrics::Metrics;
use crate::{Settings, event};

// Nodes listed in one hello message, four bytes each, so that it fits one datagram.
const HELLO_BALANCERS: usize = 64;
const HELLO_AGENTS: usize = 256;
// A hello message with all of them and with all evacuations fits the buffer of its receiver: an address
// takes four bytes, a name of a data centre up to 64, and the other fields take less than 256.
const _: () = assert!(
    (HELLO_BALANCERS + HELLO_AGENTS) * 4 + Evacuations::MAX * 64 + 256 <= MESSAGE_BYTES,
    "a hello message can exceed the buffer"
);
// Size of the fleet while no other balancer has been heard.
const ASSUMED_BALANCERS: u32 = 4;
// A balancer without a serving host is ready after this time, since it can refuse flows at once.
const HOST_WAIT: Span = Span::from_secs(3);

/// Control state of a balancer, owned by its control thread.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) fleet: Fleet,
    pub(crate) stopping: bool,
    pub(crate) position: StorePosition,
    pub(crate) metrics: Arc<Metrics>,
    pub(super) epoch: u64,
    pub(super) started: Time,
    pub(super) directory: HostDirectory,
    pub(super) active_configuration: ActiveConfiguration,
    pub(super) document: Box<RawValue>,
    /// When the configuration in force was adopted.
    pub(super) configured_at: Time,
    pub(super) view: Arc<ArcSwap<RoutingView>>,
    pub(super) ready: bool,
    pub(super) start_up: StartUp,
    pub(super) suspend_watch: SuspendWatch,
    pub(super) evacuations: EvacuationRecord,
    /// When the evacuations last changed.
    pub(super) evacuated_at: Option<Time>,
    /// The evacuations have not been read from the store or taken from a balancer yet.
    pub(super) unread: bool,
    /// Services whose serving hosts are all evacuated.
    pub(super) evacuated: IndexSet<ServiceKey>,
    pub(super) targets: ControlTargets,
    pub(super) settle_watch: SettleWatch,
    /// Balancers and agents that hello messages list.
    pub(super) listed_balancers: HelloRotation,
    pub(super) listed_agents: HelloRotation,
}

impl State {
    pub(crate) fn new(
        settings: Settings,
        view: Arc<ArcSwap<RoutingView>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let started = usher_clock::now();
        let targets =
            ControlTargets::new(settings.node, settings.capacity, settings.centre.clone());
        let directory = HostDirectory::new(settings.centre.clone(), started);
        let mut directory = directory.expecting(settings.centres.clone());
        if settings.outliers {
            directory.watch_hosts();
        }
        Self {
            evacuations: EvacuationRecord::new(&settings, Arc::clone(&metrics)),
            unread: settings.evacuation.is_some(),
            evacuated: IndexSet::new(),
            directory,
            settings,
            fleet: Fleet::default(),
            stopping: false,
            position: StorePosition::default(),
            metrics,
            epoch: usher_clock::epoch(),
            started,
            active_configuration: ActiveConfiguration::default(),
            document: RawValue::NULL.to_owned(),
            configured_at: started,
            evacuated_at: None,
            view,
            ready: false,
            start_up: StartUp::new(started),
            suspend_watch: SuspendWatch::new(),
            targets,
            settle_watch: SettleWatch::default(),
            listed_balancers: HelloRotation::new(HELLO_BALANCERS),
            listed_agents: HelloRotation::new(HELLO_AGENTS),
        }
    }

    /// A new client of the store.
    pub(crate) fn store_client(&self) -> Client {
        Client::new(self.settings.store, Arc::clone(&self.metrics))
    }

    /// Applies the operator's document as stored at a version, if it is newer.
    pub(crate) fn adopt(&mut self, stored: Version, spec: Box<RawValue>, source: &str) {
        let current = self.version();
        if stored == current.stored {
            return;
        }
        let parsed = match decode_configuration(stored, &spec) {
            Ok(parsed) => parsed,
            Err(fault) => {
                event::CONFIG_INVALID.log(&[("version", &stored), ("fault", &fault)]);
                return;
            }
        };
        let (version, routes, ignored) = (parsed.version, parsed.routes.len(), parsed.ignored);
        let ignored_services = parsed.ignored_services;
        if self.active_configuration.adopt(parsed) {
            self.document = spec;
            self.configured_at = usher_clock::now();
            self.publish();
            event::CONFIGURED.log(&[
                ("version", &version),
                ("routes", &routes),
                ("ignored", &ignored),
                ("ignored_services", &ignored_services),
                ("source", &source),
            ]);
        } else if version < current {
            event::CONFIG_OUTDATED.log(&[
                ("offered", &version),
                ("version", &current),
                ("source", &source),
            ]);
        }
    }

    /// Classifies an answer of the store by its era; `None` if it must not be used.
    ///
    /// Otherwise returns whether it is the first answer since a restore.
    pub(crate) fn on_era(&mut self, era: Era) -> Option<bool> {
        match self.position.observe(era) {
            AnswerEra::Current => Some(false),
            AnswerEra::Restored { before } => {
                let version = self.version();
                event::STORE_RESTORED.log(&[
                    ("before", &before),
                    ("era", &era),
                    ("version", &version),
                ]);
                Some(true)
            }
            AnswerEra::Outdated { current } => {
                event::ANSWER_OUTDATED.log(&[("era", &era), ("current", &current)]);
                None
            }
        }
    }

    pub(crate) fn version(&self) -> ConfigurationVersion {
        self.active_configuration.version()
    }

    /// The document in force, for another balancer.
    pub(crate) fn document(&self) -> ConfigurationCopy {
        ConfigurationCopy {
            version: self.version().stored,
            document: self.document.clone(),
        }
    }

    /// Number of balancers before this one, and of all.
    ///
    /// Until a balancer that has just started hears others, the place follows from the address alone.
    pub(super) fn place(&self, now: Time) -> (usize, usize) {
        let node = self.settings.node;
        let heard = self.fleet.present(now).len();
        if heard == 0 && self.is_starting(now) {
            let part = u32::MAX / ASSUMED_BALANCERS + 1;
            return (
                (node.scattered() / part) as usize,
                ASSUMED_BALANCERS as usize,
            );
        }
        (self.fleet.rank(now, node), heard + 1)
    }

    /// Whether the balancer has started and may lack hosts that others know.
    pub(crate) fn is_starting(&self, now: Time) -> bool {
        !self.start_up.is_complete(now)
    }

    /// Removes hosts and balancers that have been silent for too long.
    pub(crate) fn expire(&mut self, now: Time) {
        let ended = self.evacuations.expire(now);
        self.apply_evacuations(ended);
        if self.directory.expire(now) {
            event::HOSTS_EXPIRED.log(&[]);
            self.publish();
        }
        for node in self.fleet.expire(now) {
            event::BALANCER_EXPIRED.log(&[("balancer", &node)]);
        }
    }

    /// Whether the process was paused since the last call; it is then not ready at first.
    pub(crate) fn was_paused(&mut self, now: Time) -> bool {
        let Some(span) = self.suspend_watch.check() else {
            return false;
        };
        event::RESUMED.log(&[("for", &span), ("version", &self.version())]);
        self.start_up.pause(now);
        self.unread = self.settings.evacuation.is_some();
        self.ready = false;
        true
    }

    /// Whether nothing has shown since a pause that the configuration is the newest.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.start_up.is_unconfirmed()
    }

    /// Records that the store has told the configuration in force.
    pub(crate) fn confirm(&mut self) {
        self.start_up.confirm();
    }

    /// Whether the platform may send traffic here.
    pub(crate) fn is_ready(&mut self, now: Time) -> bool {
        let mut states = self
            .directory
            .agents()
            .filter_map(|agent| self.directory.state(now, agent));
        let serving = states.any(|(state, _)| state == HostState::Serving);
        let configured = self.version() > ConfigurationVersion::default();
        let settings = &self.settings;
        let (local, capacity) = (settings.node, settings.capacity);
        let standby = self
            .fleet
            .is_standby(now, local, capacity, &settings.centre);
        let hosts = serving || now - self.started > HOST_WAIT;
        let outdated = self.unread || self.fleet.newest_peer(now, self.version()).is_some();
        let complete = self.ready || self.start_up.may_serve(now, outdated);
        let ready = configured && !self.stopping && hosts && complete && !standby;
        if ready != self.ready {
            self.ready = ready;
            event::READY.log(&[
                ("ready", &ready),
                ("version", &self.version()),
                ("hosts", &serving),
                ("known", &self.directory.agents().count()),
                ("complete", &complete),
                ("standby", &standby),
                ("stopping", &self.stopping),
            ]);
        }
        ready
    }

    /// The wake-up of the traffic thread that is due.
    pub(crate) fn wake_up(&mut self, now: Time) -> Option<WakeUp> {
        let wake_up = self.settle_watch.observe(now, &self.view.load())?;
        event::HOSTS_SETTLED.log(&[
            ("hosts", &self.directory.agents().count()),
            ("after", &(now - self.started)),
        ]);
        Some(wake_up)
    }

    /// All metrics as text.
    pub(crate) fn metrics_text(&self) -> String {
        let hosts = self.directory.agents().count();
        let era = self.position.era();
        self.evacuations.set_metrics();
        self.metrics.set_balancer(self.version(), era, hosts);
        let together = self.view.load().started_together(usher_clock::now());
        self.metrics.set_fleet_start(together);
        self.metrics.set_ejected(self.directory.ejected());
        self.metrics.text()
    }

    pub(super) fn publish(&mut self) {
        let previous = self.view.load();
        let view = self
            .directory
            .view(self.active_configuration.current(), &previous);
        let services = view.evacuated_services().collect();
        if view.fleet_start() != previous.fleet_start() {
            event::FLEET_START.log(&[
                ("start", &view.fleet_start()),
                ("before", &previous.fleet_start()),
                ("hosts", &self.directory.agents().count()),
            ]);
        }
        self.view.store(Arc::new(view));
        self.on_evacuated_services(services);
    }
}
