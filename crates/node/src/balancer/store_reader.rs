use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::Notify;
use usher_platform::{Reply, Request};
use usher_types::Span;

use super::answer_progress::AnswerProgress;
use super::state::State;
use super::store_signals::StoreSignals;
use crate::control::BALANCERS;
use crate::http::Client;

// The store answers in 4 ms; one that is 50 times slower is still usable.
const PROBE_TIMEOUT: Span = Span::from_millis(1_000);
const OK: u16 = 200;

/// Connection to the store of a task that follows one kind of objects.
#[derive(Debug)]
pub(super) struct StoreReader {
    state: Rc<RefCell<State>>,
    signals: Rc<StoreSignals>,
    client: Client,
    /// Wakes the task that follows the other kind, which has to read again after a restore.
    other: fn(&StoreSignals) -> &Notify,
    progress: Rc<AnswerProgress>,
}

impl StoreReader {
    pub(super) fn new(
        state: Rc<RefCell<State>>,
        signals: Rc<StoreSignals>,
        other: fn(&StoreSignals) -> &Notify,
    ) -> Self {
        let client = state.borrow().store_client();
        Self {
            state,
            signals,
            client,
            other,
            progress: Rc::default(),
        }
    }

    /// Progress of the answer to the call that is under way.
    pub(super) fn progress(&self) -> Rc<AnswerProgress> {
        Rc::clone(&self.progress)
    }

    /// Calls the store; refuses an answer of an earlier era.
    pub(super) async fn call(
        &mut self,
        what: &'static str,
        request: &Request,
        limit: Span,
    ) -> Result<Reply, String> {
        self.progress.end();
        let on_part = || self.progress.on_part(usher_clock::now());
        let reply = self
            .client
            .call_observed(what, request, limit, on_part)
            .await;
        self.progress.end();
        let reply = reply.map_err(|fault| fault.to_string())?;
        let restored = self.state.borrow_mut().on_era(reply.era);
        match restored {
            None => return Err(format!("answer of era {}", reply.era)),
            Some(true) => {
                self.signals.restored.notify_one();
                (self.other)(&self.signals).notify_one();
            }
            Some(false) => {}
        }
        Ok(reply)
    }

    /// Checks that the store still answers.
    ///
    /// A watch that follows an idle one is sent after it. The store may have fallen silent meanwhile, and
    /// would not answer the watch.
    pub(super) async fn probe(&mut self) -> Result<(), String> {
        let request = Request::probe(BALANCERS);
        let reply = self.call("probe", &request, PROBE_TIMEOUT).await?;
        if reply.status == OK {
            Ok(())
        } else {
            Err(format!("status {}", reply.status))
        }
    }
}
