//! The balancer: forwards packets from the fabric to agents.

mod control;
mod fleet_entry;
mod traffic;

use std::sync::Arc;
use std::thread;

use arc_swap::ArcSwap;
use async_std::channel::{self, Receiver};
use async_std::task;
use usher_routing::Router;

pub(crate) use self::control::incarnation;

use self::control::Control;
use self::traffic::Traffic;
use crate::control::ControlEvent;
use crate::metrics::Metrics;
use crate::{BalancerSettings, RuntimeError, event, socket};

const METRICS_PREFIX: &str = "marigoldusher.balancer";

/// Runs a balancer until a planned stop; a message on `stop` begins it.
///
/// # Errors
/// Fails when an address cannot be used.
pub fn run_balancer(settings: BalancerSettings, stop: Receiver<()>) -> Result<(), RuntimeError> {
    let metrics = Metrics::new(METRICS_PREFIX, settings.common.statsd)?;
    let packets = socket::bind(settings.packets)?;
    let control = socket::bind(settings.control)?;
    let router = Arc::new(ArcSwap::from_pointee(Router::default()));
    let (events, receiver) = channel::unbounded::<ControlEvent>();
    let traffic = Traffic::new(&settings, Arc::clone(&router), metrics.clone());
    traffic.start(&packets, &control, &events, settings.threads)?;
    event::STARTED.log(&[("role", &"balancer"), ("packets", &settings.packets)]);
    let state = Control::new(settings, control, router, metrics, events);
    // The control thread; the traffic threads end with the process.
    let thread = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || task::block_on(state.run(receiver, stop)))
        .map_err(RuntimeError::Thread)?;
    let result = thread.join().map_err(|_panic| RuntimeError::Control)?;
    event::STOPPED.log(&[]);
    result
}
