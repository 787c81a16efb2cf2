use std::cell::RefCell;
use std::mem;
use std::rc::Rc;
use std::sync::Arc;

use usher_evacuation::{Evacuations, watch_wait};
use usher_forwarding::{NodeId, WatchSchedule};
use usher_platform::{
    Change, InvalidEntry, Listing, Object, Request, WatchAnswer, decode_evacuation,
};
use usher_types::Span;

use super::state::State;
use super::store_reader::StoreReader;
use super::store_signals::StoreSignals;
use crate::control::{Backoff, InvalidEntries};
use crate::event;

// The store answers in 4 ms; one that is 50 times slower is still usable.
const CALL_TIMEOUT: Span = Span::from_millis(1_000);
// Kind of the objects in log lines and metrics.
const EVACUATIONS: &str = "evacuations";
const OK: u16 = 200;
const GONE: u16 = 410;

/// Follows the evacuations in the store.
#[derive(Debug)]
pub(crate) struct EvacuationFeed {
    state: Rc<RefCell<State>>,
    signals: Rc<StoreSignals>,
    reader: StoreReader,
    node: NodeId,
    /// Time within which a request must be in force.
    bound: Span,
    /// The set as this process has read it; `None` to read everything.
    ///
    /// Changes apply to this set, since the one in force may be of a later version.
    stored: Option<Evacuations>,
    /// Number of the watch, by which its length differs.
    watches: u64,
    /// The last watch ended without a change.
    idle: bool,
    invalid_entries: InvalidEntries,
}

impl EvacuationFeed {
    pub(crate) fn new(state: Rc<RefCell<State>>, signals: Rc<StoreSignals>, bound: Span) -> Self {
        let (node, metrics) = {
            let state = state.borrow();
            (state.settings.node, Arc::clone(&state.metrics))
        };
        let reader = StoreReader::new(Rc::clone(&state), Rc::clone(&signals), |all| &all.resync);
        Self {
            state,
            signals,
            reader,
            node,
            bound,
            stored: None,
            watches: 0,
            idle: false,
            invalid_entries: InvalidEntries::new(metrics),
        }
    }

