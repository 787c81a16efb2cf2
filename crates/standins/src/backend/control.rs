use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use usher_types::{RequestKey, Span};

/// How a backend server treats the requests that it receives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs them normally.
    #[default]
    Normal,
    /// Starts them, and finishes them only after the behaviour has changed.
    Paused,
    /// Runs them for this much longer.
    Late(Span),
    /// Runs them and returns an error.
    Failing,
    /// Rejects them without starting them.
    Shedding,
}

/// Changes the behaviour of a running backend server and counts its runs.
///
/// ```
/// use usher_standins::{Behaviour, BackendControl};
/// let control = BackendControl::default();
/// control.set(Behaviour::Shedding);
/// assert_eq!(control.total(), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct BackendControl(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    runs: IndexMap<RequestKey, usize>,
    total: usize,
}

impl BackendControl {
    /// Changes the behaviour; `Paused` and `Failing` also affect runs in progress.
    pub fn set(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Number of runs started for a key.
    pub fn runs(&self, key: RequestKey) -> usize {
        self.lock().runs.get(&key).copied().unwrap_or_default()
    }

    /// Number of runs started for all keys.
    pub fn total(&self) -> usize {
        self.lock().total
    }

    pub(crate) fn behaviour(&self) -> Behaviour {
        self.lock().behaviour
    }

    pub(crate) fn record(&self, key: RequestKey) {
        let mut state = self.lock();
        *state.runs.entry(key).or_default() += 1;
        state.total += 1;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
