//! Claims on idempotency keys, refusals, and the delivery of outcomes.

use usher_types::{Outcome, Refusal, RequestId, Span, Time};

use crate::class::Class;
use crate::entry::Entry;
use crate::job::{Claimed, Job, Queued};
use crate::queue::Readiness;
use crate::task::{PossibleRun, Recipient, Task};
use crate::{Action, Counter, Scheduler};

// Number of requests at the head of a queue, per slot, for which claims are sent.
const CLAIMS_PER_SLOT: usize = 2;
const MAX_CLAIM_LEAD: Span = Span::from_millis(50);
const LEAD_SMOOTHING: f64 = 0.1;
// A claim is sent this many round trips before its slot is expected to be free.
const LEAD_ROUND_TRIPS: u64 = 2;
// Limits the rate of ticks while the forecast of the next free slot keeps changing.
const MIN_CLAIM_WAIT: Span = Span::from_millis(1);
// Retry delays that refusals suggest to the caller.
const MIN_RETRY: Span = Span::from_millis(10);
const BACKEND_RETRY: Span = Span::from_millis(100);
// It takes seconds to replace a key owner that left.
const OWNER_RETRY: Span = Span::from_secs(1);

impl Scheduler {
    /// Sends claims for requests that are expected to get a slot within the claim lead.
    ///
    /// The first requests of a queue, one per slot, are claimed at once. Otherwise, runs that end
    /// earlier than estimated would leave their slots idle for a round trip.
    pub(crate) fn send_claims(&mut self, now: Time) {
        self.claim_timer = None;
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
        let claim_limit = usize::from(self.runs.slots.get()) * CLAIMS_PER_SLOT;
        let mut ahead = Span::ZERO;
        let mut due = Vec::new();
        for (position, waiting) in self.table.queue(class).iter().take(claim_limit).enumerate() {
            let wait = forecast.wait(ahead);
            ahead = ahead + waiting.cost;
            if waiting.readiness != Readiness::Unclaimed {
                continue;
            }
            if wait > self.claim_lead && position >= usize::from(self.runs.slots.get()) {
                let timer = now + (wait - self.claim_lead).max(MIN_CLAIM_WAIT);
                self.claim_timer = Some(
                    self.claim_timer
                        .map_or(timer, |earliest| earliest.min(timer)),
                );
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
                self.update_lead(now, job.state.claim);
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

    fn update_lead(&mut self, now: Time, claimed_at: Option<Time>) {
        let round_trip = now.since(claimed_at.unwrap_or(now));
        let lead = (round_trip * LEAD_ROUND_TRIPS).min(MAX_CLAIM_LEAD);
        let previous = self.claim_lead.scale(1.0 - LEAD_SMOOTHING);
        self.claim_lead = previous + lead.scale(LEAD_SMOOTHING);
    }

    /// Releases a grant that arrived after its request had ended.
    ///
    /// The grant is kept while another request with the same key is held, which may use it.
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

    /// Refuses a request that has no permission to be dispatched.
    ///
    /// The outcome is "not run" only if no other copy can have run. For a once request, a claim
    /// finds out whether an earlier attempt has run.
    pub(crate) fn refuse(&mut self, now: Time, mut job: Job<Queued>, refusal: Refusal) {
        self.count(Counter::Refused);
        let in_time = job.task.request.deadline > now && refusal != Refusal::NoOwner;
        let resolvable =
            job.task.request.once && job.task.possible_run == PossibleRun::EarlierAttempt;
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
        match task.possible_run {
            PossibleRun::None => self.not_run(now, refusal),
            PossibleRun::EarlierAttempt | PossibleRun::Copy => Outcome::Unknown,
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

    /// Releases an unused grant, so that a later attempt can get one.
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

    /// Ends a request and sends its outcome to every recipient.
    pub(crate) fn finish<S>(&mut self, now: Time, job: Job<S>, outcome: Outcome) {
        self.table.unalias(&job.task);
        let mut reported = false;
        for recipient in &job.task.recipients {
            match *recipient {
                Recipient::Local(id) => {
                    let outcome = outcome.clone();
                    self.out.push(Action::Reply { id, outcome });
                }
                Recipient::Peer(to) => {
                    self.report(to, job.task.id(), outcome.clone());
                    reported = true;
                }
            }
        }
        if reported {
            let job = job.finish(outcome, now + Self::RESEND_INTERVAL);
            self.table.insert(Entry::Finished(job));
        }
    }
}
