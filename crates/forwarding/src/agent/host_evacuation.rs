use usher_types::{Span, Time};

use super::decision::ForwardReason;

// Every balancer sends a hello message each 300 ms. After a longer silence the process was paused, and
// opening packets that arrived meanwhile may be older than an evacuation that it has not read yet.
const CONFIRM_TIMEOUT: Span = Span::from_millis(2_500);

// Hello messages that arrived during a pause are read by this time after it.
const QUEUE_TIME: Span = Span::from_millis(300);

/// Whether the data centre of an agent's host is evacuated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct HostEvacuation {
    phase: Phase,
    /// When a balancer last told; `None` if none has, or evacuations are off.
    confirmed_at: Option<Time>,
    /// Until then a hello message may have waited since the beginning of a pause.
    queued_until: Time,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// The host takes new flows.
    #[default]
    Absent,
    /// The host takes no new flows.
    InForce,
    /// The evacuation has ended, and the host has sent no heartbeat since. It may have become cold.
    Ended,
}

impl HostEvacuation {
    /// Records what the newest hello message of a balancer tells.
    pub(crate) fn confirm(&mut self, now: Time, evacuated: bool) {
        if self.is_outdated(now) {
            self.queued_until = now + QUEUE_TIME;
        }
        self.confirmed_at = Some(now);
        self.phase = match (evacuated, self.phase) {
            (true, _) => Phase::InForce,
            (false, Phase::InForce) => Phase::Ended,
            (false, phase) => phase,
        };
    }

    /// Records a heartbeat, which tells how long the host stays cold.
    pub(crate) fn on_heartbeat(&mut self) {
        if self.phase == Phase::Ended {
            self.phase = Phase::Absent;
        }
    }

    /// Why the host must not take an opening packet, if it must not.
    pub(crate) fn obstacle(&self, now: Time) -> Option<ForwardReason> {
        if self.phase == Phase::InForce {
            return Some(ForwardReason::Evacuated);
        }
        let outdated = self.is_outdated(now) || now < self.queued_until;
        outdated.then_some(ForwardReason::Outdated)
    }

    fn is_outdated(&self, now: Time) -> bool {
        let confirmed_at = self.confirmed_at;
        confirmed_at.is_some_and(|confirmed_at| now - confirmed_at > CONFIRM_TIMEOUT)
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.phase == Phase::Ended
    }
}
