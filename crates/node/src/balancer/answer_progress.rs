use std::cell::Cell;

use usher_types::{Span, Time};

// Pause within an answer after which it no longer counts as arriving, shorter than the client's limit.
const PAUSE: Span = Span::from_millis(500);
// Time that an answer has a link for itself: 3.7 MB at 10 Mbit/s. A slower one may never end.
const SOLE_TIME: Span = Span::from_secs(3);

/// Whether an answer of the store is arriving, for those who would share its link.
#[derive(Debug, Default)]
pub(super) struct AnswerProgress {
    /// When the first and the latest part of the answer came.
    parts: Cell<Option<(Time, Time)>>,
}

impl AnswerProgress {
    /// Records a part of the answer.
    pub(super) fn on_part(&self, now: Time) {
        let first = self.parts.get().map_or(now, |(first, _)| first);
        self.parts.set(Some((first, now)));
    }

    /// Records that the answer is complete, or given up.
    pub(super) fn end(&self) {
        self.parts.set(None);
    }

    /// Whether the answer keeps arriving and deserves the link for itself.
    pub(super) fn is_arriving(&self, now: Time) -> bool {
        let parts = self.parts.get();
        parts.is_some_and(|(first, latest)| now - latest < PAUSE && now - first < SOLE_TIME)
    }
}
