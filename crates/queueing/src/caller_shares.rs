use indexmap::IndexMap;
use usher_types::{Span, Time};

use crate::{Caller, Place, Rank};

// Callers that are remembered, counted once for each rank. A caller that is forgotten counts as one
// that has had nothing.
const MAX_CALLERS: usize = 4_096;
// Share of the callers that are kept when the oldest are removed, so that a removal, which reads all
// of them, is rare.
const KEPT_CALLERS: usize = MAX_CALLERS / 4 * 3;
// A caller makes its last attempt within the deadline of a request, 3 s for most routes.
const RETRY_TIME: Span = Span::from_secs(3);

/// What a caller has had of the service of one rank.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    /// Start tag of the caller's next work, unless the rank's virtual time is later.
    next_start: u64,
    /// Place of refused work and when it is forgotten; the caller's next work takes it.
    refused: Option<(Place, Time)>,
}

/// Start-time fair queueing: start tags of the work of each caller, by rank.
///
/// Each request counts as one unit of service, since its work is not known before.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallerShares {
    shares: IndexMap<(Rank, Caller), Share>,
    /// Start tag of the work served last, by rank.
    virtual_times: IndexMap<Rank, u64>,
}

impl CallerShares {
    /// Place of a caller's next work.
    pub(crate) fn next_place(&self, now: Time, rank: Rank, caller: Caller, arrival: u64) -> Place {
        let share = self.shares.get(&(rank, caller));
        let refused = share.and_then(|share| share.refused);
        if let Some((place, _)) = refused.filter(|(_, until)| now < *until) {
            return place;
        }
        let start = share.map_or(0, |share| share.next_start);
        Place {
            rank,
            start: start.max(self.virtual_time(rank)),
            arrival,
        }
    }

    /// Charges a caller with work at this place.
    pub(crate) fn charge(&mut self, caller: Caller, place: Place) {
        let key = (place.rank, caller);
        if self.shares.len() >= MAX_CALLERS && !self.shares.contains_key(&key) {
            self.forget();
        }
        let share = self.shares.entry(key).or_default();
        share.refused = None;
        share.next_start = share.next_start.max(place.start) + 1;
    }

    /// Takes back a charge for work that was not served.
    pub(crate) fn refund(&mut self, rank: Rank, caller: Caller) {
        if let Some(share) = self.shares.get_mut(&(rank, caller)) {
            share.next_start = share.next_start.saturating_sub(1);
        }
    }

    /// Takes back the charge for refused work and keeps its place for the caller's next work.
    pub(crate) fn refuse(&mut self, now: Time, caller: Caller, place: Place) {
        self.refund(place.rank, caller);
        if let Some(share) = self.shares.get_mut(&(place.rank, caller)) {
            let earlier = share.refused.filter(|(_, until)| now < *until);
            let earliest = earlier.map_or(place, |(earlier, _)| earlier.min(place));
            share.refused = Some((earliest, now + RETRY_TIME));
        }
    }

    /// Records that work at this place is served.
    pub(crate) fn serve(&mut self, place: Place) {
        let time = self.virtual_times.entry(place.rank).or_default();
        *time = place.start.max(*time);
    }

    /// Advances the virtual times past the work of a caller.
    pub(crate) fn advance_past(&mut self, caller: Caller) {
        for ((rank, known), share) in &self.shares {
            if *known == caller {
                let time = self.virtual_times.entry(*rank).or_default();
                *time = share.next_start.max(*time);
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.shares.len()
    }

    fn virtual_time(&self, rank: Rank) -> u64 {
        self.virtual_times.get(&rank).copied().unwrap_or(0)
    }

    // Removes callers that are not ahead of the virtual time, which count like unknown ones, then
    // those that were first seen earliest.
    fn forget(&mut self) {
        let times = &self.virtual_times;
        self.shares
            .retain(|(rank, _), share| share.next_start > times.get(rank).copied().unwrap_or(0));
        if self.shares.len() > KEPT_CALLERS {
            self.shares.drain(..self.shares.len() - KEPT_CALLERS);
        }
    }
}
