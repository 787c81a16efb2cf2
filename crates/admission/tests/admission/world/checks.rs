//! Checks of the invariants on every action of the scheduler.

use usher_admission::Action;
use usher_types::{Outcome, Request, RequestId, Span, Time};

use super::{Run, World};

const SHORT_BOUND: Span = Span::from_millis(100);

impl World {
    pub(super) fn check(&mut self, action: Action) {
        match action {
            Action::Claim { id, attempt, .. } => self.claims.push((id, attempt)),
            Action::Dispatch { id, start_by, .. } => self.check_dispatch(id, start_by),
            Action::CancelRun { id } => assert!(self.running.contains_key(&id)),
            Action::Reply { id, outcome } => {
                self.check_not_run(id, &outcome);
                let previous = self.outcomes.insert(id, outcome);
                assert_eq!(previous, None, "second outcome of {id}");
            }
            Action::Complete { key, outcome } => {
                if matches!(outcome, Outcome::NotRun { .. }) {
                    assert!(
                        !self.ran.contains(&key),
                        "released the key of a request that may have run"
                    );
                    if let Some((_, attempt)) = self.granted.remove(&key) {
                        self.released.insert(key, attempt);
                    }
                }
            }
            Action::Offer { to, offer } => {
                let peer_offer = (to.port(), offer.id);
                let others = self.sent.difference(&self.declined);
                let exclusive = others
                    .into_iter()
                    .all(|(p, id)| *id != offer.id || *p == peer_offer.0);
                assert!(exclusive, "two offers of {} are outstanding", offer.id);
                assert!(
                    !self.running.contains_key(&offer.id),
                    "offered a request that runs here"
                );
                self.sent.insert(peer_offer);
            }
            Action::OfferReply { reply, .. } => {
                let previous = self.taken.insert(reply.id, reply.taken);
                let ended = self.reported.contains_key(&reply.id);
                let same = previous.is_none_or(|taken| taken == reply.taken);
                assert!(
                    same || (ended && !reply.taken),
                    "the reply to an offer changed"
                );
                // The offering agent has the outcome and ignores this reply.
                if ended {
                    self.taken.insert(reply.id, true);
                }
            }
            Action::OfferOutcome { outcome, .. } => {
                let (id, outcome) = (outcome.id, outcome.outcome);
                let previous = self.reported.get(&id);
                assert!(
                    previous.is_none_or(|p| *p == outcome),
                    "outcome of {id} changed"
                );
                if previous.is_none() {
                    self.check_not_run(id, &outcome);
                    self.reported.insert(id, outcome);
                }
            }
            Action::Drained => {
                self.drained += 1;
                assert!(
                    self.draining && self.running.is_empty(),
                    "the drain was reported as complete while requests run"
                );
            }
            Action::OfferOutcomeAck { .. } | Action::Count(_) => {}
        }
    }

    fn check_dispatch(&mut self, id: RequestId, start_by: Time) {
        let request = &self.requests[&id];
        assert!(start_by > self.now, "dispatched past its start deadline");
        assert!(
            !self.drain_arrivals.contains(&id),
            "dispatched a request that arrived during the drain"
        );
        assert!(
            !self.reported.contains_key(&id),
            "dispatched a request that has an outcome"
        );
        if !self.is_joined(id) {
            assert!(
                !self.outcomes.contains_key(&id),
                "dispatched a request that has an outcome"
            );
        }
        let repeated = !self.ran.insert(request.key);
        if request.once {
            let grant = self
                .granted
                .get(&request.key)
                .expect("dispatched without a grant");
            assert!(start_by <= grant.0, "start deadline exceeds the grant");
            assert!(!repeated, "{id} runs a second time");
        }
        if self.policy.classes && request.method == "map" {
            let long = self
                .running
                .iter()
                .filter(|(id, run)| self.is_long(id, run));
            let limit = usize::from(self.slots.saturating_sub(1).max(1));
            assert!(long.count() < limit, "a long request took the last slot");
        }
        let started = self.now;
        self.running.insert(id, Run { started, repeated });
        assert!(
            self.running.len() <= usize::from(self.slots),
            "more runs than slots"
        );
    }

    fn is_long(&self, id: &RequestId, run: &Run) -> bool {
        self.requests[id].method == "map" || self.now - run.started >= SHORT_BOUND
    }

    /// Whether another attempt arrived here, which may continue after the first one has ended.
    fn is_joined(&self, id: RequestId) -> bool {
        let key = self.requests[&id].key;
        self.requests.values().filter(|r| r.key == key).count() > 1
    }

    fn check_not_run(&self, id: RequestId, outcome: &Outcome) {
        if matches!(outcome, Outcome::NotRun { .. }) {
            let key = self.requests[&id].key;
            assert!(
                !self.ran.contains(&key),
                "the outcome of {id} is not-run, but it may have run"
            );
            let attempts = self.requests.values().filter(|r| r.key == key);
            let cannot_run = |r: &Request| r.once && self.is_released(key, r.attempt);
            let remote = attempts
                .into_iter()
                .any(|r| !cannot_run(r) && self.is_remote(&r.id));
            assert!(
                !remote,
                "the outcome of {id} is not-run, but a peer may run it"
            );
        }
    }
}
