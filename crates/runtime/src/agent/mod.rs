//! The agent: owns the flows and requests of one backend server.

mod control;
mod counts;
mod deliver;
mod handover;
mod phase;
mod process;
mod reader;
mod runs;
mod worker;
mod worker_event;

use std::sync::mpsc;
use std::thread;

use async_std::channel::{self, Receiver};
use async_std::task;
use usher_admission::Policy;
use usher_agent::{AgentState, Settings};

use self::control::Control;
use self::worker::Worker;
use self::worker_event::WorkerEvent;
use crate::control::ControlEvent;
use crate::metrics::Metrics;
use crate::{AgentSettings, RuntimeError, backend, event, socket};

const METRICS_PREFIX: &str = "marigoldusher.agent";

/// Runs an agent until a planned stop has finished; a message on `stop` begins it.
///
/// # Errors
/// Fails when an address cannot be used.
pub fn run_agent(settings: AgentSettings, stop: Receiver<()>) -> Result<(), RuntimeError> {
    let metrics = Metrics::new(METRICS_PREFIX, settings.common.statsd)?;
    let socket = socket::bind(settings.listen)?;
    let incarnation = crate::balancer::incarnation();
    let agent = AgentState::new(Settings {
        host: settings.host.clone(),
        incarnation,
        service: settings.service.clone(),
        address: settings.listen,
        slots: settings.slots,
        policy: Policy::default(),
    });
    let (events, receiver) = channel::unbounded::<ControlEvent>();
    let (to_worker, worker_events) = mpsc::channel::<WorkerEvent>();
    let (commands, queue) = channel::unbounded();
    reader::start(&socket, to_worker.clone(), events.clone(), metrics.clone())?;
    let reports = to_worker.clone();
    task::spawn(backend::serve(settings.backend, queue, move |report| {
        // Fails only while the process is ending.
        let _ = reports.send(WorkerEvent::Backend(report));
    }));
    let links = worker::Links {
        socket: clone(&socket)?,
        commands,
        events: events.clone(),
        to_self: to_worker.clone(),
        metrics,
    };
    let worker = Worker::new(settings.clone(), agent, links);
    thread::Builder::new()
        .name("traffic".to_owned())
        .spawn(move || worker.run(&worker_events))
        .map_err(RuntimeError::Thread)?;
    event::STARTED.log(&[("role", &"agent"), ("listen", &settings.listen)]);
    let control = Control::new(settings, incarnation, socket, to_worker, events);
    let thread = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || task::block_on(control.run(receiver, stop)))
        .map_err(RuntimeError::Thread)?;
    let result = thread.join().map_err(|_panic| RuntimeError::Control)?;
    event::STOPPED.log(&[]);
    result
}

fn clone(socket: &std::net::UdpSocket) -> Result<std::net::UdpSocket, RuntimeError> {
    socket.try_clone().map_err(RuntimeError::Thread)
}
