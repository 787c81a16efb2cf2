//! Work sharing: offers of queued requests to peers, and requests taken from peers.

use std::net::SocketAddrV4;

use usher_types::{
    Offer, OfferOutcome, OfferOutcomeAck, OfferReply, Outcome, Request, RequestId, Span, Time,
};

use crate::class::Class;
use crate::entry::Entry;
use crate::job::{Finished, Job, Offered, Queued};
use crate::task::{PossibleRun, Recipient, Task};
use crate::{Action, Counter, Scheduler};

// Most times that an offer or an outcome is sent without a reply from the peer.
const MAX_OFFER_SENDS: u8 = 3;
const MAX_OUTCOME_SENDS: u8 = 20;
// Requests at the end of each queue that are considered for an offer.
const OFFER_DEPTH: usize = 8;

impl Scheduler {
    /// Time after which an offer or an outcome is sent again.
    pub(crate) const RESEND_INTERVAL: Span = Span::from_millis(20);

    /// Offers requests from the ends of the queues to peers with much shorter waits.
    pub(crate) fn share(&mut self, now: Time) {
        if !self.policy.offers {
            return;
        }
        while let Some((id, peer)) = self.next_offer(now) {
            match self.table.take(&id) {
                Some(Entry::Queued(job)) => self.offer(now, job, peer),
                Some(entry) => return self.table.insert(entry),
                None => return,
            }
        }
    }

    fn next_offer(&self, now: Time) -> Option<(RequestId, SocketAddrV4)> {
        let classes = [Class::Short, Class::Long];
        classes.into_iter().find_map(|c| self.class_offer(now, c))
    }

    fn class_offer(&self, now: Time, class: Class) -> Option<(RequestId, SocketAddrV4)> {
        let forecast = self.forecast(now, class);
        let queue = self.table.queue(class);
        let mut ahead = queue.work();
        for waiting in queue.iter().rev().take(OFFER_DEPTH) {
            ahead = ahead - waiting.cost;
            if !waiting.offerable {
                continue;
            }
            let task = self.table.get(&waiting.id)?.task();
            let Some((peer, wait)) = self.peers.shortest(&task.offers) else {
                continue;
            };
            let worthwhile = forecast.wait(ahead) > wait + self.profile.hunt;
            if worthwhile || self.draining.is_some() {
                return Some((waiting.id, peer));
            }
        }
        None
    }

    /// A peer where a request that cannot be queued here can finish in time.
    pub(crate) fn faster_peer(&self, now: Time, task: &Task) -> Option<SocketAddrV4> {
        if !self.policy.offers || !task.is_offerable() {
            return None;
        }
        let (peer, wait) = self.peers.shortest(&task.offers)?;
        let in_time = wait + task.cost <= task.time_available(now);
        let shorter = wait + self.profile.hunt < self.class_wait(now, task.class);
        (in_time && shorter).then_some(peer)
    }

    pub(crate) fn offer(&mut self, now: Time, job: Job<Queued>, peer: SocketAddrV4) {
        let slots = f64::from(self.runs.slots.get().max(1));
        self.peers.add(peer, job.task.cost.scale(1.0 / slots));
        self.count(Counter::Offered);
        let job = job.offer(peer, now + Self::RESEND_INTERVAL);
        self.send_offer(now, &job);
        self.table.insert(Entry::Offered(job));
    }

    fn send_offer(&mut self, now: Time, job: &Job<Offered>) {
        let task = &job.task;
        let request = &task.request;
        let wait = if self.draining.is_some() {
            task.left(now)
        } else {
            self.class_wait(now, task.class)
        };
        let offer = Offer {
            id: request.id,
            key: request.key,
            once: request.once,
            method: request.method.clone(),
            left: task.left(now),
            attempt: request.attempt,
            age: request.age + now.since(task.arrived),
            budget: request.budget,
            priority: request.priority,
            body: request.body.clone(),
            wait,
            reply: self.address,
        };
        let to = job.state.to;
        self.out.push(Action::Offer { to, offer });
    }

    /// Sends an offer again; after the last transmission, queues or refuses the request here.
    pub(crate) fn resend_offer(&mut self, now: Time, mut job: Job<Offered>) {
        if job.state.sends >= MAX_OFFER_SENDS || job.task.request.deadline <= now {
            self.count(Counter::OfferLost);
            self.queue_or_refuse(now, job.unanswered());
            return;
        }
        job.state.sends += 1;
        job.state.resend = now + Self::RESEND_INTERVAL;
        self.send_offer(now, &job);
        self.table.insert(Entry::Offered(job));
    }

    pub(crate) fn offer_reply(&mut self, now: Time, from: SocketAddrV4, reply: &OfferReply) {
        self.peers.set(from, reply.wait);
        match self.table.take(&reply.id) {
            Some(Entry::Offered(job)) if job.state.to == from => {
                if reply.taken {
                    self.count(Counter::Delegated);
                    self.table.insert(Entry::Delegated(job.taken()));
                } else {
                    self.queue_or_refuse(now, job.declined());
                }
            }
            Some(entry) => {
                self.table.insert(entry);
                self.count(Counter::Stale);
            }
            None => self.count(Counter::Stale),
        }
    }

