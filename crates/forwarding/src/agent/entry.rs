use usher_types::Time;

use crate::Head;

/// How far a flow at the backend server has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The opening packet was delivered.
    Opening,
    /// The backend server answered the opening packet.
    Answered,
    /// The backend server acknowledged data of the caller, so the flow is its own.
    Open,
    /// Both ends have finished, or one has reset the flow.
    Closed,
}

/// What the agent remembers of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) phase: Phase,
    /// Last packet in either direction.
    pub(crate) seen: Time,
    /// Start of the request that the backend server works on.
    pub(crate) working: Option<Time>,
    /// Position up to which the caller has received; a reset must be near it.
    pub(crate) received: u32,
    caller_finished: bool,
    host_finished: bool,
}

impl Entry {
    pub(crate) fn new(now: Time, phase: Phase) -> Self {
        Self {
            phase,
            seen: now,
            working: Some(now),
            received: 0,
            caller_finished: false,
            host_finished: false,
        }
    }

    /// Takes a packet of the caller.
    pub(crate) fn on_caller(&mut self, now: Time, head: &Head) {
        self.seen = now;
        if head.flags.acknowledging {
            self.received = head.acknowledged;
        }
        if head.data > 0 {
            self.working.get_or_insert(now);
        }
        self.caller_finished |= head.flags.finishing;
        self.close_if_over(head);
    }

    /// Takes a packet of the backend server; returns the start of the request that it answers.
    pub(crate) fn on_host(&mut self, now: Time, head: &Head) -> Option<Time> {
        self.seen = now;
        if head.flags.opening {
            if self.phase == Phase::Opening {
                self.phase = Phase::Answered;
            }
            return None;
        }
        if matches!(self.phase, Phase::Opening | Phase::Answered) {
            self.phase = Phase::Open;
        }
        self.host_finished |= head.flags.finishing;
        self.close_if_over(head);
        let answered = head.data > 0 || head.flags.finishing || head.flags.resetting;
        self.working.take_if(|_| answered)
    }

    fn close_if_over(&mut self, head: &Head) {
        if head.flags.resetting || (self.caller_finished && self.host_finished) {
            self.phase = Phase::Closed;
            self.working = None;
        }
    }
}
