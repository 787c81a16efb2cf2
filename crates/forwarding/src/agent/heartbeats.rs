//! What an agent knows of its backend server: heartbeats, state and completeness of the flow table.

use usher_types::{Sequence, Span, Time};

use super::forwarder::AgentForwarder;
use super::lifecycle::HeartbeatEffect;
use crate::{FlowKey, HostHeartbeat, HostState};

// Longest time that a backend server takes flows before its first heartbeat arrives: one heartbeat
// is lost, and the next one comes 1.2 s later.
const FIRST_HEARTBEAT_DELAY: Span = Span::from_millis(2_500);
// Number of the first heartbeat of a process.
const FIRST_HEARTBEAT: Sequence = Sequence::new(1);
// A process that starts before its agent listens calls again at once. Within half an interval of
// heartbeats no earlier agent has heard it, given it flows and ended.
const FIRST_HEARTBEAT_AGE: Span = Span::from_millis(600);
// Interval at which backend servers send heartbeats.
const HEARTBEAT_INTERVAL: Span = Span::from_millis(1_200);
// A running process calls within its interval of 1.2 s; the rest is for a busy machine.
const UNHEARD_TIME: Span = Span::from_millis(1_500);
// Two missed heartbeats; they come every 1.2 s.
const HEARTBEAT_TIMEOUT: Span = Span::from_millis(2_700);

impl AgentForwarder {
    /// Applies a heartbeat. With `Started`, also returns the flows that were lost with earlier
    /// processes, each with the position up to which its caller has received.
    pub fn on_heartbeat(
        &mut self,
        now: Time,
        heartbeat: HostHeartbeat,
    ) -> (HeartbeatEffect, Vec<(FlowKey, u32)>) {
        if heartbeat.host != self.host {
            return (HeartbeatEffect::Foreign, Vec::new());
        }
        let first = self.lifecycle.heartbeat().is_none();
        let (sequence, age) = (heartbeat.sequence, heartbeat.age);
        let effect = self
            .lifecycle
            .on_heartbeat(heartbeat, now - self.heard_at > HEARTBEAT_TIMEOUT);
        if !matches!(effect, HeartbeatEffect::Late | HeartbeatEffect::Foreign) {
            self.heard_at = now;
            self.evacuation.on_heartbeat();
        }
        if effect == HeartbeatEffect::Started {
            let young = age.is_some_and(|age| age <= FIRST_HEARTBEAT_AGE);
            self.heard_first = sequence == FIRST_HEARTBEAT || (first && young);
            // A process may take flows from an earlier agent before its first heartbeat. It cannot
            // if this agent has run since before the process.
            if self.heard_first && (!first || now - self.started >= FIRST_HEARTBEAT_DELAY) {
                self.complete_at = self.complete_at.min(now);
            }
        }
        let mut lost_flows = Vec::new();
        if effect == HeartbeatEffect::Started && !first {
            self.monitor.reset();
            let since = now - FIRST_HEARTBEAT_DELAY;
            if let Some(window) = &mut self.outcomes {
                for _ in 0..self.flows.requested_before(since) {
                    window.record_failed(now);
                }
            }
            lost_flows = self.flows.clear_before(since);
            self.release_requests(now);
        }
        (effect, lost_flows)
    }

    /// Ends the backend server `id`; returns its lost flows as `on_heartbeat` does.
    pub fn on_leave(&mut self, now: Time, id: &str) -> Option<Vec<(FlowKey, u32)>> {
        if !self.lifecycle.on_leave(id) {
            return None;
        }
        self.complete_at = now;
        let lost_flows = self.flows.clear();
        self.release_requests(now);
        Some(lost_flows)
    }

    /// Makes the agent take no new flows.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Records whether the data centre of the host is evacuated, as of a hello message at `now`.
    ///
    /// The host takes no new flows while it is, nor after a pause until messages of that time are read.
    pub fn confirm_evacuation(&mut self, now: Time, evacuated: bool) {
        self.evacuation.confirm(now, evacuated);
    }

    /// Whether the host counts as cold: its evacuation has ended, and no heartbeat has come since.
    pub fn is_cold_after_evacuation(&self) -> bool {
        self.evacuation.has_ended()
    }

    /// How long the host stays slow, as far as is known.
    ///
    /// After an evacuation that is at least until the next heartbeat.
    pub fn warmup(&self) -> Span {
        let told = self.heartbeat().map(|heartbeat| heartbeat.warmup);
        let told = told.unwrap_or(Span::ZERO);
        if self.is_cold_after_evacuation() {
            told.max(HEARTBEAT_INTERVAL)
        } else {
            told
        }
    }

    /// State of the host as reported to balancers.
    pub fn state(&self) -> HostState {
        match self.lifecycle.state() {
            HostState::Serving if self.stopping => HostState::Draining,
            state => state,
        }
    }

    /// Whether all flows of the backend server are in the table, as reported to balancers.
    ///
    /// This is also so if the first heartbeat of the process was heard by an agent that started at
    /// about the same time. The process may then hold flows of an earlier agent, so such an agent still
    /// lets it answer for unknown flows. A process that has not been heard for longer than its interval
    /// of heartbeats does not run, and holds no flow.
    pub fn reports_complete(&self, now: Time) -> bool {
        let unheard = self.state() == HostState::Unheard && self.uptime(now) >= UNHEARD_TIME;
        self.heard_first || unheard || self.is_complete(now)
    }

    /// How long the agent has run.
    pub fn uptime(&self, now: Time) -> Span {
        now - self.started
    }

    /// The latest heartbeat of the backend server.
    pub fn heartbeat(&self) -> Option<&HostHeartbeat> {
        self.lifecycle.heartbeat()
    }

    // Whether an unknown flow is certainly not held by the backend server.
    pub(super) fn is_complete(&self, now: Time) -> bool {
        now >= self.complete_at || self.lifecycle.state() == HostState::Ended
    }

    pub(super) fn is_overdue(&self, now: Time) -> bool {
        now - self.heard_at > HEARTBEAT_TIMEOUT
    }
}