    /// Reads the evacuations and waits for changes, as long as the balancer runs.
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::new();
        let mut available = true;
        loop {
            match self.step().await {
                Ok(()) => {
                    backoff.reset();
                    if !available {
                        available = true;
                        event::STORE_UP.log(&[("call", &EVACUATIONS)]);
                    }
                }
                Err(fault) => {
                    // A watch that is sent to a silent store is never answered; a read ends soon.
                    self.stored = None;
                    if available {
                        available = false;
                        event::STORE_DOWN.log(&[("call", &EVACUATIONS), ("fault", &fault)]);
                    }
                    backoff.wait().await;
                }
            }
        }
    }

    async fn step(&mut self) -> Result<(), String> {
        let position = self.state.borrow().position;
        let stored = self.stored.clone();
        // What was read before a restore says nothing about the changes since.
        let Some(stored) = stored.filter(|stored| position.era() == stored.as_of().era()) else {
            return self.read().await;
        };
        let signals = Rc::clone(&self.signals);
        tokio::select! {
            outcome = self.watch(stored) => outcome,
            () = signals.evacuations.notified() => {
                // The call in flight has been dropped together with its connection.
                self.stored = None;
                Ok(())
            }
        }
    }

    // Reads all pages. The set holds as of the first one; a watch from there tells what has changed
    // between two pages.
    async fn read(&mut self) -> Result<(), String> {
        let mut set: Option<Evacuations> = None;
        let mut invalid = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let request = Request::evacuations(after.as_deref());
            let reply = self
                .reader
                .call("evacuations", &request, CALL_TIMEOUT)
                .await?;
            if reply.status != OK {
                return Err(format!("status {}", reply.status));
            }
            let listing = Listing::parse(&reply).map_err(|fault| fault.to_string())?;
            let version = listing.store_version;
            let set = set.get_or_insert_with(|| Evacuations::new(version));
            if version.era() != set.as_of().era() {
                return Err("store restored between two pages".to_owned());
            }
            let next = listing.next_page(after.as_deref());
            let next = next.map(|next| next.map(str::to_owned));
            for object in &listing.objects {
                request_evacuation(set, object, &mut invalid);
            }
            invalid.extend(listing.invalid);
            match next {
                Ok(Some(next)) => after = Some(next),
                Ok(None) => break,
                Err(fault) => {
                    event::LIST_INCOMPLETE.log(&[("kind", &EVACUATIONS), ("fault", &fault)]);
                    self.keep_active(set);
                    break;
                }
            }
        }
        if let Some(mut set) = set {
            self.keep_invalid(&mut set, &invalid);
            self.invalid_entries.replace(EVACUATIONS, &invalid);
            self.adopt(set);
        }
        Ok(())
    }

    // Waits for changes to the set that was read.
    async fn watch(&mut self, mut stored: Evacuations) -> Result<(), String> {
        if mem::take(&mut self.idle) {
            self.reader.probe().await?;
        }
        let since = stored.as_of();
        let wait = self.next_wait();
        let request = Request::watch_evacuations(since, wait);
        let reply = self
            .reader
            .call("watch-evacuations", &request, wait + CALL_TIMEOUT)
            .await?;
        if reply.era != since.era() {
            self.stored = None;
            return Ok(());
        }
        // The answer may have waited since the beginning of a pause.
        if self.state.borrow_mut().was_paused(usher_clock::now()) {
            self.signals.resync_all();
        }
        if self.state.borrow().is_unread() {
            self.stored = None;
            return Ok(());
        }
        if reply.status == GONE {
            event::HISTORY_DROPPED.log(&[("kind", &EVACUATIONS), ("since", &since)]);
            self.stored = None;
            return Ok(());
        }
        if reply.status != OK {
            return Err(format!("status {}", reply.status));
        }
        let answer = WatchAnswer::parse(&reply).map_err(|fault| fault.to_string())?;
        self.idle = answer.changes.is_empty();
        let mut invalid = answer.invalid;
        for change in answer.changes {
            match change {
                Change::Written(object) => request_evacuation(&mut stored, &object, &mut invalid),
                Change::Removed { name } => stored.withdraw(&name),
            }
        }
        self.invalid_entries.add(EVACUATIONS, &invalid);
        stored.advance(answer.store_version);
        self.adopt(stored);
        Ok(())
    }

    fn next_wait(&mut self) -> Span {
        self.watches += 1;
        let (state, now) = (self.state.borrow(), usher_clock::now());
        let balancers = state.fleet.present(now).len() + 1;
        let seed = u64::from(u32::from(self.node.address())) + self.watches;
        let period = watch_wait(self.bound, balancers, seed);
        let Some(changed_at) = state.evacuated_at else {
            return period;
        };
        let (rank, balancers) = state.place(now);
        let schedule = WatchSchedule::new(period, rank, balancers);
        schedule.wait(now - changed_at).min(period)
    }

    fn adopt(&mut self, set: Evacuations) {
        self.state.borrow_mut().on_stored_evacuations(&set);
        self.stored = Some(set);
    }

    // An entry that cannot be decoded changes nothing, so its data centre stays as it was.
    fn keep_invalid(&self, set: &mut Evacuations, invalid: &[InvalidEntry]) {
        let state = self.state.borrow();
        for name in invalid.iter().filter_map(|entry| entry.name.as_ref()) {
            let latest = state.stored_evacuations().into_iter();
            let known = latest.flat_map(Evacuations::centres);
            for centre in known.filter(|centre| centre.as_str() == name) {
                set.request(centre.clone());
            }
        }
    }

    // A list that was read in part does not show that an evacuation was withdrawn.
    fn keep_active(&self, set: &mut Evacuations) {
        let state = self.state.borrow();
        let latest = state.stored_evacuations().into_iter();
        for centre in latest.flat_map(Evacuations::centres) {
            set.request(centre.clone());
        }
    }
}

// Adds the data centre that an object names; an object that cannot be decoded is added to `invalid`.
fn request_evacuation(set: &mut Evacuations, object: &Object, invalid: &mut Vec<InvalidEntry>) {
    match decode_evacuation(object) {
        Ok(centre) => {
            if !set.request(centre.clone()) {
                event::EVACUATIONS_IGNORED
                    .log(&[("centre", &centre), ("limit", &Evacuations::MAX)]);
            }
        }
        Err(fault) => invalid.push(InvalidEntry {
            name: Some(object.name.clone()),
            fault,
        }),
    }
}
