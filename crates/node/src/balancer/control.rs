use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};
use usher_forwarding::{BalancerForwarder, Digest, NodeId, RoutingView};
use usher_platform::Call;
use usher_types::{Span, Time};

use super::answer_progress::AnswerProgress;
use super::configuration_copy::ConfigurationCopy;
use super::evacuation_feed::EvacuationFeed;
use super::feed::{self, Feed};
use super::host_fetch::fetch_hosts;
use super::registry::Registry;
use super::state::State;
use super::store_signals::StoreSignals;
use super::traffic;
use crate::codec::PeerMessage;
use crate::control::{Peers, Signal, Signals, reload, serve_metrics};
use crate::http::{Answer, serve};
use crate::metrics::Metrics;
use crate::socket::open_udp;
use crate::{NodeError, Settings, event};

/// HTTP path at which balancers serve the configuration to each other.
pub(crate) const CONFIGURATION_PATH: &str = "/configuration";

/// HTTP path at which balancers hand over their hosts; the address after which to go on follows.
pub(crate) const HOSTS_PATH: &str = "/hosts/";

/// HTTP path at which a balancer tells operators which evacuations are in force.
pub(crate) const EVACUATIONS_PATH: &str = "/evacuations";

// How often a balancer sends hello messages to balancers and agents. They name its configuration
// version, so the interval bounds how long a balancer without the store stays outdated.
const HELLO_INTERVAL: Span = Span::from_millis(300);
// How often reports of agents are relayed: as often as agents send them.
const RELAY_INTERVAL: Duration = Duration::from_millis(100);
// Reports in one datagram; each takes up to 70 bytes, so that the datagram fits one frame of 1,500 bytes.
const DIGEST_REPORTS: usize = 20;
// The platform checks readiness twice a second and stops sending traffic after two failed checks;
// the rest of this time is for packets in transit.
const DRAIN_TIME: Span = Span::from_millis(2_500);
// Part of the grace time that is left for the process to exit.
const END_MARGIN: Span = Span::from_millis(1_000);

/// Runs a balancer until it is stopped.
pub(crate) async fn run(
    settings: Settings,
    file: &Path,
    mut signals: Signals,
) -> Result<(), NodeError> {
    let view = Arc::new(ArcSwap::from_pointee(RoutingView::default()));
    let socket = open_udp(settings.packets, "packets")?;
    let peers = Peers::open(&settings)?;
    let metrics = Arc::new(Metrics::new());
    let state = State::new(settings.clone(), Arc::clone(&view), Arc::clone(&metrics));
    let state = Rc::new(RefCell::new(state));
    let store_signals = Rc::new(StoreSignals::default());
    listen(&settings, &state, &store_signals).await?;
    let forwarder =
        BalancerForwarder::new(settings.node).with_extra_openings(settings.extra_openings);
    let (node, port) = (settings.node, settings.packets.port());
    thread::Builder::new()
        .name("traffic".to_owned())
        .spawn(move || traffic::run(node, forwarder, port, &socket, &view, &metrics))
        .map_err(|cause| NodeError::Start {
            what: "the traffic thread",
            cause: cause.to_string(),
        })?;
    for seed in &settings.seeds {
        if *seed != settings.node {
            state.borrow_mut().fleet.add(usher_clock::now(), *seed);
        }
    }
    let feed = Feed::new(Rc::clone(&state), Rc::clone(&store_signals));
    let progress = feed.progress();
    spawn_local(feed.run());
    if let Some(bound) = settings.evacuation {
        let feed = EvacuationFeed::new(Rc::clone(&state), Rc::clone(&store_signals), bound);
        spawn_local(feed.run());
    }
    spawn_local(Registry::new(Rc::clone(&state), Rc::clone(&store_signals)).run());
    event::STARTED.log(&[
        ("role", &"balancer"),
        ("packets", &settings.packets),
        ("store", &settings.store),
    ]);
    let control = Control {
        state,
        peers,
        store_signals,
        progress,
        fetching: Rc::new(Cell::new(false)),
        unreachable: Rc::default(),
        fetching_hosts: Rc::new(Cell::new(false)),
    };
    control.event_loop(&mut signals, file).await;
    event::STOPPED.log(&[]);
    Ok(())
}

async fn listen(
    settings: &Settings,
    state: &Rc<RefCell<State>>,
    store_signals: &Rc<StoreSignals>,
) -> Result<(), NodeError> {
    let shared = Rc::clone(state);
    let signals = Rc::clone(store_signals);
    serve(settings.ready, "readiness", move |method, path, _body| {
        let known = Call::parse(method, path) == Some(Call::Ready);
        let now = usher_clock::now();
        let mut state = shared.borrow_mut();
        if state.was_paused(now) {
            signals.resync_all();
        }
        let status = match (known, state.is_ready(now)) {
            (false, _) => 404,
            (true, true) => 200,
            (true, false) => 503,
        };
        Answer::empty(status)
    })
    .await?;
    let shared = Rc::clone(state);
    let address = SocketAddrV4::new(settings.node.address(), settings.peer_port);
    serve(
        address,
        "state for balancers",
        move |method, path, _body| {
            let after = path.strip_prefix(HOSTS_PATH).map(str::parse);
            match (method, path, after) {
                ("GET", CONFIGURATION_PATH, _) => configuration_answer(&shared.borrow().document()),
                ("GET", EVACUATIONS_PATH, _) => {
                    Answer::json(200, shared.borrow().evacuation_status())
                }
                ("GET", _, Some(Ok(after))) => Answer::json(200, shared.borrow().host_page(after)),
                _ => Answer::empty(404),
            }
        },
    )
    .await?;
    let shared = Rc::clone(state);
    serve_metrics(settings, move || shared.borrow().metrics_text()).await
}

