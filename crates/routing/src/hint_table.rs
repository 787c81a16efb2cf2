use std::collections::HashMap;
use std::mem;
use std::net::SocketAddrV4;

use usher_types::FlowId;

/// Bounded cache from a flow to the agent that holds it.
///
/// A packet whose entry was evicted takes one more hop. Entries are kept in two generations: when
/// the young one is full, it replaces the old one, whose entries are all discarded. Eviction
/// therefore needs no search. A lookup moves an entry to the young generation.
///
/// ```
/// use usher_routing::HintTable;
/// let flow = "10.0.0.1:4000>192.0.2.1:80#7".parse()?;
/// let holder = "127.0.0.1:9000".parse().unwrap();
/// let mut hints = HintTable::new(1_000);
/// hints.insert(flow, holder);
/// assert_eq!(hints.holder(&flow), Some(holder));
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug)]
pub struct HintTable {
    half_capacity: usize,
    young: HashMap<FlowId, SocketAddrV4>,
    old: HashMap<FlowId, SocketAddrV4>,
}

impl HintTable {
    /// Creates a table of at most `capacity` entries, at least 2.
    ///
    /// All memory is reserved here.
    ///
    /// ```
    /// assert!(usher_routing::HintTable::new(10).is_empty());
    /// ```
    pub fn new(capacity: usize) -> Self {
        let half_capacity = (capacity / 2).max(1);
        Self {
            half_capacity,
            young: HashMap::with_capacity(half_capacity),
            old: HashMap::with_capacity(half_capacity),
        }
    }

    /// Records the holder of a flow; a later hint replaces an earlier one.
    ///
    /// ```
    /// let mut hints = usher_routing::HintTable::new(10);
    /// hints.insert("10.0.0.1:4000>192.0.2.1:80#7".parse()?, "127.0.0.1:9000".parse().unwrap());
    /// assert_eq!(hints.len(), 1);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn insert(&mut self, flow: FlowId, holder: SocketAddrV4) {
        self.old.remove(&flow);
        if self.young.len() >= self.half_capacity && !self.young.contains_key(&flow) {
            mem::swap(&mut self.young, &mut self.old);
            self.young.clear();
        }
        self.young.insert(flow, holder);
    }

    /// Returns the holder of a flow, if the table has a hint for it.
    ///
    /// ```
    /// let mut hints = usher_routing::HintTable::new(10);
    /// assert_eq!(hints.holder(&"10.0.0.1:4000>192.0.2.1:80#7".parse()?), None);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn holder(&mut self, flow: &FlowId) -> Option<SocketAddrV4> {
        if let Some(holder) = self.young.get(flow) {
            return Some(*holder);
        }
        let holder = self.old.get(flow).copied()?;
        self.insert(*flow, holder);
        Some(holder)
    }

    /// Removes the hint for a flow.
    ///
    /// ```
    /// let mut hints = usher_routing::HintTable::new(10);
    /// hints.remove(&"10.0.0.1:4000>192.0.2.1:80#7".parse()?);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn remove(&mut self, flow: &FlowId) {
        self.young.remove(flow);
        self.old.remove(flow);
    }

    /// Number of hints held.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether no hint is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
