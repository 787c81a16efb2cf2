use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use async_std::task;
use indexmap::IndexMap;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::types::{ErrorObjectOwned, Params};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Deserialize;
use serde_json::{Value, json};
use usher_types::{Span, Time};
use usher_wire::{RUN_NOT_STARTED, RunRequest};

use super::args::BackendArgs;
use super::control::{BackendControl, Behaviour};
use crate::clock;

const DEFAULT_SERVICE_TIME: Span = Span::from_millis(5);
const STRAGGLER_FACTOR: f64 = 30.0;
const COLD_FACTOR: f64 = 4.0;
const RUN_FAILED: i32 = -32_011;

/// A simulated backend server that draws a random service time for each request.
///
/// It prints one line `run KEY METHOD` for each request that it starts.
#[derive(Debug)]
pub struct Backend {
    args: BackendArgs,
    control: BackendControl,
    started: Time,
    state: Mutex<State>,
}

// Settings of the backend server that the body of a request may override.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Overrides {
    time_ms: Option<u64>,
    answer: Option<usize>,
}

#[derive(Debug)]
struct State {
    rng: Pcg64,
    busy: usize,
    runs: u64,
    leaving: bool,
    cancelled: IndexMap<u64, ()>,
}

impl Backend {
    /// Serves JSON-RPC until the handle is dropped.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn start(args: BackendArgs) -> io::Result<(SocketAddr, ServerHandle)> {
        Self::start_with(args, BackendControl::default()).await
    }

    /// Like [`Backend::start`], but `control` sets the behaviour and counts the runs.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn start_with(
        args: BackendArgs,
        control: BackendControl,
    ) -> io::Result<(SocketAddr, ServerHandle)> {
        let server = Server::builder().build(SocketAddr::V4(args.listen)).await?;
        let address = server.local_addr()?;
        let rng = Pcg64::seed_from_u64(args.seed);
        let state = State {
            rng,
            busy: 0,
            runs: 0,
            leaving: false,
            cancelled: IndexMap::new(),
        };
        let backend = Self {
            args,
            control,
            started: clock::now(),
            state: Mutex::new(state),
        };
        let module = backend.module().map_err(io::Error::other)?;
        Ok((address, server.start(module)))
    }

    fn module(self) -> Result<RpcModule<Arc<Self>>, RegisterMethodError> {
        let mut module = RpcModule::new(Arc::new(self));
        module.register_async_method("run", |params, backend, _| async move {
            backend.run(&params).await
        })?;
        module.register_method("health", |_, backend, _| backend.health())?;
        module.register_method("leave", |_, backend, _| backend.leave())?;
        module.register_method("cancel", |params, backend, _| backend.cancel(&params))?;
        Ok(module)
    }

    async fn run(&self, params: &Params<'_>) -> Result<Value, ErrorObjectOwned> {
        let request: RunRequest = params.parse()?;
        let overrides: Overrides = serde_json::from_str(request.body.get()).unwrap_or_default();
        let duration = self.begin(&request, &overrides)?;
        println!("run {} {}", request.key, request.method);
        let cancelled = self.simulate_work(request.run, duration).await;
        self.end(request.run);
        if cancelled {
            return Err(failure("cancelled while running"));
        }
        if self.control.behaviour() == Behaviour::Failing {
            return Err(failure("failed while running"));
        }
        let text = "x".repeat(overrides.answer.unwrap_or(self.args.answer));
        Ok(json!({ "service": self.args.service, "key": request.key, "text": text }))
    }

    fn begin(&self, request: &RunRequest, overrides: &Overrides) -> Result<Span, ErrorObjectOwned> {
        let now = clock::now();
        let mut state = self.lock();
        if request.start_by.is_some_and(|limit| now > limit) {
            return Err(not_started("start deadline passed"));
        }
        if state.busy >= self.args.slots {
            return Err(not_started("no free slot"));
        }
        let behaviour = self.control.behaviour();
        if behaviour == Behaviour::Shedding {
            return Err(not_started("shedding"));
        }
        state.busy += 1;
        state.runs += 1;
        self.control.record(request.key);
        let drawn = self.draw_service_time(&mut state.rng, &request.method, now);
        let duration = overrides.time_ms.map_or(drawn, Span::from_millis);
        Ok(match behaviour {
            Behaviour::Late(extra) => duration + extra,
            _ => duration,
        })
    }

    fn draw_service_time(&self, rng: &mut Pcg64, method: &str, now: Time) -> Span {
        let known = self.args.time.iter().find(|entry| entry.method == method);
        let mean = known.map_or(DEFAULT_SERVICE_TIME, |entry| entry.time);
        let mut factor = rng.random_range(0.5..1.5) / self.args.speed;
        if rng.random_bool(self.args.stragglers) {
            factor *= STRAGGLER_FACTOR;
        }
        if now - self.started < self.args.cold {
            factor *= COLD_FACTOR;
        }
        mean.scale(factor)
    }

    // Waits in steps, so that a cancelled run ends early; returns whether it was cancelled.
    async fn simulate_work(&self, run: u64, duration: Span) -> bool {
        const STEP: Span = Span::from_millis(50);
        let end = clock::now() + duration;
        loop {
            let mut left = end - clock::now();
            if self.control.behaviour() == Behaviour::Paused {
                left = STEP;
            }
            if left == Span::ZERO {
                return false;
            }
            task::sleep(std::time::Duration::from_micros(left.min(STEP).as_micros())).await;
            if self.lock().cancelled.contains_key(&run) {
                return true;
            }
        }
    }

    fn end(&self, run: u64) {
        let mut state = self.lock();
        state.busy -= 1;
        state.cancelled.swap_remove(&run);
    }

    fn cancel(&self, params: &Params<'_>) -> Result<bool, ErrorObjectOwned> {
        let run: u64 = params.one()?;
        self.lock().cancelled.insert(run, ());
        Ok(true)
    }

    fn leave(&self) -> bool {
        self.lock().leaving = true;
        true
    }

    fn health(&self) -> Value {
        let state = self.lock();
        json!({ "busy": state.busy, "slots": self.args.slots, "runs": state.runs, "leaving": state.leaving })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn failure(reason: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(RUN_FAILED, reason, None::<()>)
}

fn not_started(reason: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(RUN_NOT_STARTED, reason, None::<()>)
}
