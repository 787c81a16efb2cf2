use std::time::Duration;

use async_std::channel::Sender;
use async_std::task;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use usher_config::{Object, RestorePace};
use usher_store::Store;
use usher_types::Span;

use super::{ConfigState, ControlEvent, Update};
use crate::event;

const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Writes objects that the store has lost again, one at a time.
#[derive(Debug)]
pub(crate) struct Restorer {
    active: bool,
    random: Pcg64,
}

impl Restorer {
    pub(crate) fn new() -> Self {
        Self {
            active: false,
            random: Pcg64::from_os_rng(),
        }
    }

    /// Begins after a random delay, if objects are lost.
    pub(crate) fn start(&mut self, state: &ConfigState, events: &Sender<ControlEvent>) {
        if self.active || state.lost().next().is_none() {
            return;
        }
        self.active = true;
        task::spawn(continue_after(self.part(pace(state).delay), events.clone()));
    }

    /// Writes a random object of those that are still lost.
    pub(crate) fn write_next(
        &mut self,
        state: &ConfigState,
        store: &Store,
        events: &Sender<ControlEvent>,
    ) {
        let Some(lost) = state.lost().choose(&mut self.random).cloned() else {
            self.active = false;
            return;
        };
        let pause = self.part(pace(state).pause);
        task::spawn(write(lost, store.clone(), events.clone(), pause));
    }

    fn part(&mut self, whole: Span) -> Duration {
        let part = whole.scale(self.random.random_range(0.0..1.0));
        Duration::from_micros(part.as_micros())
    }
}

fn pace(state: &ConfigState) -> RestorePace {
    RestorePace::new(state.processes(), state.lost().count())
}

async fn write(lost: Object, store: Store, events: Sender<ControlEvent>, pause: Duration) {
    let pause = match store.write_again(&lost).await {
        Ok(stored) => {
            log_written(&lost, &stored);
            let update = Update::of(stored);
            if events.send(ControlEvent::Objects(update)).await.is_err() {
                return;
            }
            pause
        }
        Err(fault) => {
            event::WRITE_AGAIN_FAILED.log(&[("object", &lost.key()), ("fault", &fault)]);
            RETRY_DELAY
        }
    };
    continue_after(pause, events).await;
}

fn log_written(lost: &Object, stored: &Object) {
    if stored.version == lost.version {
        event::WRITTEN_AGAIN.log(&[
            ("object", &lost.key()),
            ("version", &lost.version),
            ("position", &stored.position),
        ]);
    }
}

async fn continue_after(pause: Duration, events: Sender<ControlEvent>) {
    task::sleep(pause).await;
    // The control thread has ended if nothing receives the event.
    let _ = events.send(ControlEvent::WriteAgain).await;
}
