use std::collections::{HashSet, VecDeque};

use usher_types::{RequestId, Span, Time};

// Maximum lifetime of a packet: a copy of an offer may arrive this late.
const RETENTION: Span = Span::from_secs(30);

/// Offers that were declined or completed; later copies of them are declined.
#[derive(Debug, Default)]
pub(crate) struct ClosedOffers {
    ids: HashSet<RequestId>,
    expiry: VecDeque<(Time, RequestId)>,
}

impl ClosedOffers {
    pub(crate) fn add(&mut self, now: Time, id: RequestId) {
        self.expire(now);
        if self.ids.insert(id) {
            self.expiry.push_back((now + RETENTION, id));
        }
    }

    pub(crate) fn contains(&self, id: &RequestId) -> bool {
        self.ids.contains(id)
    }

    fn expire(&mut self, now: Time) {
        while let Some((_, id)) = self.expiry.pop_front_if(|(until, _)| *until <= now) {
            self.ids.remove(&id);
        }
    }
}
