use usher_types::{Span, Time};

use crate::job::{Claimed, Delegated, Dispatched, Finished, Job, Offered, Queued, Refusing};
use crate::queue::{Readiness, Waiting};
use crate::task::Task;

/// A request in any of its states, as stored in the table.
#[derive(Debug)]
pub(crate) enum Entry {
    Queued(Job<Queued>),
    Claimed(Job<Claimed>),
    Dispatched(Job<Dispatched>),
    Refusing(Job<Refusing>),
    Offered(Job<Offered>),
    Delegated(Job<Delegated>),
    Finished(Job<Finished>),
}

// Transit time of an outcome that the peer sent just before the deadline.
const OUTCOME_GRACE: Span = Span::from_millis(100);

impl Entry {
    pub(crate) fn task(&self) -> &Task {
        match self {
            Self::Queued(job) => &job.task,
            Self::Claimed(job) => &job.task,
            Self::Dispatched(job) => &job.task,
            Self::Refusing(job) => &job.task,
            Self::Offered(job) => &job.task,
            Self::Delegated(job) => &job.task,
            Self::Finished(job) => &job.task,
        }
    }

    pub(crate) fn task_mut(&mut self) -> &mut Task {
        match self {
            Self::Queued(job) => &mut job.task,
            Self::Claimed(job) => &mut job.task,
            Self::Dispatched(job) => &mut job.task,
            Self::Refusing(job) => &mut job.task,
            Self::Offered(job) => &mut job.task,
            Self::Delegated(job) => &mut job.task,
            Self::Finished(job) => &mut job.task,
        }
    }

    pub(crate) fn is_finished(&self) -> bool {
        matches!(self, Self::Finished(_))
    }

    /// When the timer of the entry is due.
    pub(crate) fn due(&self) -> Option<Time> {
        match self {
            Self::Queued(job) => Some(job.task.latest_start),
            Self::Claimed(job) => Some(job.task.latest_start.min(job.state.start_by)),
            Self::Dispatched(job) => job.state.check,
            Self::Refusing(job) => Some(job.task.request.deadline),
            Self::Offered(job) => Some(job.state.resend),
            Self::Delegated(job) => Some(job.task.request.deadline + OUTCOME_GRACE),
            Self::Finished(job) => Some(job.state.resend),
        }
    }

    /// The queue's view of the request, in the states that wait for a slot.
    pub(crate) fn waiting(&self) -> Option<Waiting> {
        let readiness = match self {
            Self::Queued(job) if !job.task.request.once => Readiness::Ready,
            Self::Queued(job) if job.state.claim.is_some() => Readiness::Claiming,
            Self::Queued(_) => Readiness::Unclaimed,
            Self::Claimed(_) => Readiness::Ready,
            _ => return None,
        };
        let claimed = matches!(self, Self::Claimed(_)) || readiness == Readiness::Claiming;
        let task = self.task();
        Some(Waiting {
            id: task.id(),
            cost: task.cost,
            latest_start: task.latest_start,
            finish_by: task.finish_by,
            priority: task.request.priority,
            readiness,
            offerable: !claimed && task.is_offerable(),
        })
    }
}
