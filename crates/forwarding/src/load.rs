use serde::{Deserialize, Serialize};
use usher_types::{Slots, Span};

// Processing time assumed for a backend server that has answered no request yet.
const ASSUMED_WORK: Span = Span::from_millis(20);

/// Load of a backend server as its agent sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress or queued.
    pub working: u16,
    /// Mean processing time; zero until a request was answered.
    pub mean: Span,
}

impl Load {
    /// Mean processing time, or an assumed one.
    pub(crate) fn work(&self) -> Span {
        if self.mean == Span::ZERO {
            ASSUMED_WORK
        } else {
            self.mean
        }
    }

    /// Expected time until a slot is free for one more request.
    pub(crate) fn wait(&self, slots: Slots) -> Span {
        let slots = u64::from(slots.get().max(1));
        let ahead = u64::from(self.working).saturating_sub(slots - 1);
        Span::from_micros(self.work().as_micros() * ahead / slots)
    }
}
