use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use usher_types::{MessageId, Payload, Segment, Span, Time};

use crate::inbox::{checksum, segment_count};
use crate::{FlowError, MAX_MESSAGE_BYTES, SEGMENT_BYTES};

const FIRST_DELAY: Span = Span::from_millis(200);
const LAST_DELAY: Span = Span::from_secs(10);
// Segments of one message under way at a time; keeps a large reply from flooding a socket buffer.
const WINDOW: usize = 32;

/// Sends the messages of one direction of a flow until every segment is acknowledged.
///
/// ```
/// use usher_flows::Outbox;
/// use usher_types::{MessageId, Time};
/// let mut outbox = Outbox::default();
/// let segments = outbox.push(Time::ZERO, MessageId::new(1), vec![0; 2_000])?;
/// assert_eq!(segments.len(), 2);
/// let due = outbox.next_timer().unwrap();
/// assert_eq!(outbox.tick(due), segments);
/// # Ok::<(), usher_flows::FlowError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outbox {
    messages: Option<Box<IndexMap<MessageId, Sending>>>,
}

/// A message with the segments that are not acknowledged yet, as handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Output {
    /// Number of the message.
    pub message: MessageId,
    /// The whole message.
    pub bytes: Payload,
    /// Indexes of unacknowledged segments.
    pub missing: Vec<u16>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Sending {
    bytes: Vec<u8>,
    checksum: u32,
    under_way: Vec<u16>,
    waiting: VecDeque<u16>,
    delay: Span,
    due: Time,
}

impl Outbox {
    /// Queues a message and returns the segments to send now.
    ///
    /// # Errors
    /// Fails when the message is too long or its number is in use.
    ///
    /// ```
    /// use usher_flows::Outbox;
    /// use usher_types::{MessageId, Time};
    /// let mut outbox = Outbox::default();
    /// assert_eq!(outbox.push(Time::ZERO, MessageId::new(1), vec![])?.len(), 1);
    /// # Ok::<(), usher_flows::FlowError>(())
    /// ```
    pub fn push(
        &mut self,
        now: Time,
        message: MessageId,
        bytes: Vec<u8>,
    ) -> Result<Vec<Segment>, FlowError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(FlowError::TooLong(bytes.len()));
        }
        if self.contains(message) {
            return Err(FlowError::InUse(message.get()));
        }
        let missing = (0..segment_count(bytes.len()) as u16).collect();
        Ok(self.start(now, message, Sending::new(bytes, missing)))
    }

    /// Notes an acknowledgement and returns the segments to send next.
    ///
    /// ```
    /// use usher_flows::Outbox;
    /// use usher_types::{MessageId, Time};
    /// let mut outbox = Outbox::default();
    /// outbox.push(Time::ZERO, MessageId::new(1), b"hello".to_vec())?;
    /// outbox.acknowledge(Time::ZERO, MessageId::new(1), 0);
    /// assert!(outbox.is_empty());
    /// # Ok::<(), usher_flows::FlowError>(())
    /// ```
    pub fn acknowledge(&mut self, now: Time, message: MessageId, index: u16) -> Vec<Segment> {
        let Some(messages) = &mut self.messages else {
            return Vec::new();
        };
        let Some(sending) = messages.get_mut(&message) else {
            return Vec::new();
        };
        sending.acknowledge(index);
        if sending.is_done() {
            messages.shift_remove(&message);
            if messages.is_empty() {
                self.messages = None;
            }
            return Vec::new();
        }
        sending.fill(now, message)
    }

    /// Segments whose retransmission is due; doubles their message's delay.
    ///
    /// ```
    /// assert!(usher_flows::Outbox::default().tick(usher_types::Time::ZERO).is_empty());
    /// ```
    pub fn tick(&mut self, now: Time) -> Vec<Segment> {
        let messages = self
            .messages
            .iter_mut()
            .flat_map(|messages| messages.iter_mut());
        messages
            .filter(|(_, sending)| sending.due <= now)
            .flat_map(|(message, sending)| sending.repeat(now, *message))
            .collect()
    }

    /// When the next retransmission is due.
    ///
    /// ```
    /// assert_eq!(usher_flows::Outbox::default().next_timer(), None);
    /// ```
    pub fn next_timer(&self) -> Option<Time> {
        let messages = self.messages.iter().flat_map(|messages| messages.values());
        messages.map(|sending| sending.due).min()
    }

    /// Whether every message is acknowledged.
    ///
    /// ```
    /// assert!(usher_flows::Outbox::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.messages.is_none()
    }

    /// Unacknowledged messages, to be handed over.
    pub(crate) fn outputs(&self) -> Vec<Output> {
        let messages = self.messages.iter().flat_map(|messages| messages.iter());
        messages
            .map(|(message, sending)| sending.output(*message))
            .collect()
    }

    /// Takes over a message unless it is here already; returns the segments to send now.
    pub(crate) fn restore(&mut self, now: Time, output: Output) -> Vec<Segment> {
        let count = segment_count(output.bytes.len());
        let mut missing = output.missing;
        missing.retain(|index| usize::from(*index) < count);
        if missing.is_empty() || self.contains(output.message) {
            return Vec::new();
        }
        let sending = Sending::new(output.bytes.into_vec(), missing.into());
        self.start(now, output.message, sending)
    }

    fn start(&mut self, now: Time, message: MessageId, sending: Sending) -> Vec<Segment> {
        let messages = self.messages.get_or_insert_default();
        messages
            .entry(message)
            .or_insert(sending)
            .fill(now, message)
    }

    fn contains(&self, message: MessageId) -> bool {
        self.messages
            .as_ref()
            .is_some_and(|messages| messages.contains_key(&message))
    }
}

