use usher_types::{Span, Time};

use crate::Load;

// Weight of one sample; about 10 requests settle the mean.
const SAMPLE_SHARE: f64 = 0.1;
// A backend server answers an opening packet within a millisecond when it is alive.
const UNANSWERED: Span = Span::from_millis(150);
// One opening packet in this time tries a backend server that did not answer.
const TRIAL_GAP: Span = Span::from_millis(500);
// After it returned an opening packet, a backend server is full for about one request's time.
const FULL: Span = Span::from_millis(20);

/// What the agent has seen of its backend server's pace.
#[derive(Debug, Clone, Default)]
pub(crate) struct Meter {
    mean: Option<Span>,
    unanswered: Option<Time>,
    tried: Time,
    full_until: Time,
}

impl Meter {
    /// A request was answered after a time of work.
    pub(crate) fn sample(&mut self, time: Span) {
        let mean = self.mean.unwrap_or(time);
        self.mean = Some(mean.scale(1.0 - SAMPLE_SHARE) + time.scale(SAMPLE_SHARE));
    }

    pub(crate) fn delivered_opening(&mut self, now: Time) {
        self.unanswered.get_or_insert(now);
        self.tried = now;
    }

    pub(crate) fn heard_host(&mut self) {
        self.unanswered = None;
    }

    pub(crate) fn returned_opening(&mut self, now: Time) {
        self.full_until = now + FULL;
    }

    /// Whether the backend server leaves opening packets unanswered.
    pub(crate) fn is_silent(&self, now: Time) -> bool {
        self.unanswered
            .is_some_and(|since| now - since > UNANSWERED)
            && now - self.tried < TRIAL_GAP
    }

    pub(crate) fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    pub(crate) fn load(&self, working: usize) -> Load {
        Load {
            working: u16::try_from(working).unwrap_or(u16::MAX),
            mean: self.mean.unwrap_or(Span::ZERO),
        }
    }

    pub(crate) fn forget(&mut self) {
        *self = Self::default();
    }
}
