//! Claims on keys, refusals and outcomes.

use usher_types::{Outcome, Refusal, RequestId, Span, Time};

use crate::class::Class;
use crate::entry::Entry;
use crate::job::{Claimed, Job, Queued};
use crate::queue::Readiness;
use crate::task::{Caller, Doubt, Task};
use crate::{Action, Counter, Scheduler};

// Claims are sent for this many requests per slot at the head of a queue.
const CLAIMS_PER_SLOT: usize = 2;
const MAX_CLAIM_LEAD: Span = Span::from_millis(50);
const LEAD_SMOOTHING: f64 = 0.1;
// Round trips between a claim and the time at which its slot is expected to be free.
const LEAD_TRIPS: u64 = 2;
// Bounds the rate of ticks while the estimate of a free slot moves.
const MIN_CLAIM_WAIT: Span = Span::from_millis(1);
const MIN_RETRY: Span = Span::from_millis(10);
const BACKEND_RETRY: Span = Span::from_millis(100);
// A key owner that left is replaced after seconds.
const OWNER_RETRY: Span = Span::from_secs(1);

impl Scheduler {
    /// Sends claims for requests that are expected to get a slot within a round trip.
    ///
    /// As many requests as there are slots are claimed in any case: runs that end sooner than
    /// estimated would otherwise leave their slots idle for a round trip.
    pub(crate) fn ask_claims(&mut self, now: Time) {
        self.claim_wake = None;
        for class in [Class::Short, Class::Long] {
            for id in self.claims_due(now, class) {
                if let Some(Entry::Queued(mut job)) = self.table.take(&id) {
                    self.claim(now, &mut job);
                    self.table.insert(Entry::Queued(job));
                }
            }
        }
    }

    fn claims_due(&mut self, now: Time, class: Class) -> Vec<RequestId> {
        let forecast = self.forecast(now, class);
        let places = usize::from(self.runs.slots.get()) * CLAIMS_PER_SLOT;
        let mut ahead = Span::ZERO;
        let mut due = Vec::new();
        for (position, waiting) in self.table.queue(class).iter().take(places).enumerate() {
            let wait = forecast.wait(ahead);
            ahead = ahead + waiting.cost;
            if waiting.readiness != Readiness::Unclaimed {
                continue;
            }
            if wait > self.claim_lead && position >= usize::from(self.runs.slots.get()) {
                let wake = now + (wait - self.claim_lead).max(MIN_CLAIM_WAIT);
                self.claim_wake = Some(self.claim_wake.map_or(wake, |w| w.min(wake)));
                break;
            }
            due.push(waiting.id);
        }
        due
    }

    fn claim(&mut self, now: Time, job: &mut Job<Queued>) {
        job.state.claim = Some(now);
        let request = &job.task.request;
        self.out.push(Action::Claim {
            id: request.id,
            key: request.key,
            attempt: request.attempt,
            age: request.age + now.since(job.task.arrived),
            deadline: request.deadline,
        });
    }

    pub(crate) fn permit(&mut self, now: Time, id: RequestId, start_by: Time) {
        match self.table.take(&id) {
            Some(Entry::Queued(job)) if job.state.claim.is_some() => {
                self.learn_lead(now, job.state.claim);
                self.permit_queued(now, job, start_by);
            }
            Some(Entry::Refusing(mut job)) => {
                job.task.granted = true;
                self.release(&job.task);
                let refusal = job.state.refusal;
                let outcome = self.not_run(now, refusal);
                self.finish(now, job, outcome);
            }
            Some(entry) => {
                self.table.insert(entry);
                self.count(Counter::Stale);
            }
            None => self.release_late(id),
        }
    }

    fn permit_queued(&mut self, now: Time, job: Job<Queued>, start_by: Time) {
        let job = job.permit(start_by);
        if job.state.start_by > now {
            self.table.insert(Entry::Claimed(job));
        } else {
            self.count(Counter::ClaimLapsed);
            self.table.insert(Entry::Queued(job.lapse()));
        }
    }

    fn learn_lead(&mut self, now: Time, asked: Option<Time>) {
        let trip = now.since(asked.unwrap_or(now));
        let lead = (trip * LEAD_TRIPS).min(MAX_CLAIM_LEAD);
        let kept = self.claim_lead.scale(1.0 - LEAD_SMOOTHING);
        self.claim_lead = kept + lead.scale(LEAD_SMOOTHING);
    }

