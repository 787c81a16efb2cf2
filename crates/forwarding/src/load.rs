use serde::{Deserialize, Serialize};
use usher_types::{Slots, Span};

// Work of a request at a backend server that has answered none yet.
const ASSUMED_WORK: Span = Span::from_millis(20);

/// Requests at a backend server, as its agent sees them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that it works on or holds back.
    pub working: u16,
    /// Mean time of work; zero when no request was seen yet.
    pub mean: Span,
}

impl Load {
    /// Mean time of work, or an assumed one.
    pub(crate) fn work(&self) -> Span {
        if self.mean == Span::ZERO {
            ASSUMED_WORK
        } else {
            self.mean
        }
    }

    /// Time until a slot is free for one more request.
    pub(crate) fn wait(&self, slots: Slots) -> Span {
        let slots = u64::from(slots.get().max(1));
        let ahead = u64::from(self.working).saturating_sub(slots - 1);
        Span::from_micros(self.work().as_micros() * ahead / slots)
    }
}
