use usher_types::{Span, Time};

use crate::OutcomeCounts;

// An outcome counts half after this time. A host of 65 gets about 24 requests a second, so about
// 100 outcomes count.
const HALF_LIFE: Span = Span::from_secs(3);

/// Requests that a host has answered and failed, with decreasing weight.
///
/// ```
/// use usher_outlier::OutcomeWindow;
/// use usher_types::{Span, Time};
/// let mut window = OutcomeWindow::default();
/// window.record_failed(Time::ZERO);
/// let counts = window.counts(Time::ZERO + Span::from_secs(30));
/// assert_eq!(counts.failed(), 0.0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct OutcomeWindow {
    answered: f64,
    failed: f64,
    updated: Time,
    last_answer: Option<Time>,
}

impl OutcomeWindow {
    /// Records a request that was answered.
    pub fn record_answered(&mut self, now: Time) {
        self.decay(now);
        self.answered += 1.0;
        self.last_answer = Some(now);
    }

    /// Records a request that the host has broken off.
    pub fn record_failed(&mut self, now: Time) {
        self.decay(now);
        self.failed += 1.0;
    }

    /// Records a request sent at `sent` that was not answered in time.
    ///
    /// Earlier answers say nothing about a host that has answered nothing since then.
    pub fn record_late(&mut self, now: Time, sent: Time) {
        self.record_failed(now);
        if self.last_answer.is_none_or(|answer| answer < sent) {
            self.answered = 0.0;
        }
    }

    /// The counts at `now`.
    pub fn counts(&mut self, now: Time) -> OutcomeCounts {
        self.decay(now);
        OutcomeCounts::new(self.answered, self.failed)
    }

    fn decay(&mut self, now: Time) {
        let left = remaining(now - self.updated);
        self.answered *= left;
        self.failed *= left;
        self.updated = self.updated.max(now);
    }
}

/// Weight of an outcome of this age.
pub(crate) fn remaining(age: Span) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}
