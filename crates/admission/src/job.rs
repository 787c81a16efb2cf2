use std::net::SocketAddrV4;

use usher_types::{Outcome, Refusal, Time};

use crate::class::Class;
use crate::task::{PossibleRun, Task};

/// A request in the state `S` of its life cycle; transitions consume the value.
#[derive(Debug)]
pub(crate) struct Job<S> {
    pub(crate) task: Task,
    pub(crate) state: S,
}

/// Waits for a slot and has no permission to be dispatched.
#[derive(Debug)]
pub(crate) struct Queued {
    /// When the key owner was asked, while its reply is pending.
    pub(crate) claim: Option<Time>,
}

/// Waits for a slot and has permission to be dispatched.
#[derive(Debug)]
pub(crate) struct Claimed {
    pub(crate) start_by: Time,
}

/// Runs at the backend server.
#[derive(Debug)]
pub(crate) struct Dispatched {
    pub(crate) start_by: Time,
    pub(crate) started: Time,
    /// Next check against the short bound and the deadline; `None` once both have passed.
    pub(crate) check: Option<Time>,
    pub(crate) cancelled: bool,
}

/// Refused; the reply to its claim decides which outcome the caller gets.
#[derive(Debug)]
pub(crate) struct Refusing {
    pub(crate) refusal: Refusal,
}

/// Offered to a peer that has not replied.
#[derive(Debug)]
pub(crate) struct Offered {
    pub(crate) to: SocketAddrV4,
    pub(crate) sends: u8,
    pub(crate) resend: Time,
}

/// Taken by a peer that has not reported the outcome.
#[derive(Debug)]
pub(crate) struct Delegated;

/// Has an outcome that the offering peer has not acknowledged.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(crate) outcome: Outcome,
    pub(crate) sends: u8,
    pub(crate) resend: Time,
}

impl<S> Job<S> {
    fn into_state<T>(self, state: T) -> Job<T> {
        Job {
            task: self.task,
            state,
        }
    }

    /// Ends the job; `resend` is when an unacknowledged outcome is sent again.
    pub(crate) fn finish(self, outcome: Outcome, resend: Time) -> Job<Finished> {
        self.into_state(Finished {
            outcome,
            sends: 1,
            resend,
        })
    }
}

impl Job<Queued> {
    pub(crate) fn new(task: Task) -> Self {
        Self {
            task,
            state: Queued { claim: None },
        }
    }

    pub(crate) fn permit(mut self, start_by: Time) -> Job<Claimed> {
        if self.task.request.once && self.task.possible_run == PossibleRun::EarlierAttempt {
            self.task.possible_run = PossibleRun::None;
        }
        self.task.granted = self.task.request.once;
        let start_by = start_by.min(self.task.request.deadline);
        self.into_state(Claimed { start_by })
    }

    pub(crate) fn refuse(self, refusal: Refusal) -> Job<Refusing> {
        self.into_state(Refusing { refusal })
    }

    pub(crate) fn offer(mut self, to: SocketAddrV4, resend: Time) -> Job<Offered> {
        self.task.offers.push(to);
        let sends = 1;
        self.into_state(Offered { to, sends, resend })
    }
}

impl Job<Claimed> {
    pub(crate) fn dispatch(mut self, now: Time, check: Option<Time>) -> Job<Dispatched> {
        let budget = &mut self.task.request.budget;
        *budget = usher_types::AttemptBudget::new(budget.get().saturating_sub(1));
        let state = Dispatched {
            start_by: self.state.start_by,
            started: now,
            check,
            cancelled: false,
        };
        self.into_state(state)
    }

    /// Returns to the queue after the grant expired.
    pub(crate) fn lapse(self) -> Job<Queued> {
        self.into_state(Queued { claim: None })
    }
}

impl Job<Dispatched> {
    /// Returns to the queue, with an unused grant, after a run did not start.
    pub(crate) fn unstarted(self) -> Job<Claimed> {
        let start_by = self.state.start_by;
        self.into_state(Claimed { start_by })
    }

    /// Queues a repeatable request again whose run may have taken place.
    pub(crate) fn repeat(mut self, class: Class) -> Job<Queued> {
        self.task.possible_run = PossibleRun::Copy;
        self.task.class = class;
        self.into_state(Queued { claim: None })
    }
}

impl Job<Offered> {
    pub(crate) fn taken(self) -> Job<Delegated> {
        self.into_state(Delegated)
    }

    pub(crate) fn declined(self) -> Job<Queued> {
        self.into_state(Queued { claim: None })
    }

    /// Returns to the queue; the peer may hold a copy.
    pub(crate) fn unanswered(mut self) -> Job<Queued> {
        self.task.possible_run = PossibleRun::Copy;
        self.into_state(Queued { claim: None })
    }
}

impl Job<Delegated> {
    /// Returns to the queue; the peer no longer holds the request.
    pub(crate) fn returned(self) -> Job<Queued> {
        self.into_state(Queued { claim: None })
    }
}
