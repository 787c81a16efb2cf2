use serde::{Deserialize, Serialize};
use usher_types::MessageId;

// Limits the memory of one flow; each gap holds messages that are not completed yet.
const MAX_RANGES: usize = 256;

/// A bounded set of completed message numbers, kept as ascending closed ranges.
///
/// Messages complete out of order, so a window limited by age would drop late ones. Consecutive
/// numbers take one range, however many there are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// Whether the set holds a number.
    ///
    /// ```
    /// use usher_flows::Ranges;
    /// use usher_types::MessageId;
    /// let mut ranges = Ranges::default();
    /// assert!(ranges.insert(MessageId::new(3)));
    /// assert!(ranges.contains(MessageId::new(3)));
    /// ```
    pub fn contains(&self, message: MessageId) -> bool {
        let next = self.following(message.get());
        self.0[..next]
            .last()
            .is_some_and(|(_, last)| message.get() <= *last)
    }

    /// Whether a number can be added without exceeding the limit.
    ///
    /// ```
    /// use usher_flows::Ranges;
    /// use usher_types::MessageId;
    /// assert!(Ranges::default().has_room(MessageId::new(9)));
    /// ```
    pub fn has_room(&self, message: MessageId) -> bool {
        let number = message.get();
        let next = self.following(number);
        self.0.len() < MAX_RANGES || self.joins_left(next, number) || self.joins_right(next, number)
    }

    /// Adds a number; returns false if the set is full.
    ///
    /// ```
    /// use usher_flows::Ranges;
    /// use usher_types::MessageId;
    /// assert!(Ranges::default().insert(MessageId::new(9)));
    /// ```
    pub fn insert(&mut self, message: MessageId) -> bool {
        if self.contains(message) {
            return true;
        }
        if !self.has_room(message) {
            return false;
        }
        let number = message.get();
        let next = self.following(number);
        match (
            self.joins_left(next, number),
            self.joins_right(next, number),
        ) {
            (true, true) => {
                self.0[next - 1].1 = self.0[next].1;
                self.0.remove(next);
            }
            (true, false) => self.0[next - 1].1 = number,
            (false, true) => self.0[next].0 = number,
            (false, false) => self.0.insert(next, (number, number)),
        }
        true
    }

    /// Adds all numbers of another set, even beyond the limit; none is lost.
    pub(crate) fn merge(&mut self, other: &Self) {
        let mut all: Vec<_> = self.0.iter().chain(&other.0).copied().collect();
        all.sort_unstable();
        self.0.clear();
        for (first, last) in all {
            match self.0.last_mut() {
                Some(range) if first <= range.1.saturating_add(1) => range.1 = range.1.max(last),
                _ => self.0.push((first, last)),
            }
        }
    }

    // Index of the first range that starts after the number.
    fn following(&self, number: u32) -> usize {
        self.0.partition_point(|(first, _)| *first <= number)
    }

    fn joins_left(&self, next: usize, number: u32) -> bool {
        next > 0 && self.0[next - 1].1.checked_add(1) == Some(number)
    }

    fn joins_right(&self, next: usize, number: u32) -> bool {
        self.0
            .get(next)
            .is_some_and(|(first, _)| number.checked_add(1) == Some(*first))
    }
}