    pub(crate) fn offer_outcome(&mut self, now: Time, report: OfferOutcome) {
        let OfferOutcome { id, outcome, reply } = report;
        let outcome_ack = OfferOutcomeAck { id };
        self.out.push(Action::OfferOutcomeAck {
            to: reply,
            outcome_ack,
        });
        match self.table.take(&id) {
            Some(Entry::Delegated(job)) => self.end_delegated(now, job.returned(), outcome),
            Some(Entry::Offered(job)) if job.state.to == reply => {
                self.end_delegated(now, job.declined(), outcome);
            }
            // The offer counted as lost, but the peer had taken it.
            Some(Entry::Queued(job)) if has_run(&outcome) => {
                if job.state.claim.is_some() {
                    self.release_when_granted(&job.task);
                }
                self.finish(now, job, outcome);
            }
            Some(entry) => {
                self.table.insert(entry);
                self.count(Counter::Stale);
            }
            None => self.count(Counter::Stale),
        }
    }

    /// Ends a request with the outcome from a peer.
    ///
    /// A peer's "not run" applies to its own copy only; earlier attempts are resolved here.
    fn end_delegated(&mut self, now: Time, job: Job<Queued>, outcome: Outcome) {
        match outcome {
            Outcome::NotRun { refusal, .. } if job.task.possible_run > PossibleRun::None => {
                self.refuse(now, job, refusal);
            }
            outcome => self.finish(now, job, outcome),
        }
    }

    /// Takes an offered request if it can run here sooner, without shedding other requests.
    pub(crate) fn offered(&mut self, now: Time, offer: Offer) {
        let (id, to, peer_wait) = (offer.id, offer.reply, offer.wait);
        let held = self.table.get(&id).map(|entry| &entry.task().recipients);
        if held.is_some_and(|recipients| recipients.contains(&Recipient::Peer(to))) {
            return self.reply_offer(now, to, id, true);
        }
        let known = held.is_some() || self.table.holder(offer.key).is_some();
        let repeated = known || self.closed_offers.contains(&id);
        let task = self.task(now, request(now, offer), Recipient::Peer(to));
        let taken = !repeated && self.draining.is_none() && self.accepts(now, &task, peer_wait);
        if taken {
            self.table.insert(Entry::Queued(Job::new(task)));
        } else {
            self.closed_offers.add(now, id);
        }
        self.reply_offer(now, to, id, taken);
    }

    fn accepts(&self, now: Time, task: &Task, peer_wait: Span) -> bool {
        let sooner = self.class_wait(now, task.class) < peer_wait;
        let budget = task.request.budget.get() > 0;
        let admitted = self.admit(now, task).is_some_and(|shed| shed.is_empty());
        sooner && budget && admitted
    }

    fn reply_offer(&mut self, now: Time, to: SocketAddrV4, id: RequestId, taken: bool) {
        let wait = self.wait(now);
        let reply = OfferReply { id, taken, wait };
        self.out.push(Action::OfferReply { to, reply });
    }

    pub(crate) fn report(&mut self, to: SocketAddrV4, id: RequestId, outcome: Outcome) {
        let reply = self.address;
        let outcome = OfferOutcome { id, outcome, reply };
        self.out.push(Action::OfferOutcome { to, outcome });
    }

    /// Reports an outcome again; after the last report, the offering agent is assumed lost.
    pub(crate) fn resend_outcome(&mut self, now: Time, mut job: Job<Finished>) {
        let id = job.task.id();
        if job.state.sends >= MAX_OUTCOME_SENDS {
            return self.closed_offers.add(now, id);
        }
        for recipient in &job.task.recipients {
            if let Recipient::Peer(to) = *recipient {
                self.report(to, id, job.state.outcome.clone());
            }
        }
        job.state.sends += 1;
        job.state.resend = now + Self::RESEND_INTERVAL * u64::from(job.state.sends);
        self.table.insert(Entry::Finished(job));
    }

    pub(crate) fn offer_outcome_ack(&mut self, now: Time, id: RequestId) {
        match self.table.take(&id) {
            Some(Entry::Finished(_)) => self.closed_offers.add(now, id),
            Some(entry) => self.table.insert(entry),
            None => {}
        }
    }
}

fn has_run(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(_) | Outcome::Failed(_))
}

/// Converts an offer to a request, with the deadline on this agent's clock.
fn request(now: Time, offer: Offer) -> Request {
    Request {
        id: offer.id,
        key: offer.key,
        once: offer.once,
        method: offer.method,
        deadline: now + offer.left,
        attempt: offer.attempt,
        age: offer.age,
        budget: offer.budget,
        priority: offer.priority,
        body: offer.body,
    }
}
