use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use usher_types::{RequestKey, Span};

/// How a backend server treats the requests that it receives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs them.
    #[default]
    Normal,
    /// Starts them and goes on when the behaviour changes.
    Paused,
    /// Runs them and answers later by this time.
    Late(Span),
    /// Runs them and answers with an error.
    Failing,
    /// Does not start them.
    Shedding,
}

/// Controls a running backend server and shows what it has run.
///
/// ```
/// use usher_standins::{Behaviour, Switches};
/// let switches = Switches::default();
/// switches.set(Behaviour::Shedding);
/// assert_eq!(switches.total(), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Switches(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    runs: IndexMap<RequestKey, usize>,
    total: usize,
}

impl Switches {
    /// Changes the behaviour, for runs in progress as well.
    pub fn set(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Number of times that a key has started to run.
    pub fn runs(&self, key: RequestKey) -> usize {
        self.lock().runs.get(&key).copied().unwrap_or_default()
    }

    /// Number of runs that have started.
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
