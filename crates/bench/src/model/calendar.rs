use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use usher_types::Time;

/// Events in the order of virtual time; events of one time keep the order of their insertion.
#[derive(Debug)]
pub struct Calendar<E> {
    order: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, E>,
    next: u64,
}

impl<E> Default for Calendar<E> {
    fn default() -> Self {
        Self {
            order: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<E> Calendar<E> {
    /// Plans an event.
    ///
    /// ```
    /// use usher_bench::model::Calendar;
    /// use usher_types::Time;
    /// let mut calendar = Calendar::default();
    /// calendar.add(Time::from_micros(2), 'b');
    /// calendar.add(Time::from_micros(1), 'a');
    /// assert_eq!(calendar.pop(), Some((Time::from_micros(1), 'a')));
    /// ```
    pub fn add(&mut self, at: Time, event: E) {
        self.order.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// Takes the earliest event.
    ///
    /// ```
    /// assert_eq!(usher_bench::model::Calendar::<u8>::default().pop(), None);
    /// ```
    pub fn pop(&mut self) -> Option<(Time, E)> {
        let Reverse((at, number)) = self.order.pop()?;
        self.events.remove(&number).map(|event| (at, event))
    }
}
