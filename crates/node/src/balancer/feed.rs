use std::cell::RefCell;
use std::mem;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use usher_forwarding::{NodeId, WatchSchedule};
use usher_platform::{Listing, Request, WatchAnswer};
use usher_types::{Span, Version};

use super::answer_progress::AnswerProgress;
use super::configuration_copy::ConfigurationCopy;
use super::state::State;
use super::store_reader::StoreReader;
use super::store_signals::StoreSignals;
use crate::control::{Backoff, InvalidEntries};
use crate::event;
use crate::http::Client;

// Longest wait of a call for changes. Keep-alive probes detect a dead connection sooner.
const WATCH_WAIT: Span = Span::from_secs(10);
// The store answers in 4 ms; one that is 50 times slower is still usable.
const CALL_TIMEOUT: Span = Span::from_millis(1_000);
// Kind of the operator's configuration in log lines and metrics.
const CONFIGURATIONS: &str = "configuration";
const OK: u16 = 200;
const GONE: u16 = 410;

/// Follows the operator's configuration in the store.
#[derive(Debug)]
pub(crate) struct Feed {
    state: Rc<RefCell<State>>,
    signals: Rc<StoreSignals>,
    reader: StoreReader,
    invalid_entries: InvalidEntries,
    /// The last call failed, so the store may still be silent.
    failed: bool,
    /// The last watch ended without a change.
    idle: bool,
}

impl Feed {
    pub(crate) fn new(state: Rc<RefCell<State>>, signals: Rc<StoreSignals>) -> Self {
        let metrics = Arc::clone(&state.borrow().metrics);
        let reader = StoreReader::new(Rc::clone(&state), Rc::clone(&signals), |all| {
            &all.evacuations
        });
        Self {
            state,
            signals,
            reader,
            invalid_entries: InvalidEntries::new(metrics),
            failed: false,
            idle: false,
        }
    }

    /// Progress of the answer that brings the configuration.
    pub(super) fn progress(&self) -> Rc<AnswerProgress> {
        self.reader.progress()
    }

    /// Reads the configuration and waits for changes, as long as the balancer runs.
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::new();
        let mut available = true;
        loop {
            let outcome = self.step().await;
            self.failed = outcome.is_err();
            let fault = match outcome {
                Ok(()) => {
                    backoff.reset();
                    if !available {
                        available = true;
                        event::STORE_UP.log(&[("version", &self.state.borrow().version())]);
                    }
                    continue;
                }
                Err(fault) => fault,
            };
            event::CONFIG_NOT_READ.log(&[("fault", &fault)]);
            if available {
                available = false;
                event::STORE_DOWN.log(&[
                    ("call", &"configuration"),
                    ("fault", &fault),
                    ("version", &self.state.borrow().version()),
                ]);
            }
            backoff.wait().await;
        }
    }

    async fn step(&mut self) -> Result<(), String> {
        let since = self.state.borrow().position.since();
        // A watch that is sent to a silent store is never answered, and would hide the changes after
        // the store is back until its long limit. A read ends soon, and is repeated until it succeeds.
        let Some(since) = since.filter(|_| !self.failed) else {
            return self.read().await;
        };
        let signals = Rc::clone(&self.signals);
        tokio::select! {
            outcome = self.watch(since) => outcome,
            () = signals.resync.notified() => {
                // The call in flight has been dropped together with its connection.
                self.state.borrow_mut().position.reset();
                Ok(())
            }
        }
    }

    // Reads the configuration and takes the store's version as the position.
    async fn read(&mut self) -> Result<(), String> {
        let request = Request::configuration();
        let reply = self.reader.call("read", &request, CALL_TIMEOUT).await?;
        if reply.status != OK {
            return Err(format!("status {}", reply.status));
        }
        let listing = Listing::parse(&reply).map_err(|fault| fault.to_string())?;
        self.invalid_entries
            .replace(CONFIGURATIONS, &listing.invalid);
        let mut state = self.state.borrow_mut();
        state.position.advance(listing.store_version);
        state.confirm();
        if let Some(object) = listing.configuration() {
            state.adopt(object.version, object.spec, "store");
        }
        Ok(())
    }

    // Waits for changes since the position, and moves it on or gives it up.
    async fn watch(&mut self, since: Version) -> Result<(), String> {
        if mem::take(&mut self.idle) {
            self.reader.probe().await?;
        }
        let wait = self.next_wait();
        let request = Request::watch_configuration(since, wait);
        let limit = wait + CALL_TIMEOUT;
        let reply = self.reader.call("watch", &request, limit).await?;
        let mut state = self.state.borrow_mut();
        if !state.position.continues(since) {
            return Ok(());
        }
        // The answer may have waited since the beginning of a pause.
        let paused = state.was_paused(usher_clock::now());
        if paused {
            self.signals.evacuations.notify_one();
        }
        if paused || state.is_unconfirmed() {
            state.position.reset();
            return Ok(());
        }
        if reply.status == GONE {
            event::HISTORY_DROPPED.log(&[("since", &since)]);
            state.position.reset();
            return Ok(());
        }
        if reply.status != OK {
            return Err(format!("status {}", reply.status));
        }
        let answer = WatchAnswer::parse(&reply).map_err(|fault| fault.to_string())?;
        self.invalid_entries.add(CONFIGURATIONS, &answer.invalid);
        self.idle = answer.changes.is_empty();
        state.position.advance(answer.store_version);
        for object in answer.configurations() {
            state.adopt(object.version, object.spec, "store");
        }
        Ok(())
    }

    fn next_wait(&self) -> Span {
        let state = self.state.borrow();
        let now = usher_clock::now();
        let (rank, balancers) = state.place(now);
        let period = WatchSchedule::period(WATCH_WAIT, balancers);
        WatchSchedule::new(period, rank, balancers).wait(now - state.configured_at)
    }
}

/// Fetches the configuration from another balancer; returns whether it gave one.
pub(crate) async fn fetch(state: Rc<RefCell<State>>, from: NodeId, port: u16) -> bool {
    let address = SocketAddrV4::new(from.address(), port);
    let request = Request {
        method: "GET",
        path: super::control::CONFIGURATION_PATH.to_owned(),
        body: String::new(),
    };
    let metrics = Arc::clone(&state.borrow().metrics);
    let reply = Client::new(address, metrics)
        .call("fetch", &request, CALL_TIMEOUT)
        .await;
    let fetched = match reply {
        Ok(reply) if reply.status == OK => {
            ConfigurationCopy::parse(&reply.body).map_err(|fault| fault.to_string())
        }
        Ok(reply) => Err(format!("status {}", reply.status)),
        Err(fault) => Err(fault.to_string()),
    };
    match fetched {
        Ok(fetched) => {
            state
                .borrow_mut()
                .adopt(fetched.version, fetched.document, "balancer");
            true
        }
        Err(fault) => {
            event::CONFIG_FETCH_FAILED.log(&[("balancer", &from), ("fault", &fault)]);
            false
        }
    }
}
