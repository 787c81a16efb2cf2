//! Simulated callers, key owner, backend server and peers.

use usher_admission::Event;
use usher_types::{
    Attempt, AttemptBudget, Offer, OfferOutcome, OfferReply, Outcome, Payload, Priority, Request,
    RequestId, RequestKey, Span,
};

use super::{METHODS, PEERS, World, pick};
use crate::common::{self, answer, not_run, peer};

const GRANT_VALIDITY: Span = Span::from_millis(80);

impl World {
    /// Callers' requests without an outcome.
    pub(super) fn open(&self) -> Vec<Request> {
        let open =
            |r: &&Request| !self.outcomes.contains_key(&r.id) && !self.taken.contains_key(&r.id);
        self.requests.values().filter(open).cloned().collect()
    }

    pub(super) fn request(&self, method: usize, left: u64) -> Request {
        let number = self.requests.len() as u32 + 1;
        Request {
            id: common::id(number),
            key: RequestKey::new(number.into()),
            once: METHODS[method] == "book",
            method: METHODS[method].to_owned(),
            deadline: self.now + Span::from_millis(left),
            attempt: Attempt::new(1),
            age: Span::ZERO,
            budget: AttemptBudget::new(3),
            priority: Priority::new(1),
            body: Payload::default(),
        }
    }

    pub(super) fn arrive(&mut self, request: Request) {
        self.requests.insert(request.id, request.clone());
        if self.draining {
            self.drain_arrivals.insert(request.id);
        }
        self.send_event(Event::Arrive(request));
    }

    /// Another attempt of an earlier request, on a new flow.
    pub(super) fn new_attempt(&mut self, which: usize, left: u64) {
        if let Some(mut request) = pick(which, self.requests.values().cloned()) {
            let fresh = self.request(0, left);
            request.id = fresh.id;
            request.deadline = fresh.deadline;
            let attempts = self.requests.values().filter(|r| r.key == request.key);
            let latest = attempts.map(|r| r.attempt).max();
            request.attempt = latest.unwrap_or_default().next();
            self.arrive(request);
        }
    }

    /// Answers a claim; grants no key that has run, and a released key to later attempts only.
    pub(super) fn verdict(&mut self, which: usize, kind: u8) {
        if self.claims.is_empty() {
            return;
        }
        let (id, attempt) = self.claims.remove(which % self.claims.len());
        let key = self.requests[&id].key;
        let outcome = match kind {
            7 => return self.send_event(Event::Denied { id }),
            6 => Outcome::Unknown,
            _ => answer(),
        };
        if self.ran.contains(&key) || self.is_released(key, attempt) {
            self.send_event(Event::Settled { id, outcome });
        } else {
            let start_by = self.now + GRANT_VALIDITY;
            self.granted.insert(key, (start_by, attempt));
            self.send_event(Event::Permit { id, start_by });
        }
    }

    pub(super) fn end_run(&mut self, which: usize, kind: u8) {
        let Some(id) = pick(which, self.running.keys().copied()) else {
            return;
        };
        let run = self.running.remove(&id).unwrap();
        let key = self.requests[&id].key;
        match kind {
            7 => self.send_event(Event::Lost { id }),
            6 => {
                if !run.repeated {
                    self.ran.remove(&key);
                }
                self.send_event(Event::Refused { id });
            }
            _ => {
                let outcome = if kind == 5 {
                    Outcome::Failed(Payload::default())
                } else {
                    answer()
                };
                self.send_event(Event::Finished { id, outcome });
            }
        }
    }

    pub(super) fn offer(&mut self, method: usize, left: u64) {
        let request = self.request(method, left);
        let offer = Offer {
            id: request.id,
            key: request.key,
            once: request.once,
            method: request.method.clone(),
            left: Span::from_millis(left),
            attempt: request.attempt,
            age: request.age,
            budget: request.budget,
            priority: request.priority,
            body: request.body.clone(),
            wait: Span::from_millis(left),
            reply: peer(PEERS[0]),
        };
        self.requests.insert(request.id, request);
        self.offered.push(offer.clone());
        self.send_event(Event::Offered(offer));
    }

    /// A peer replies to an offer; all copies of the offer get the same decision.
    pub(super) fn reply(&mut self, which: usize, taken: bool, lost: bool) {
        let Some((port, id)) = pick(which, self.sent.iter().copied()) else {
            return;
        };
        let peer_offer = (port, id);
        self.sent.remove(&peer_offer);
        let taken =
            self.delegated.contains(&peer_offer) || (taken && !self.declined.contains(&peer_offer));
        if taken {
            self.delegated.insert(peer_offer);
        } else {
            self.declined.insert(peer_offer);
        }
        if !lost {
            let wait = Span::ZERO;
            let reply = OfferReply { id, taken, wait };
            let from = peer(port);
            self.send_event(Event::OfferReply { from, reply });
        }
    }

    /// A peer ends a request that it took; a once request runs only under a grant.
    pub(super) fn peer_outcome(&mut self, which: usize, kind: u8) {
        let Some((port, id)) = pick(which, self.delegated.iter().copied()) else {
            return;
        };
        let request = &self.requests[&id];
        // A peer follows the same rules: it never reports "not run" if the request may have run.
        let ran = self.ran.contains(&request.key);
        let granted = self.granted.contains_key(&request.key);
        let released = self.is_released(request.key, request.attempt);
        let cannot_run = ran || (request.once && (granted || released));
        let outcome = match kind {
            _ if cannot_run => Outcome::Unknown,
            0 => answer(),
            1 => not_run(),
            _ => Outcome::Unknown,
        };
        self.delegated.remove(&(port, id));
        // Copies that are still in transit are declined.
        self.declined.insert((port, id));
        if !cannot_run && !matches!(outcome, Outcome::NotRun { .. }) {
            self.ran.insert(request.key);
        }
        let reply = peer(port);
        self.send_event(Event::OfferOutcome(OfferOutcome { id, outcome, reply }));
    }

    pub(super) fn is_released(&self, key: RequestKey, attempt: Attempt) -> bool {
        self.released
            .get(&key)
            .is_some_and(|released| attempt <= *released)
    }

    pub(super) fn send_event(&mut self, event: Event) {
        for action in self.scheduler.handle(self.now, event) {
            self.check(action);
        }
    }

    /// Advances the clock, with a tick at the due time of each timer.
    pub(super) fn pass(&mut self, span: Span) {
        let end = self.now + span;
        let mut ticks = 0;
        while let Some(due) = self.scheduler.next_timer().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.send_event(Event::Tick);
            ticks += 1;
            assert!(ticks < 5_000, "timers do not advance");
        }
        self.now = end;
    }

    /// Whether a peer holds a copy of the request, or may still take one.
    pub(super) fn is_remote(&self, id: &RequestId) -> bool {
        let open = self.sent.difference(&self.declined).chain(&self.delegated);
        open.into_iter().any(|(_, remote)| remote == id)
    }
}
