use std::collections::BTreeMap;
use std::hash::Hash;

use indexmap::IndexMap;
use usher_types::Time;

use crate::caller_shares::CallerShares;
use crate::{Caller, Place, Rank};

/// Work that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting<K, W> {
    /// Key of the work.
    pub key: K,
    /// Caller that the work is for.
    pub caller: Caller,
    /// The work.
    pub work: W,
}

/// A bounded queue of work by rank, then fair share of callers, then arrival.
///
/// ```
/// use usher_queueing::{Caller, Rank, FairQueue};
/// use usher_types::Time;
/// let (busy, other): (Caller, Caller) = ("100.64.0.7".parse()?, "100.64.0.8".parse()?);
/// let (urgent, normal) = (Rank::new(1), Rank::new(2));
/// let mut queue = FairQueue::new(8);
/// queue.push(Time::ZERO, "first", normal, busy, ());
/// queue.push(Time::ZERO, "second", normal, busy, ());
/// queue.push(Time::ZERO, "third", normal, other, ());
/// queue.push(Time::ZERO, "fourth", urgent, busy, ());
/// let order: Vec<_> = std::iter::from_fn(|| queue.pop()).map(|w| w.key).collect();
/// assert_eq!(order, ["fourth", "first", "third", "second"]);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone)]
pub struct FairQueue<K, W> {
    capacity: usize,
    order: BTreeMap<Place, Waiting<K, W>>,
    places: IndexMap<K, Place>,
    shares: CallerShares,
    arrivals: u64,
}

impl<K: Copy + Eq + Hash, W> FairQueue<K, W> {
    /// An empty queue for this much waiting work.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            order: BTreeMap::new(),
            places: IndexMap::new(),
            shares: CallerShares::default(),
            arrivals: 0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Whether the queue takes no more work.
    pub fn is_full(&self) -> bool {
        self.order.len() >= self.capacity
    }

    /// Whether work with this key waits.
    pub fn contains(&self, key: &K) -> bool {
        self.places.contains_key(key)
    }

    /// The waiting work with this key.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut W> {
        let place = self.places.get(key)?;
        self.order.get_mut(place).map(|waiting| &mut waiting.work)
    }

    /// Number of requests that are served before a new one of this caller.
    pub fn ahead(&self, now: Time, rank: Rank, caller: Caller) -> usize {
        let place = self
            .shares
            .next_place(now, rank, caller, self.arrivals.saturating_add(1));
        self.order.range(..place).count()
    }

    /// Whether work of this rank or a better one waits.
    pub fn has_rank(&self, rank: Rank) -> bool {
        self.order
            .first_key_value()
            .is_some_and(|(first, _)| first.rank <= rank)
    }

    /// Adds work; work with a key that already waits, or beyond the capacity, is not added.
    ///
    /// Returns whether the work was added.
    pub fn push(&mut self, now: Time, key: K, rank: Rank, caller: Caller, work: W) -> bool {
        if self.is_full() || self.contains(&key) {
            return false;
        }
        let place = self.take_place(now, rank, caller);
        self.places.insert(key, place);
        let waiting = Waiting { key, caller, work };
        self.order.insert(place, waiting);
        true
    }

    /// Charges a caller with work that starts without waiting.
    pub fn start(&mut self, now: Time, rank: Rank, caller: Caller) {
        let place = self.take_place(now, rank, caller);
        self.shares.serve(place);
    }

    /// Removes the work to serve next.
    pub fn pop(&mut self) -> Option<Waiting<K, W>> {
        let (place, waiting) = self.order.pop_first()?;
        self.places.swap_remove(&waiting.key);
        self.shares.serve(place);
        Some(waiting)
    }

    /// Removes work that is served out of turn.
    pub fn serve(&mut self, key: &K) -> Option<Waiting<K, W>> {
        let (_, waiting) = self.take(key)?;
        Some(waiting)
    }

    /// Removes work that is not served any more.
    pub fn withdraw(&mut self, key: &K) -> Option<Waiting<K, W>> {
        let (place, waiting) = self.take(key)?;
        self.shares.refund(place.rank, waiting.caller);
        Some(waiting)
    }

    /// Removes work that is refused; the caller's next work of its rank takes its place.
    pub fn refuse(&mut self, now: Time, key: &K) -> Option<Waiting<K, W>> {
        let (place, waiting) = self.take(key)?;
        self.shares.refuse(now, waiting.caller, place);
        Some(waiting)
    }

    /// Refuses work that has not been added, as [`Self::refuse`] does.
    pub fn refuse_new(&mut self, now: Time, rank: Rank, caller: Caller) {
        let place = self.take_place(now, rank, caller);
        self.shares.refuse(now, caller, place);
    }

    /// Waiting work in the order of service.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&Place, &Waiting<K, W>)> {
        self.order.iter()
    }

    /// Number of waiting requests of a caller in one rank.
    pub fn waiting_of(&self, rank: Rank, caller: Caller) -> usize {
        let same = |(place, waiting): &(&Place, &Waiting<K, W>)| {
            place.rank == rank && waiting.caller == caller
        };
        self.order.iter().filter(same).count()
    }

    /// The work to refuse so that work at `last` and before it is served sooner.
    ///
    /// It is of the worst rank and, within that rank, the last of the caller with the most work that
    /// waits or is in progress.
    pub fn excess(
        &self,
        last: Place,
        may_refuse: impl Fn(&W) -> bool,
        in_progress: impl Fn(Rank, Caller) -> usize,
    ) -> Option<K> {
        let refusable = |(_, waiting): &(&Place, &Waiting<K, W>)| may_refuse(&waiting.work);
        let candidates = || self.order.range(..=last).rev().filter(refusable);
        let (worst, _) = candidates().next()?;
        let mut loads: IndexMap<Caller, usize> = IndexMap::new();
        for (place, waiting) in &self.order {
            if place.rank == worst.rank {
                let load = loads.entry(waiting.caller);
                *load.or_insert_with(|| in_progress(place.rank, waiting.caller)) += 1;
            }
        }
        let same_rank = candidates().take_while(|(place, _)| place.rank == worst.rank);
        let mut most: Option<(usize, K)> = None;
        for (_, waiting) in same_rank {
            let load = loads[&waiting.caller];
            if most.is_none_or(|(known, _)| load > known) {
                most = Some((load, waiting.key));
            }
        }
        most.map(|(_, key)| key)
    }

    /// Makes the waiting work of a caller precede all later work of its rank.
    pub fn advance_past(&mut self, caller: Caller) {
        self.shares.advance_past(caller);
    }

    /// Number of callers that are remembered, counted once for each rank.
    pub fn callers(&self) -> usize {
        self.shares.len()
    }

    fn take_place(&mut self, now: Time, rank: Rank, caller: Caller) -> Place {
        self.arrivals += 1;
        let place = self.shares.next_place(now, rank, caller, self.arrivals);
        self.shares.charge(caller, place);
        place
    }

    fn take(&mut self, key: &K) -> Option<(Place, Waiting<K, W>)> {
        let place = self.places.swap_remove(key)?;
        let waiting = self.order.remove(&place)?;
        Some((place, waiting))
    }
}
