//! Dispatch, the results of runs, retries and cancellation.

use usher_types::{Outcome, Refusal, RequestId, Span, Time};

use crate::class::Class;
use crate::entry::Entry;
use crate::job::{Claimed, Dispatched, Job};
use crate::queue::Waiting;
use crate::runs::Run;
use crate::task::{Recipient, Task};
use crate::{Action, Counter, Scheduler};

// Pause in dispatch after the backend server refused a run; doubled on each further refusal.
const MIN_BACKOFF: Span = Span::from_millis(5);
const MAX_BACKOFF: Span = Span::from_millis(160);

/// How a run ended, for the service time estimates and the capacity measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Success,
    Failure,
}

impl Scheduler {
    /// Dispatches ready requests while slots are free.
    pub(crate) fn dispatch_ready(&mut self, now: Time) {
        if self.paused_until.is_some_and(|until| now < until) {
            return;
        }
        self.paused_until = None;
        while let Some(id) = self.next_ready(now) {
            match self.table.take(&id) {
                Some(Entry::Claimed(job)) => self.dispatch(now, job),
                Some(Entry::Queued(job)) => {
                    let deadline = job.task.request.deadline;
                    self.dispatch(now, job.permit(deadline));
                }
                Some(entry) => return self.table.insert(entry),
                None => return,
            }
        }
    }

    /// Selects the next request to dispatch; short requests go first.
    ///
    /// A long request goes first when it would otherwise miss its deadline and no long request
    /// runs, so that a steady load of short requests cannot starve the long ones.
    fn next_ready(&self, now: Time) -> Option<RequestId> {
        if !self.runs.has_free() {
            return None;
        }
        let long_runs = self.runs.long();
        let admits_long = long_runs < self.long_limit();
        let urgent = |w: &Waiting| w.latest_start <= now + self.profile.short_bound;
        let long = self.table.queue(Class::Long).first_ready();
        let long = long.filter(|_| admits_long);
        let short = self.table.queue(Class::Short).first_ready();
        let first = match (short, long) {
            (Some(_), Some(long)) if long_runs == 0 && urgent(long) => Some(long),
            (short, long) => short.or(long),
        };
        first.map(|waiting| waiting.id)
    }

    fn dispatch(&mut self, now: Time, job: Job<Claimed>) {
        let id = job.task.id();
        let class = job.task.class;
        let deadline = job.task.request.deadline;
        let check = self.next_check(now, &job.task, now);
        self.runs.start(
            id,
            Run {
                started: now,
                cost: job.task.cost,
                class,
                metered: class == Class::Short,
            },
        );
        let job = job.dispatch(now, check);
        self.out.push(Action::Dispatch {
            id,
            key: job.task.request.key,
            method: job.task.request.method.clone(),
            body: job.task.request.body.clone(),
            start_by: job.state.start_by,
            deadline,
        });
        self.table.insert(Entry::Dispatched(job));
    }

    pub(crate) fn finished(&mut self, now: Time, id: RequestId, outcome: Outcome) {
        let Some(job) = self.take_dispatched(&id) else {
            return;
        };
        let ending = match outcome {
            Outcome::Answered(_) => Ending::Success,
            _ => Ending::Failure,
        };
        self.end_run(now, &job.task, ending);
        self.backoff = Span::ZERO;
        self.retries.on_success(self.profile.retries);
        // A response to a dispatched request is never reported as "not run".
        let outcome = match outcome {
            Outcome::NotRun { .. } => Outcome::Unknown,
            outcome => outcome,
        };
        self.complete(&job.task, outcome.clone());
        self.finish(now, job, outcome);
    }

    pub(crate) fn lost(&mut self, now: Time, id: RequestId) {
        let Some(job) = self.take_dispatched(&id) else {
            return;
        };
        self.end_run(now, &job.task, Ending::Failure);
        let request = &job.task.request;
        let in_time = now + job.task.cost < request.deadline;
        if request.once || job.state.cancelled || !in_time {
            self.complete(&job.task, Outcome::Unknown);
            self.finish(now, job, Outcome::Unknown);
        } else if self.may_retry(&job.task) {
            let class = job.task.class;
            let mut job = job.repeat(class);
            job.task.set_latest_start(now, self.policy.refusal);
            self.table.insert(Entry::Queued(job));
        } else {
            self.finish(now, job, Outcome::Unknown);
        }
    }

    pub(crate) fn refused(&mut self, now: Time, id: RequestId) {
        let Some(job) = self.take_dispatched(&id) else {
            return;
        };
        self.end_run(now, &job.task, Ending::Failure);
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.paused_until = Some(now + self.backoff);
        let cancelled = job.state.cancelled;
        let job = job.unstarted();
        if cancelled {
            self.refuse_claimed(now, job, Refusal::Cancelled);
        } else if job.task.request.budget.get() == 0 {
            self.count(Counter::RetryDenied);
            self.refuse_claimed(now, job, Refusal::Budget);
        } else if self.may_retry(&job.task) {
            self.table.insert(Entry::Claimed(job));
        } else {
            self.refuse_claimed(now, job, Refusal::NoBackend);
        }
    }

    fn may_retry(&mut self, task: &Task) -> bool {
        let allowed = task.request.budget.get() > 0 && self.retries.try_retry();
        self.count(if allowed {
            Counter::Retried
        } else {
            Counter::RetryDenied
        });
        allowed
    }

    /// Frees the slot and records the run.
    ///
    /// A failed run counts with at least the estimated service time and does not change the
    /// estimate, so a host that fails fast does not get a higher weight.
    fn end_run(&mut self, now: Time, task: &Task, ending: Ending) {
        let Some(run) = self.runs.end(&task.id()) else {
            return;
        };
        let busy = now.since(run.started);
        let success = ending == Ending::Success;
        let charged = if success { busy } else { busy.max(run.cost) };
        if success {
            self.estimates.add(&task.request.method, busy);
        }
        if run.metered || !success {
            self.meter.add(charged, success);
        }
    }

    fn complete(&mut self, task: &Task, outcome: Outcome) {
        if task.request.once {
            let key = task.request.key;
            // A release that is sent later would override this report.
            self.releases.retain(|_, released| *released != key);
            self.out.push(Action::Complete { key, outcome });
        }
    }

    fn take_dispatched(&mut self, id: &RequestId) -> Option<Job<Dispatched>> {
        match self.table.take(id) {
            Some(Entry::Dispatched(job)) => return Some(job),
            Some(entry) => self.table.insert(entry),
            None => {}
        }
        self.count(Counter::Stale);
        None
    }

    /// Removes a recipient, or cancels the request if it has no other.
    pub(crate) fn cancel(&mut self, now: Time, id: RequestId) {
        let held = self.table.resolve(id);
        let Some(mut entry) = self.table.take(&held) else {
            return self.count(Counter::Stale);
        };
        let recipient = Recipient::Local(id);
        let recipients = &mut entry.task_mut().recipients;
        if recipients.len() > 1 && recipients.contains(&recipient) {
            recipients.retain(|other| *other != recipient);
            self.table.unalias_id(&id);
            let outcome = Outcome::Unknown;
            self.out.push(Action::Reply { id, outcome });
            return self.table.insert(entry);
        }
        match entry {
            Entry::Queued(job) => self.refuse(now, job, Refusal::Cancelled),
            Entry::Claimed(job) => self.refuse_claimed(now, job, Refusal::Cancelled),
            Entry::Dispatched(mut job) => {
                self.cancel_run(&mut job);
                self.table.insert(Entry::Dispatched(job));
            }
            entry => self.table.insert(entry),
        }
    }
}
