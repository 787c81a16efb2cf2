use usher_types::{Span, Time};

use crate::Load;

// Weight of one sample in the moving mean, which adapts over about 10 requests.
const SAMPLE_WEIGHT: f64 = 0.1;
// A live backend server answers or returns a packet within a millisecond.
const ANSWER_TIMEOUT: Span = Span::from_millis(150);
// An unresponsive backend server is tried with one opening packet per interval.
const TRIAL_INTERVAL: Span = Span::from_millis(500);
// A backend server that returned an opening packet is full for about the time of one request.
const FULL_PERIOD: Span = Span::from_millis(20);

/// Observed response times and availability of the backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct HostMonitor {
    mean: Option<Span>,
    unanswered_since: Option<Time>,
    /// First packet of a flow that the backend server may not hold since its last packet.
    unreturned_since: Option<Time>,
    last_trial: Time,
    full_until: Time,
}

impl HostMonitor {
    /// Records the processing time of an answered request.
    pub(crate) fn record_work(&mut self, time: Span) {
        let mean = self.mean.unwrap_or(time);
        self.mean = Some(mean.scale(1.0 - SAMPLE_WEIGHT) + time.scale(SAMPLE_WEIGHT));
    }

    /// Records that an opening packet was delivered.
    pub(crate) fn delivered_opening(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
        self.last_trial = now;
    }

    /// Records that the backend server responded.
    pub(crate) fn host_responded(&mut self) {
        self.unanswered_since = None;
        self.unreturned_since = None;
    }

    /// Records a packet that the backend server returns unless it holds the flow.
    pub(crate) fn delivered_unknown(&mut self, now: Time) {
        self.unreturned_since.get_or_insert(now);
    }

    /// Whether packets may be lost at the backend server.
    ///
    /// It may also hold the flows of the packets that it has not returned, and be idle otherwise.
    pub(crate) fn may_be_silent(&self, now: Time, overdue: bool) -> bool {
        let waiting = [self.unanswered_since, self.unreturned_since];
        let late = |since: Time| now - since > ANSWER_TIMEOUT;
        overdue || waiting.into_iter().flatten().any(late)
    }

    /// Records that the backend server returned an opening packet.
    pub(crate) fn returned_opening(&mut self, now: Time) {
        self.full_until = now + FULL_PERIOD;
    }

    /// Whether opening packets remain unanswered and no trial is due.
    ///
    /// A backend server whose heartbeats are `overdue` gets no trial.
    pub(crate) fn is_silent(&self, now: Time, overdue: bool) -> bool {
        self.unanswered_since
            .is_some_and(|since| now - since > ANSWER_TIMEOUT)
            && (overdue || now - self.last_trial < TRIAL_INTERVAL)
    }

    /// Whether the backend server has returned an opening packet lately.
    pub(crate) fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    pub(crate) fn load(&self, working: usize) -> Load {
        Load {
            working: u16::try_from(working).unwrap_or(u16::MAX),
            mean: self.mean.unwrap_or(Span::ZERO),
        }
    }

    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
