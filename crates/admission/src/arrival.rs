//! Admission of new requests: duplicates, classification, queueing and shedding.

use usher_types::{Attempt, MethodRule, Refusal, Request, RequestId, Span, Time};

use crate::class::Class;
use crate::entry::Entry;
use crate::job::{Job, Queued};
use crate::rank::Rank;
use crate::task::{PossibleRun, Recipient, Task};
use crate::{Action, Counter, QueueOrder, Scheduler};

impl Scheduler {
    pub(crate) fn arrive(&mut self, now: Time, request: Request) {
        if self.join(now, &request) {
            self.count(Counter::Joined);
            return;
        }
        let recipient = Recipient::Local(request.id);
        let job = Job::new(self.task(now, request, recipient));
        if self.draining.is_some() {
            self.refuse(now, job, Refusal::Draining);
        } else if job.task.request.budget.get() == 0 {
            self.refuse(now, job, Refusal::Budget);
        } else if job.task.request.deadline <= now {
            self.refuse(now, job, Refusal::Expired);
        } else {
            self.queue_or_refuse(now, job);
        }
    }

    /// Attaches a duplicate to the held request with the same id or key.
    fn join(&mut self, now: Time, request: &Request) -> bool {
        let id = self.table.resolve(request.id);
        let known = self.table.get(&id).is_some();
        let held = known.then_some(id).or(self.table.holder(request.key));
        let Some(held) = held else { return false };
        let Some(mut entry) = self.table.take(&held) else {
            return false;
        };
        let recipient = Recipient::Local(request.id);
        if !entry.task().recipients.contains(&recipient) {
            self.attach(now, entry.task_mut(), request, held);
        }
        if let Entry::Finished(job) = &entry {
            let outcome = job.state.outcome.clone();
            let id = request.id;
            self.out.push(Action::Reply { id, outcome });
        }
        self.table.insert(entry);
        true
    }

    fn attach(&mut self, now: Time, task: &mut Task, request: &Request, held: RequestId) {
        task.recipients.push(Recipient::Local(request.id));
        if request.id != held {
            self.table.alias(request.id, held);
        }
        // A gap in the attempt numbers: an attempt in between went to another agent.
        if request.attempt > task.request.attempt.next() && !task.granted {
            task.possible_run = task.possible_run.max(PossibleRun::EarlierAttempt);
        }
        task.request.attempt = task.request.attempt.max(request.attempt);
        task.request.deadline = task.request.deadline.max(request.deadline);
        task.rank = self.rank(task.request.deadline, task.rank.sequence);
        task.finish_by = task.finish_by.max(self.finish_by(now, request.deadline));
        task.set_latest_start(now, self.policy.refusal);
    }

    fn finish_by(&self, now: Time, deadline: Time) -> Time {
        now + deadline
            .since(now)
            .scale(f64::from(self.policy.horizon) / 100.0)
    }

    /// Creates the task of a request that is not held yet.
    pub(crate) fn task(&mut self, now: Time, mut request: Request, recipient: Recipient) -> Task {
        let rule = self.profile.methods.get(&request.method);
        let long = rule.is_some_and(|rule| rule.long);
        request.priority = rule.map_or(request.priority, |rule: &MethodRule| rule.priority);
        let cost = self.cost(&request.method, long);
        let class = if self.policy.classes && (long || cost > self.profile.short_bound) {
            Class::Long
        } else {
            Class::Short
        };
        let possible_run = if request.attempt > Attempt::new(1) {
            PossibleRun::EarlierAttempt
        } else {
            PossibleRun::None
        };
        self.sequence += 1;
        let mut task = Task {
            recipients: vec![recipient],
            arrived: now,
            class,
            cost,
            latest_start: request.deadline,
            finish_by: self.finish_by(now, request.deadline),
            rank: self.rank(request.deadline, self.sequence),
            possible_run,
            granted: false,
            offers: Vec::new(),
            request,
        };
        task.set_latest_start(now, self.policy.refusal);
        task
    }

    fn cost(&self, method: &str, long: bool) -> Span {
        let bound = self.profile.short_bound;
        let assumed = || {
            if long {
                bound
            } else {
                self.estimates.overall().min(bound)
            }
        };
        self.estimates.of(method).unwrap_or_else(assumed)
    }

    fn rank(&self, deadline: Time, sequence: u64) -> Rank {
        let deadline = match self.policy.order {
            QueueOrder::Fifo { .. } => Time::ZERO,
            QueueOrder::Deadline => deadline,
        };
        Rank { deadline, sequence }
    }

    /// Queues a request that can finish in time here; else offers or refuses it.
    pub(crate) fn queue_or_refuse(&mut self, now: Time, mut job: Job<Queued>) {
        job.task.set_latest_start(now, self.policy.refusal);
        if let Some(shed) = self.admit(now, &job.task) {
            for id in shed {
                self.shed(now, id);
            }
            self.table.insert(Entry::Queued(job));
        } else if let Some(peer) = self.faster_peer(now, &job.task) {
            self.offer(now, job, peer);
        } else {
            self.refuse(now, job, Refusal::TooLate);
        }
    }

    /// Requests to shed so that the task can be queued.
    ///
    /// `None` if the task cannot be queued.
    pub(crate) fn admit(&self, now: Time, task: &Task) -> Option<Vec<RequestId>> {
        if task.request.deadline <= now {
            return None;
        }
        if let QueueOrder::Fifo { length } = self.policy.order
            && self.table.waiting_count() >= length
        {
            return None;
        }
        let queue = self.table.queue(task.class);
        let forecast = self.forecast(now, task.class);
        let idle = forecast.wait(queue.work()) == Span::ZERO;
        if idle || !self.policy.refusal {
            return Some(Vec::new());
        }
        if self.policy.shedding {
            return queue.requests_to_shed(now, task, &forecast);
        }
        let wait = forecast.wait(queue.work_before(task.rank));
        (wait + task.cost <= task.time_available(now)).then(Vec::new)
    }

    fn shed(&mut self, now: Time, id: RequestId) {
        self.refuse_waiting(now, &id, Refusal::Shed);
    }

    /// Refuses a request that waits for a slot.
    pub(crate) fn refuse_waiting(&mut self, now: Time, id: &RequestId, refusal: Refusal) {
        match self.table.take(id) {
            Some(Entry::Queued(job)) => self.refuse(now, job, refusal),
            Some(Entry::Claimed(job)) => self.refuse_claimed(now, job, refusal),
            Some(entry) => self.table.insert(entry),
            None => {}
        }
    }
}
