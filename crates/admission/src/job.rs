use std::net::SocketAddrV4;

use usher_types::{Outcome, Refusal, Time};

use crate::class::Class;
use crate::task::{Doubt, Task};

/// A request in one state of its life; transitions consume the value.
#[derive(Debug)]
pub(crate) struct Job<S> {
    pub(crate) task: Task,
    pub(crate) state: S,
}

/// Waits for a slot without leave to be dispatched.
#[derive(Debug)]
pub(crate) struct Queued {
    /// When the key owner was asked, while its verdict is pending.
    pub(crate) claim: Option<Time>,
}

/// Waits for a slot and may be dispatched.
#[derive(Debug)]
pub(crate) struct Claimed {
    pub(crate) start_by: Time,
}

/// Runs at the backend server.
#[derive(Debug)]
pub(crate) struct Dispatched {
    pub(crate) start_by: Time,
    pub(crate) started: Time,
    /// Next check of the running time; `None` once it is past both limits.
    pub(crate) check: Option<Time>,
    pub(crate) cancelled: bool,
}

/// Will not run here; the verdict on its claim decides what the caller is told.
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

/// Has an outcome that the peer which offered the request has not acknowledged.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(crate) outcome: Outcome,
    pub(crate) sends: u8,
    pub(crate) resend: Time,
}

impl<S> Job<S> {
    fn with<T>(self, state: T) -> Job<T> {
        Job {
            task: self.task,
            state,
        }
    }

    /// Ends the job; `resend` is when an unacknowledged outcome is sent again.
    pub(crate) fn finish(self, outcome: Outcome, resend: Time) -> Job<Finished> {
        self.with(Finished {
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
        if self.task.request.once && self.task.doubt == Doubt::Retry {
            self.task.doubt = Doubt::None;
        }
        self.task.granted = self.task.request.once;
        let start_by = start_by.min(self.task.request.deadline);
        self.with(Claimed { start_by })
    }

    pub(crate) fn refuse(self, refusal: Refusal) -> Job<Refusing> {
        self.with(Refusing { refusal })
    }

    pub(crate) fn offer(mut self, to: SocketAddrV4, resend: Time) -> Job<Offered> {
        self.task.offers.push(to);
        let sends = 1;
        self.with(Offered { to, sends, resend })
    }
}

impl Job<Claimed> {
    pub(crate) fn dispatch(mut self, now: Time, check: Option<Time>) -> Job<Dispatched> {
        let budget = &mut self.task.request.budget;
        *budget = usher_types::Budget::new(budget.get().saturating_sub(1));
        let state = Dispatched {
            start_by: self.state.start_by,
            started: now,
            check,
            cancelled: false,
        };
        self.with(state)
    }

    /// Returns to the queue after the grant expired.
    pub(crate) fn lapse(self) -> Job<Queued> {
        self.with(Queued { claim: None })
    }
}

impl Job<Dispatched> {
    /// The run did not start, so the grant is still unused.
    pub(crate) fn unstarted(self) -> Job<Claimed> {
        let start_by = self.state.start_by;
        self.with(Claimed { start_by })
    }

    /// The run may have taken place; only a repeatable request gets here.
    pub(crate) fn repeat(mut self, class: Class) -> Job<Queued> {
        self.task.doubt = Doubt::Copy;
        self.task.class = class;
        self.with(Queued { claim: None })
    }
}

impl Job<Offered> {
    pub(crate) fn taken(self) -> Job<Delegated> {
        self.with(Delegated)
    }

    pub(crate) fn declined(self) -> Job<Queued> {
        self.with(Queued { claim: None })
    }

    /// The peer may hold a copy.
    pub(crate) fn unanswered(mut self) -> Job<Queued> {
        self.task.doubt = Doubt::Copy;
        self.with(Queued { claim: None })
    }
}

impl Job<Delegated> {
    /// The peer no longer holds the request.
    pub(crate) fn returned(self) -> Job<Queued> {
        self.with(Queued { claim: None })
    }
}
