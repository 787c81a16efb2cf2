use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};
use usher_clock::SuspendWatch;
use usher_forwarding::{NodeId, Relayed, View};
use usher_platform::Call;
use usher_types::{Span, Time};

use super::state::State;
use super::{feed, traffic};
use crate::codec::PeerMessage;
use crate::control::{Peers, Signal, Signals, reload, serve_metrics};
use crate::http::{Answer, serve};
use crate::metrics::Metrics;
use crate::socket::open_udp;
use crate::{NodeError, Settings, event};

/// Path under which balancers give each other the configuration.
pub(crate) const CONFIGURATION_PATH: &str = "/configuration";

// Balancers greet each other and the agents; the version in a greeting bounds how long a balancer
// that the store does not serve stays behind.
const GREET: Span = Span::from_millis(300);
// Reports that agents sent here are relayed at the pace of the reports.
const RELAY: Duration = Duration::from_millis(100);
// Reports in one datagram; each takes about 50 bytes.
const DIGEST: usize = 24;
// The platform asks twice a second and turns away after two misses; packets on the way follow.
const TURN_AWAY: Span = Span::from_millis(2_500);
// Part of the grace time that is kept for ending.
const END_MARGIN: Span = Span::from_millis(1_000);

/// Runs a balancer until it is stopped.
pub(crate) async fn run(
    settings: Settings,
    file: &Path,
    mut signals: Signals,
) -> Result<(), NodeError> {
    let view = Arc::new(ArcSwap::from_pointee(View::default()));
    let socket = open_udp(settings.packets, "packets")?;
    let peers = Peers::open(&settings)?;
    let metrics = Arc::new(Metrics::new());
    let state = State::new(settings.clone(), Arc::clone(&view), Arc::clone(&metrics));
    let state = Rc::new(RefCell::new(state));
    listen(&settings, &state).await?;
    let (node, port) = (settings.node, settings.packets.port());
    thread::Builder::new()
        .name("traffic".to_owned())
        .spawn(move || traffic::run(node, port, &socket, &view, &metrics))
        .map_err(|cause| NodeError::Start {
            what: "the traffic thread",
            cause: cause.to_string(),
        })?;
    for seed in &settings.seeds {
        if *seed != settings.node {
            state.borrow_mut().fleet.learn(usher_clock::now(), *seed);
        }
    }
    let again = Rc::new(Notify::new());
    spawn_local(feed::follow(
        Rc::clone(&state),
        settings.store,
        Rc::clone(&again),
    ));
    spawn_local(feed::find_balancers(Rc::clone(&state)));
    event::STARTED.log(&[
        ("role", &"balancer"),
        ("packets", &settings.packets),
        ("store", &settings.store),
    ]);
    let control = Control {
        state,
        peers,
        again,
        fetching: Rc::new(Cell::new(false)),
    };
    control.serve(&mut signals, file).await;
    event::STOPPED.log(&[]);
    Ok(())
}

async fn listen(settings: &Settings, state: &Rc<RefCell<State>>) -> Result<(), NodeError> {
    let shared = Rc::clone(state);
    serve(settings.ready, "readiness", move |method, path, _body| {
        let known = Call::parse(method, path) == Some(Call::Ready);
        let status = match (known, shared.borrow_mut().is_ready()) {
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
        "configuration for balancers",
        move |method, path, _body| match (method, path) {
            ("GET", CONFIGURATION_PATH) => Answer::json(200, shared.borrow().document()),
            _ => Answer::empty(404),
        },
    )
    .await?;
    let shared = Rc::clone(state);
    serve_metrics(settings, move || shared.borrow().metrics_text()).await
}

#[derive(Debug)]
struct Control {
    state: Rc<RefCell<State>>,
    peers: Peers,
    again: Rc<Notify>,
    fetching: Rc<Cell<bool>>,
}

impl Control {
    async fn serve(&self, signals: &mut Signals, file: &Path) {
        let mut ticks = interval(RELAY);
        let mut greeted = None;
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut suspends = SuspendWatch::new();
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
                    if greeted.is_none_or(|greeted| now - greeted >= GREET) {
                        greeted = Some(now);
                        self.on_tick(now, &mut suspends);
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
            PeerMessage::Report(report) => state.hear_agent(now, node, report),
            PeerMessage::Digest(digest) => state.hear_digest(now, node, digest),
            PeerMessage::Hello(hello) => {
                let new = state.hear_balancer(now, node, hello);
                let agents = state.unknown_agents(now, hello);
                if new {
                    self.peers.send([&node], &state.hello_balancer(now, false));
                }
                if !agents.is_empty() {
                    self.peers.send(&agents, &state.hello_agent(now));
                }
            }
        }
    }

    fn relay(&self, now: Time) {
        let digests = self.state.borrow_mut().digests(now);
        for Relayed { to, reports } in digests {
            for part in reports.chunks(DIGEST) {
                self.peers.send(&to, &PeerMessage::Digest(part.to_vec()));
            }
        }
    }

    fn on_tick(&self, now: Time, suspends: &mut SuspendWatch) {
        if let Some(span) = suspends.check() {
            event::RESUMED.log(&[("for", &span)]);
            self.again.notify_one();
        }
        let mut state = self.state.borrow_mut();
        state.expire(now);
        self.greet(now, &mut state);
        let agents = state.greeted_agents(now);
        self.peers.send(&agents, &state.hello_agent(now));
        let version = state.version();
        let port = state.settings.peer_port;
        if let Some((from, _)) = state.fleet.ahead(now, version)
            && !self.fetching.replace(true)
        {
            let (state, fetching) = (Rc::clone(&self.state), Rc::clone(&self.fetching));
            spawn_local(async move {
                feed::fetch(state, from, port).await;
                fetching.set(false);
            });
        }
    }

    fn greet(&self, now: Time, state: &mut State) {
        let greeted = state.greeted_balancers(now);
        for ask in [true, false] {
            let group: Vec<NodeId> = greeted
                .iter()
                .filter(|(_, asked)| *asked == ask)
                .map(|(node, _)| *node)
                .collect();
            if !group.is_empty() {
                self.peers.send(&group, &state.hello_balancer(now, ask));
            }
        }
    }

    // Turns traffic away; returns when the process ends.
    fn stop(&self) -> Instant {
        let now = usher_clock::now();
        let mut state = self.state.borrow_mut();
        state.stopping = true;
        let span = TURN_AWAY.min(state.settings.grace - END_MARGIN);
        event::STOPPING.log(&[("after", &span)]);
        self.greet(now, &mut state);
        Instant::now() + Duration::from_micros(span.as_micros())
    }
}
