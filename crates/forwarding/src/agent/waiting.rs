use std::collections::BTreeMap;

use indexmap::IndexMap;
use usher_types::{Span, Time};

use crate::{FlowKey, Trip};

// Flows that wait at one agent; each holds a packet of 31 bytes and its trip.
const CAPACITY: usize = 256;
// A caller gives up 1.4 s after its first opening packet.
const PATIENCE: Span = Span::from_millis(1_200);
// Mean times of work that are kept free after the wait: nine of ten requests take less.
const WORK_RESERVE: u64 = 3;
// Share of the target that a flow may wait at least, where work takes most of it.
const LEAST_SHARE: f64 = 0.25;

/// Opening packets that wait for a slot, the most urgent first.
#[derive(Debug, Clone, Default)]
pub(crate) struct Waiting {
    queue: BTreeMap<Place, Waiter>,
    places: IndexMap<FlowKey, Place>,
    arrivals: u64,
}

/// Rank of the route, then order of arrival.
type Place = (u8, u64);

/// A flow that waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub(crate) flow: FlowKey,
    pub(crate) trip: Trip,
    until: Time,
}

impl Waiting {
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn contains(&self, flow: &FlowKey) -> bool {
        self.places.contains_key(flow)
    }

    /// Flows that go before a new one of a rank.
    pub(crate) fn ahead(&self, rank: u8) -> usize {
        self.queue.range(..(rank, u64::MAX)).count()
    }

    /// Longest wait after which work of the usual length still ends within the target of the route.
    pub(crate) fn limit(trip: &Trip, work: Span) -> Span {
        let least = trip.budget.scale(LEAST_SHARE);
        (trip.budget - work * WORK_RESERVE).max(least).min(PATIENCE)
    }

    pub(crate) fn is_full(&self) -> bool {
        self.queue.len() >= CAPACITY
    }

    pub(crate) fn push(&mut self, now: Time, flow: FlowKey, trip: Trip, limit: Span) {
        self.arrivals += 1;
        let place = (trip.rank, self.arrivals);
        let until = now + limit;
        self.places.insert(flow, place);
        self.queue.insert(place, Waiter { flow, trip, until });
    }

    /// The most urgent flow.
    pub(crate) fn pop(&mut self) -> Option<Waiter> {
        let (_, waiter) = self.queue.pop_first()?;
        self.places.swap_remove(&waiter.flow);
        Some(waiter)
    }

    /// Flows whose callers have given up by now.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Waiter> {
        let late = self.queue.values().filter(|waiter| waiter.until <= now);
        let late: Vec<Waiter> = late.copied().collect();
        for waiter in &late {
            if let Some(place) = self.places.swap_remove(&waiter.flow) {
                self.queue.remove(&place);
            }
        }
        late
    }
}
