use std::collections::{BTreeMap, BTreeSet};

use usher_types::{Priority, RequestId, Span, Time};

use crate::forecast::Forecast;
use crate::rank::Rank;
use crate::task::Task;

/// Whether a queued request may be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Readiness {
    Ready,
    Unclaimed,
    Claiming,
}

/// A request as seen by the queue.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) id: RequestId,
    pub(crate) cost: Span,
    pub(crate) latest_start: Time,
    pub(crate) finish_by: Time,
    pub(crate) priority: Priority,
    pub(crate) readiness: Readiness,
    pub(crate) offerable: bool,
}

/// Requests of one class that wait for a slot.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    order: BTreeMap<Rank, Waiting>,
    work: Span,
}

impl Queue {
    pub(crate) fn insert(&mut self, rank: Rank, waiting: Waiting) {
        self.work = self.work + waiting.cost;
        self.order.insert(rank, waiting);
    }

    pub(crate) fn remove(&mut self, rank: Rank) {
        if let Some(waiting) = self.order.remove(&rank) {
            self.work = self.work - waiting.cost;
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Sum of the estimated service times of all requests.
    pub(crate) fn work(&self) -> Span {
        self.work
    }

    /// Requests in the order of dispatch.
    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &Waiting> {
        self.order.values()
    }

    pub(crate) fn first_ready(&self) -> Option<&Waiting> {
        self.iter().find(|w| w.readiness == Readiness::Ready)
    }

    /// Sum of the estimated service times of the requests ahead of `rank`.
    pub(crate) fn work_before(&self, rank: Rank) -> Span {
        sum(self.order.range(..rank).map(|(_, w)| w.cost))
    }

    /// Requests to shed so that `task` and all requests behind it finish in time.
    ///
    /// `None` if shedding all requests of lower priority is not enough.
    pub(crate) fn requests_to_shed(
        &self,
        now: Time,
        task: &Task,
        forecast: &Forecast,
    ) -> Option<Vec<RequestId>> {
        let mut shed = BTreeSet::new();
        while let Some(missed) = self.first_missed(now, task, forecast, &shed) {
            let (rank, _) = self
                .order
                .range(..=missed)
                .filter(|(rank, w)| !shed.contains(*rank) && w.priority < task.request.priority)
                .min_by_key(|(rank, w)| (w.priority, std::cmp::Reverse(**rank)))?;
            shed.insert(*rank);
        }
        Some(shed.iter().map(|rank| self.order[rank].id).collect())
    }

    /// The first request that would finish too late because of `task`, or `task` itself.
    fn first_missed(
        &self,
        now: Time,
        task: &Task,
        forecast: &Forecast,
        shed: &BTreeSet<Rank>,
    ) -> Option<Rank> {
        let kept = |rank: &Rank| !shed.contains(rank);
        let before = self.order.range(..task.rank);
        let mut ahead = sum(before.filter(|(r, _)| kept(r)).map(|(_, w)| w.cost));
        if forecast.wait(ahead) + task.cost > task.time_available(now) {
            return Some(task.rank);
        }
        for (rank, waiting) in self.order.range(task.rank..).filter(|(r, _)| kept(r)) {
            let left = waiting.finish_by.since(now);
            let met = forecast.wait(ahead) + waiting.cost <= left;
            if met && forecast.wait(ahead + task.cost) + waiting.cost > left {
                return Some(*rank);
            }
            ahead = ahead + waiting.cost;
        }
        None
    }
}

fn sum(spans: impl Iterator<Item = Span>) -> Span {
    spans.fold(Span::ZERO, |total, span| total + span)
}