impl Sending {
    fn new(bytes: Vec<u8>, missing: VecDeque<u16>) -> Self {
        Self {
            checksum: checksum(&bytes),
            bytes,
            under_way: Vec::new(),
            waiting: missing,
            delay: FIRST_DELAY,
            due: Time::ZERO,
        }
    }

    fn acknowledge(&mut self, index: u16) {
        let before = self.under_way.len();
        self.under_way.retain(|sent| *sent != index);
        if self.under_way.len() == before {
            // After a handover, acknowledgements of segments that the earlier holder sent arrive.
            self.waiting.retain(|later| *later != index);
        } else {
            self.delay = FIRST_DELAY;
        }
    }

    fn is_done(&self) -> bool {
        self.under_way.is_empty() && self.waiting.is_empty()
    }

    fn fill(&mut self, now: Time, message: MessageId) -> Vec<Segment> {
        let room = WINDOW
            .saturating_sub(self.under_way.len())
            .min(self.waiting.len());
        let next: Vec<u16> = self.waiting.drain(..room).collect();
        if !next.is_empty() {
            self.due = now + self.delay;
        }
        self.under_way.extend(&next);
        next.into_iter()
            .map(|index| self.segment(message, index))
            .collect()
    }

    fn repeat(&mut self, now: Time, message: MessageId) -> Vec<Segment> {
        self.delay = (self.delay * 2).min(LAST_DELAY);
        self.due = now + self.delay;
        self.under_way
            .iter()
            .map(|index| self.segment(message, *index))
            .collect()
    }

    fn segment(&self, message: MessageId, index: u16) -> Segment {
        let start = usize::from(index) * SEGMENT_BYTES;
        let end = (start + SEGMENT_BYTES).min(self.bytes.len());
        Segment {
            message,
            index,
            count: segment_count(self.bytes.len()) as u16,
            length: self.bytes.len() as u32,
            checksum: self.checksum,
            bytes: Payload::from(&self.bytes[start..end]),
        }
    }

    fn output(&self, message: MessageId) -> Output {
        Output {
            message,
            bytes: Payload::from(self.bytes.as_slice()),
            missing: self
                .under_way
                .iter()
                .chain(&self.waiting)
                .copied()
                .collect(),
        }
    }
}
