use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use usher_types::{MessageId, Payload, Segment, Span, Time};

use crate::inbox::{checksum, segment_count};
use crate::{FlowError, MAX_MESSAGE_BYTES, SEGMENT_BYTES};

// The delay doubles with each retransmission and restarts with each acknowledgement.
const MIN_RESEND_DELAY: Span = Span::from_millis(200);
const MAX_RESEND_DELAY: Span = Span::from_secs(10);
// Segments of one message in flight; keeps a large reply from overflowing a socket buffer.
const WINDOW_SEGMENTS: usize = 32;

/// Sends the messages of one direction of a flow and retransmits unacknowledged segments.
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
    messages: Option<Box<IndexMap<MessageId, OutgoingMessage>>>,
}

/// A message that is not fully acknowledged, as it is handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnackedMessage {
    /// Number of the message.
    pub message: MessageId,
    /// The complete message.
    pub bytes: Payload,
    /// Indexes of unacknowledged segments.
    pub missing: Vec<u16>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct OutgoingMessage {
    bytes: Vec<u8>,
    checksum: u32,
    in_flight: Vec<u16>,
    queued: VecDeque<u16>,
    delay: Span,
    due: Time,
}

impl Outbox {
    /// Queues a message and returns its first segments to send.
    ///
    /// # Errors
    /// Fails if the message is too long or its number is in use.
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
        Ok(self.start(now, message, OutgoingMessage::new(bytes, missing)))
    }

    /// Records an acknowledgement and returns the segments to send next.
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
        let Some(outgoing) = messages.get_mut(&message) else {
            return Vec::new();
        };
        outgoing.acknowledge(index);
        if outgoing.is_done() {
            messages.shift_remove(&message);
            if messages.is_empty() {
                self.messages = None;
            }
            return Vec::new();
        }
        outgoing.fill_window(now, message)
    }

    /// Returns the segments due for retransmission and doubles their message's delay.
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
            .filter(|(_, outgoing)| outgoing.due <= now)
            .flat_map(|(message, outgoing)| outgoing.retransmit(now, *message))
            .collect()
    }

    /// When the next retransmission is due.
    ///
    /// ```
    /// assert_eq!(usher_flows::Outbox::default().next_timer(), None);
    /// ```
    pub fn next_timer(&self) -> Option<Time> {
        let messages = self.messages.iter().flat_map(|messages| messages.values());
        messages.map(|outgoing| outgoing.due).min()
    }

    /// Whether every message is acknowledged.
    ///
    /// ```
    /// assert!(usher_flows::Outbox::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.messages.is_none()
    }

    /// Messages to hand over because they are not fully acknowledged.
    pub(crate) fn unacked_messages(&self) -> Vec<UnackedMessage> {
        let messages = self.messages.iter().flat_map(|messages| messages.iter());
        messages
            .map(|(message, outgoing)| outgoing.unacked(*message))
            .collect()
    }

    /// Adds a message from another holder, if absent, and returns the segments to send.
    pub(crate) fn restore(&mut self, now: Time, unacked: UnackedMessage) -> Vec<Segment> {
        let count = segment_count(unacked.bytes.len());
        let mut missing = unacked.missing;
        missing.retain(|index| usize::from(*index) < count);
        if missing.is_empty() || self.contains(unacked.message) {
            return Vec::new();
        }
        let outgoing = OutgoingMessage::new(unacked.bytes.into_vec(), missing.into());
        self.start(now, unacked.message, outgoing)
    }

    fn start(&mut self, now: Time, message: MessageId, outgoing: OutgoingMessage) -> Vec<Segment> {
        let messages = self.messages.get_or_insert_default();
        messages
            .entry(message)
            .or_insert(outgoing)
            .fill_window(now, message)
    }

    fn contains(&self, message: MessageId) -> bool {
        self.messages
            .as_ref()
            .is_some_and(|messages| messages.contains_key(&message))
    }
}

impl OutgoingMessage {
    fn new(bytes: Vec<u8>, missing: VecDeque<u16>) -> Self {
        Self {
            checksum: checksum(&bytes),
            bytes,
            in_flight: Vec::new(),
            queued: missing,
            delay: MIN_RESEND_DELAY,
            due: Time::ZERO,
        }
    }

    fn acknowledge(&mut self, index: u16) {
        let before = self.in_flight.len();
        self.in_flight.retain(|sent| *sent != index);
        if self.in_flight.len() == before {
            // After a handover, acknowledgements of the earlier holder's segments arrive here.
            self.queued.retain(|unsent| *unsent != index);
        } else {
            self.delay = MIN_RESEND_DELAY;
        }
    }

    fn is_done(&self) -> bool {
        self.in_flight.is_empty() && self.queued.is_empty()
    }

    fn fill_window(&mut self, now: Time, message: MessageId) -> Vec<Segment> {
        let free = WINDOW_SEGMENTS
            .saturating_sub(self.in_flight.len())
            .min(self.queued.len());
        let next: Vec<u16> = self.queued.drain(..free).collect();
        if !next.is_empty() {
            self.due = now + self.delay;
        }
        self.in_flight.extend(&next);
        next.into_iter()
            .map(|index| self.segment(message, index))
            .collect()
    }

    fn retransmit(&mut self, now: Time, message: MessageId) -> Vec<Segment> {
        self.delay = (self.delay * 2).min(MAX_RESEND_DELAY);
        self.due = now + self.delay;
        self.in_flight
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

    fn unacked(&self, message: MessageId) -> UnackedMessage {
        UnackedMessage {
            message,
            bytes: Payload::from(self.bytes.as_slice()),
            missing: self.in_flight.iter().chain(&self.queued).copied().collect(),
        }
    }
}
