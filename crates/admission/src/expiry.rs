//! Timers: deadlines, expired grants, reclassification of long runs, and resends.

use usher_types::{Outcome, Refusal, RequestId, Time};

use crate::class::Class;
use crate::entry::Entry;
use crate::job::{Claimed, Dispatched, Job};
use crate::task::Task;
use crate::{Action, Counter, Scheduler};

impl Scheduler {
    /// Handles all timers that are due.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some(id) = self.table.first_due(now) {
            if let Some(entry) = self.table.take(&id) {
                self.expire_entry(now, entry);
            }
        }
        if self.draining.is_some_and(|until| until <= now) {
            self.refuse_queued(now);
        }
    }

    fn expire_entry(&mut self, now: Time, entry: Entry) {
        match entry {
            Entry::Queued(job) => self.refuse(now, job, Refusal::Expired),
            Entry::Claimed(job) => self.expire_claimed(now, job),
            Entry::Dispatched(job) => self.check_run(now, job),
            Entry::Refusing(job) => {
                self.release_when_granted(&job.task);
                self.finish(now, job, Outcome::Unknown);
            }
            Entry::Offered(job) => self.resend_offer(now, job),
            Entry::Delegated(job) => {
                self.count(Counter::OutcomeLost);
                self.finish(now, job, Outcome::Unknown);
            }
            Entry::Finished(job) => self.resend_outcome(now, job),
        }
    }

    fn expire_claimed(&mut self, now: Time, job: Job<Claimed>) {
        if job.task.latest_start <= now {
            self.refuse_claimed(now, job, Refusal::Expired);
        } else {
            self.count(Counter::ClaimLapsed);
            self.table.insert(Entry::Queued(job.lapse()));
        }
    }

    /// Moves a run past the short bound to the long class, cancels one past its deadline.
    fn check_run(&mut self, now: Time, mut job: Job<Dispatched>) {
        let id = job.task.id();
        let running = now.since(job.state.started);
        if self.may_become_long(job.task.class) && running >= self.profile.short_bound {
            job.task.class = Class::Long;
            self.runs.mark_long(&id);
            self.count(Counter::Aged);
        }
        if job.task.request.deadline <= now {
            self.cancel_run(&mut job);
        }
        job.state.check = self.next_check(now, &job.task, job.state.started);
        self.table.insert(Entry::Dispatched(job));
    }

    fn may_become_long(&self, class: Class) -> bool {
        self.policy.classes && class == Class::Short
    }

    /// When a run next reaches the short bound or its deadline.
    pub(crate) fn next_check(&self, now: Time, task: &Task, started: Time) -> Option<Time> {
        let bound_reached = self
            .may_become_long(task.class)
            .then(|| started + self.profile.short_bound);
        let checks = [bound_reached, Some(task.request.deadline)];
        checks.into_iter().flatten().filter(|at| *at > now).min()
    }

    pub(crate) fn cancel_run(&mut self, job: &mut Job<Dispatched>) {
        if !job.state.cancelled {
            job.state.cancelled = true;
            let id = job.task.id();
            self.out.push(Action::CancelRun { id });
        }
    }

    /// Refuses the requests that are still queued when the drain's queue time is over.
    fn refuse_queued(&mut self, now: Time) {
        let queues = [Class::Short, Class::Long].map(|class| self.table.queue(class));
        let ids: Vec<RequestId> = queues.iter().flat_map(|q| q.iter()).map(|w| w.id).collect();
        for id in ids {
            self.refuse_waiting(now, &id, Refusal::Draining);
        }
    }
}
