use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use usher_types::Time;

/// Events in order of simulated time.
///
/// Events with the same time keep their insertion order.
#[derive(Debug)]
pub struct EventQueue<E> {
    order: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, E>,
    next: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            order: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    ///
    /// ```
    /// use usher_bench::model::EventQueue;
    /// use usher_types::Time;
    /// let mut queue = EventQueue::default();
    /// queue.add(Time::from_micros(2), 'b');
    /// queue.add(Time::from_micros(1), 'a');
    /// assert_eq!(queue.pop(), Some((Time::from_micros(1), 'a')));
    /// ```
    pub fn add(&mut self, at: Time, event: E) {
        self.order.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// Removes the earliest event and returns it with its time.
    ///
    /// ```
    /// assert_eq!(usher_bench::model::EventQueue::<u8>::default().pop(), None);
    /// ```
    pub fn pop(&mut self) -> Option<(Time, E)> {
        let Reverse((at, number)) = self.order.pop()?;
        self.events.remove(&number).map(|event| (at, event))
    }
}