    /// A grant arrived for a request that has ended.
    ///
    /// It is not given back while another request under the same key is held, which may use it.
    fn release_late(&mut self, id: RequestId) {
        match self.releases.remove(&id) {
            Some(key) if self.table.holder(key).is_some() => {}
            Some(key) => {
                let outcome = Outcome::NotRun {
                    refusal: Refusal::Cancelled,
                    retry: Span::ZERO,
                };
                self.out.push(Action::Complete { key, outcome });
            }
            None => self.count(Counter::Stale),
        }
    }

    pub(crate) fn settled(&mut self, now: Time, id: RequestId, outcome: Outcome) {
        self.releases.remove(&id);
        match self.table.take(&id) {
            Some(Entry::Queued(job)) => self.finish(now, job, outcome),
            Some(Entry::Refusing(job)) => self.finish(now, job, outcome),
            Some(entry) => {
                self.table.insert(entry);
                self.count(Counter::Stale);
            }
            None => {}
        }
    }

    pub(crate) fn denied(&mut self, now: Time, id: RequestId) {
        self.releases.remove(&id);
        match self.table.take(&id) {
            Some(Entry::Queued(mut job)) if job.state.claim.is_some() => {
                job.state.claim = None;
                self.refuse(now, job, Refusal::NoOwner);
            }
            Some(Entry::Refusing(job)) => self.finish(now, job, Outcome::Unknown),
            Some(entry) => {
                self.table.insert(entry);
                self.count(Counter::Stale);
            }
            None => {}
        }
    }

    /// Refuses a request that holds no leave to be dispatched.
    ///
    /// The caller is told "not run" only when no other copy can have run. An earlier attempt of a
    /// request that may not be repeated is resolved by a claim.
    pub(crate) fn refuse(&mut self, now: Time, mut job: Job<Queued>, refusal: Refusal) {
        self.count(Counter::Refused);
        let in_time = job.task.request.deadline > now && refusal != Refusal::NoOwner;
        let resolvable = job.task.request.once && job.task.doubt == Doubt::Retry;
        if resolvable && in_time {
            if job.state.claim.is_none() {
                self.claim(now, &mut job);
            }
            self.table.insert(Entry::Refusing(job.refuse(refusal)));
            return;
        }
        if job.state.claim.is_some() {
            self.release_when_granted(&job.task);
        }
        self.release(&job.task);
        let outcome = self.refusal_outcome(now, &job.task, refusal);
        self.finish(now, job, outcome);
    }

    pub(crate) fn refuse_claimed(&mut self, now: Time, job: Job<Claimed>, refusal: Refusal) {
        self.count(Counter::Refused);
        self.release(&job.task);
        let outcome = self.refusal_outcome(now, &job.task, refusal);
        self.finish(now, job, outcome);
    }

    fn refusal_outcome(&self, now: Time, task: &Task, refusal: Refusal) -> Outcome {
        match task.doubt {
            Doubt::None => self.not_run(now, refusal),
            Doubt::Retry | Doubt::Copy => Outcome::Unknown,
        }
    }

    fn not_run(&self, now: Time, refusal: Refusal) -> Outcome {
        let retry = match refusal {
            Refusal::Cancelled | Refusal::Draining | Refusal::Invalid => Span::ZERO,
            Refusal::NoOwner => OWNER_RETRY,
            Refusal::NoBackend => BACKEND_RETRY,
            Refusal::TooLate | Refusal::Expired | Refusal::Shed | Refusal::Budget => {
                self.wait(now).max(MIN_RETRY)
            }
        };
        Outcome::NotRun { refusal, retry }
    }

    /// Gives an unused grant back, so that a later attempt can be granted.
    fn release(&mut self, task: &Task) {
        if task.request.once && task.granted {
            let key = task.request.key;
            let outcome = Outcome::NotRun {
                refusal: Refusal::Cancelled,
                retry: Span::ZERO,
            };
            self.out.push(Action::Complete { key, outcome });
        }
    }

    pub(crate) fn release_when_granted(&mut self, task: &Task) {
        self.releases.insert(task.id(), task.request.key);
    }

    /// Ends a request and sends its outcome to all who wait for it.
    pub(crate) fn finish<S>(&mut self, now: Time, job: Job<S>, outcome: Outcome) {
        self.table.unalias(&job.task);
        let mut reported = false;
        for caller in &job.task.callers {
            match *caller {
                Caller::Local(id) => {
                    let outcome = outcome.clone();
                    self.out.push(Action::Reply { id, outcome });
                }
                Caller::Peer(to) => {
                    self.report(to, job.task.id(), outcome.clone());
                    reported = true;
                }
            }
        }
        if reported {
            let job = job.finish(outcome, now + Self::RESEND);
            self.table.insert(Entry::Finished(job));
        }
    }
}