fn configuration_answer(copy: &ConfigurationCopy) -> Answer {
    match copy.to_json() {
        Ok(body) => Answer::json(200, body),
        Err(fault) => {
            event::SEND_FAILED.log(&[("message", &fault)]);
            Answer::empty(500)
        }
    }
}

#[derive(Debug)]
struct Control {
    state: Rc<RefCell<State>>,
    peers: Peers,
    store_signals: Rc<StoreSignals>,
    /// Progress of the store's answer that brings the configuration.
    progress: Rc<AnswerProgress>,
    /// A fetch of the configuration is in progress.
    fetching: Rc<Cell<bool>>,
    /// The balancer from which the last fetch of the configuration failed.
    unreachable: Rc<Cell<Option<NodeId>>>,
    /// A fetch of hosts is in progress.
    fetching_hosts: Rc<Cell<bool>>,
}

impl Control {
    async fn event_loop(&self, signals: &mut Signals, file: &Path) {
        let mut ticks = interval(RELAY_INTERVAL);
        let mut last_hello = None;
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut end: Option<Instant> = None;
        loop {
            let ending = async {
                match end {
                    Some(end) => sleep_until(end).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                (node, message) = self.peers.receive() => self.on_message(node, &message),
                _ = ticks.tick() => {
                    let now = usher_clock::now();
                    self.relay(now);
                    self.wake_traffic(now);
                    if last_hello.is_none_or(|last_hello| now - last_hello >= HELLO_INTERVAL) {
                        last_hello = Some(now);
                        self.on_tick(now);
                    }
                }
                signal = signals.next() => match signal {
                    Signal::Stop if end.is_none() => end = Some(self.stop()),
                    Signal::Stop => return,
                    Signal::Reload => reload(file),
                },
                () = ending => return,
            }
        }
    }

    fn on_message(&self, node: NodeId, message: &PeerMessage) {
        let now = usher_clock::now();
        let mut state = self.state.borrow_mut();
        match message {
            PeerMessage::Report(report) => state.on_report(now, node, report),
            PeerMessage::Digest(digest) => state.on_digest(now, node, digest),
            PeerMessage::Hello(hello) => {
                let new = state.on_hello(now, node, hello);
                let agents = state.unknown_agents(now, hello);
                if hello.complete && state.is_starting(now) {
                    self.fetch_hosts(node, state.settings.peer_port);
                }
                if new {
                    self.peers.send([&node], &state.balancer_hello(now, false));
                }
                if !agents.is_empty() {
                    self.peers.send(&agents, &state.agent_hello(now));
                }
            }
        }
    }

    fn fetch_hosts(&self, from: NodeId, port: u16) {
        if self.fetching_hosts.replace(true) {
            return;
        }
        let (state, fetching) = (Rc::clone(&self.state), Rc::clone(&self.fetching_hosts));
        spawn_local(async move {
            fetch_hosts(state, from, port).await;
            fetching.set(false);
        });
    }

    fn relay(&self, now: Time) {
        let digests = self.state.borrow_mut().digests(now);
        for Digest { to, reports } in digests {
            for part in reports.chunks(DIGEST_REPORTS) {
                self.peers.send(&to, &PeerMessage::Digest(part.to_vec()));
            }
        }
    }

    // Lets the traffic thread reset flows without a host once the hosts are settled.
    fn wake_traffic(&self, now: Time) {
        let mut state = self.state.borrow_mut();
        if let Some(wake_up) = state.wake_up(now) {
            self.peers.wake(state.settings.packets, wake_up);
        }
    }

    fn on_tick(&self, now: Time) {
        let mut state = self.state.borrow_mut();
        if state.was_paused(now) {
            self.store_signals.resync_all();
        }
        state.expire(now);
        state.judge_hosts(now);
        self.send_hellos(now, &mut state);
        let agents = state.agent_receivers(now);
        self.peers.send(&agents, &state.agent_hello(now));
        self.fetch_configuration(now, &state);
    }

    // Fetches the configuration from a balancer that is ahead.
    //
    // An answer of the store that is arriving brings it as well, so that a second copy would only take
    // half of the link from it.
    fn fetch_configuration(&self, now: Time, state: &State) {
        if self.fetching.get() || self.progress.is_arriving(now) {
            return;
        }
        let settings = &state.settings;
        let (version, avoided) = (state.version(), self.unreachable.get());
        let source = state
            .fleet
            .source(now, version, settings.node, &settings.centre, avoided);
        let Some(from) = source else {
            return;
        };
        self.fetching.set(true);
        let port = settings.peer_port;
        let (state, fetching) = (Rc::clone(&self.state), Rc::clone(&self.fetching));
        let unreachable = Rc::clone(&self.unreachable);
        spawn_local(async move {
            let fetched = feed::fetch(state, from, port).await;
            unreachable.set((!fetched).then_some(from));
            fetching.set(false);
        });
    }

    fn send_hellos(&self, now: Time, state: &mut State) {
        let receivers = state.balancer_receivers(now);
        for ask in [true, false] {
            let group: Vec<NodeId> = receivers
                .iter()
                .filter(|(_, asked)| *asked == ask)
                .map(|(node, _)| *node)
                .collect();
            if !group.is_empty() {
                self.peers.send(&group, &state.balancer_hello(now, ask));
            }
        }
    }

    // Marks the balancer as not ready; returns the time at which the process exits.
    fn stop(&self) -> Instant {
        let now = usher_clock::now();
        let mut state = self.state.borrow_mut();
        state.stopping = true;
        let span = DRAIN_TIME.min(state.settings.grace - END_MARGIN);
        event::STOPPING.log(&[("after", &span)]);
        self.send_hellos(now, &mut state);
        Instant::now() + Duration::from_micros(span.as_micros())
    }
}
