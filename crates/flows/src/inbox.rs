use std::collections::BTreeMap;

use indexmap::IndexMap;
use usher_types::{MessageId, Payload, Segment};
use xxhash_rust::xxh3::xxh3_64;

use crate::{MAX_MESSAGE_BYTES, Ranges, SEGMENT_BYTES};

// Incomplete messages per flow; their buffered bytes together are limited to `MAX_MESSAGE_BYTES`.
const MAX_INCOMPLETE: usize = 8;

/// Result of accepting a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Receipt {
    /// The segment was stored; acknowledge it.
    Stored,
    /// The last missing segment; acknowledge it and use the complete message.
    Complete(Vec<u8>),
    /// Received before; acknowledge it again.
    Duplicate,
    /// A limit is reached; not acknowledged, so the sender retransmits it later.
    Full,
    /// The segment is invalid or does not match its message; not acknowledged.
    Malformed,
}

impl Receipt {
    /// Whether the receiver must acknowledge the segment.
    ///
    /// ```
    /// assert!(usher_flows::Receipt::Duplicate.is_acknowledged());
    /// ```
    pub fn is_acknowledged(&self) -> bool {
        !matches!(self, Self::Full | Self::Malformed)
    }
}

/// Reassembles the messages of one direction of a flow and returns each once.
///
/// Limits: 8 incomplete messages with 4 MiB in total, 256 ranges of completed numbers.
///
/// ```
/// use usher_flows::{Inbox, Outbox, Receipt};
/// use usher_types::{MessageId, Time};
/// let mut outbox = Outbox::default();
/// let segments = outbox.push(Time::ZERO, MessageId::new(1), b"hello".to_vec())?;
/// let mut inbox = Inbox::default();
/// assert_eq!(inbox.accept(segments[0].clone()), Receipt::Complete(b"hello".to_vec()));
/// # Ok::<(), usher_flows::FlowError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Inbox {
    done: Ranges,
    partial: Option<Box<PartialMessages>>,
}

type PartialMessages = IndexMap<MessageId, PartialMessage>;

#[derive(Debug, Clone, PartialEq, Eq)]
struct PartialMessage {
    count: u16,
    length: u32,
    checksum: u32,
    parts: BTreeMap<u16, Payload>,
}

impl Inbox {
    /// Stores a segment and returns the message that it completes.
    ///
    /// ```
    /// use usher_flows::{Inbox, Receipt};
    /// use usher_types::{MessageId, Payload, Segment};
    /// let segment = Segment {
    ///     message: MessageId::new(1),
    ///     index: 4,
    ///     count: 1,
    ///     length: 0,
    ///     checksum: 0,
    ///     bytes: Payload::default(),
    /// };
    /// assert_eq!(Inbox::default().accept(segment), Receipt::Malformed);
    /// ```
    pub fn accept(&mut self, segment: Segment) -> Receipt {
        if self.done.contains(segment.message) {
            return Receipt::Duplicate;
        }
        if !is_valid(&segment) {
            return Receipt::Malformed;
        }
        if self.is_full(&segment) {
            return Receipt::Full;
        }
        let message = segment.message;
        let partials = self.partial.get_or_insert_default();
        let partial = partials
            .entry(message)
            .or_insert_with(|| PartialMessage::new(&segment));
        if !partial.matches(&segment) {
            return Receipt::Malformed;
        }
        if partial.parts.insert(segment.index, segment.bytes).is_some() {
            return Receipt::Duplicate;
        }
        if partial.parts.len() < usize::from(partial.count) {
            return Receipt::Stored;
        }
        self.complete(message)
    }

    fn complete(&mut self, message: MessageId) -> Receipt {
        let partial = self
            .partial
            .as_mut()
            .and_then(|partials| partials.swap_remove(&message));
        if self
            .partial
            .as_ref()
            .is_some_and(|partials| partials.is_empty())
        {
            self.partial = None;
        }
        match partial.and_then(PartialMessage::join) {
            Some(bytes) => {
                self.done.insert(message);
                Receipt::Complete(bytes)
            }
            None => Receipt::Malformed,
        }
    }

    /// Whether a message was completed before.
    pub(crate) fn is_completed(&self, message: MessageId) -> bool {
        self.done.contains(message)
    }

    /// Numbers of completed messages.
    pub(crate) fn done(&self) -> &Ranges {
        &self.done
    }

    /// Marks messages that another holder completed and drops their buffered parts.
    pub(crate) fn merge_done(&mut self, done: &Ranges) {
        self.done.merge(done);
        if let Some(partials) = &mut self.partial {
            partials.retain(|message, _| !done.contains(*message));
        }
    }

    /// Segments of incomplete messages.
    pub(crate) fn segments(&self) -> Vec<Segment> {
        let partials = self.partial.iter().flat_map(|partials| partials.iter());
        partials
            .flat_map(|(message, partial)| partial.segments(*message))
            .collect()
    }

    fn is_full(&self, segment: &Segment) -> bool {
        if !self.done.has_room(segment.message) {
            return true;
        }
        let Some(partials) = &self.partial else {
            return false;
        };
        let is_new = !partials.contains_key(&segment.message);
        let buffered: usize = partials.values().map(PartialMessage::buffered).sum();
        (is_new && partials.len() >= MAX_INCOMPLETE)
            || buffered + segment.bytes.len() > MAX_MESSAGE_BYTES
    }
}

impl PartialMessage {
    fn new(segment: &Segment) -> Self {
        Self {
            count: segment.count,
            length: segment.length,
            checksum: segment.checksum,
            parts: BTreeMap::new(),
        }
    }

    fn matches(&self, segment: &Segment) -> bool {
        let expected = (self.count, self.length, self.checksum);
        expected == (segment.count, segment.length, segment.checksum)
    }

    // Upper bound of the buffered bytes: every part but the last is full.
    fn buffered(&self) -> usize {
        self.parts.len() * SEGMENT_BYTES
    }

    fn join(self) -> Option<Vec<u8>> {
        let mut bytes = Vec::with_capacity(self.length as usize);
        for part in self.parts.values() {
            bytes.extend_from_slice(part);
        }
        (checksum(&bytes) == self.checksum).then_some(bytes)
    }

    fn segments(&self, message: MessageId) -> impl Iterator<Item = Segment> {
        self.parts.iter().map(move |(index, bytes)| Segment {
            message,
            index: *index,
            count: self.count,
            length: self.length,
            checksum: self.checksum,
            bytes: bytes.clone(),
        })
    }
}

/// Checksum of a complete message.
pub(crate) fn checksum(bytes: &[u8]) -> u32 {
    xxh3_64(bytes) as u32
}

/// Number of segments of a message; an empty message has one segment.
pub(crate) fn segment_count(length: usize) -> usize {
    length.div_ceil(SEGMENT_BYTES).max(1)
}

fn is_valid(segment: &Segment) -> bool {
    let length = segment.length as usize;
    let start = usize::from(segment.index) * SEGMENT_BYTES;
    length <= MAX_MESSAGE_BYTES
        && usize::from(segment.count) == segment_count(length)
        && segment.index < segment.count
        && segment.bytes.len() == (length - start).min(SEGMENT_BYTES)
}
