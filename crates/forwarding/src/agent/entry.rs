use usher_types::{Span, Time};

use crate::Head;

// A caller follows up within a round trip of a few milliseconds. One that has given up does not, and
// must not hold a slot.
const HANDSHAKE: Span = Span::from_millis(30);
// The longest work takes under half a second; a flow without an answer by then was lost.
const LONGEST_WORK: Span = Span::from_secs(3);

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
    /// When the flow's first packet was seen.
    pub(crate) since: Time,
    /// Last packet in either direction.
    pub(crate) seen: Time,
    /// Start of the handshake, or of the request that the backend server works on.
    working: Option<Time>,
    /// The caller has sent a request.
    requested: bool,
    /// Position up to which the caller has received, once it has followed up on its opening packet.
    received: Option<u32>,
    caller_finished: bool,
    host_finished: bool,
}

impl Entry {
    pub(crate) fn new(now: Time, phase: Phase) -> Self {
        Self {
            phase,
            since: now,
            seen: now,
            working: Some(now),
            requested: false,
            received: None,
            caller_finished: false,
            host_finished: false,
        }
    }

    /// Takes a packet of the caller.
    pub(crate) fn on_caller(&mut self, now: Time, head: &Head) {
        self.seen = now;
        if head.flags.acknowledging {
            self.received = Some(head.acknowledged);
        }
        if head.data > 0 {
            if !self.requested {
                self.working = Some(now);
            }
            self.requested = true;
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
        let requested = self.requested;
        self.requested &= !answered;
        self.working.take_if(|_| answered).filter(|_| requested)
    }

    /// Whether the flow ends with its backend server. One that the caller has not followed up may be
    /// a late copy of a flow that another host took.
    pub(crate) fn is_held(&self) -> bool {
        match self.phase {
            Phase::Opening | Phase::Answered => self.received.is_some(),
            Phase::Open => true,
            Phase::Closed => false,
        }
    }

    /// Position up to which the caller has received; a reset must be near it.
    pub(crate) fn received(&self) -> u32 {
        self.received.unwrap_or(0)
    }

    /// Whether a slot is taken, or will be.
    pub(crate) fn is_working(&self, now: Time) -> bool {
        let limit = if self.requested {
            LONGEST_WORK
        } else {
            HANDSHAKE
        };
        self.working.is_some_and(|start| now - start < limit)
    }

    fn close_if_over(&mut self, head: &Head) {
        if head.flags.resetting || (self.caller_finished && self.host_finished) {
            self.phase = Phase::Closed;
            self.working = None;
        }
    }
}
