use std::collections::HashMap;

use usher_flows::{Inbox, Outbox, Receipt};
use usher_types::{Body, FlowId, MessageId, Packet, Sequence, Span, Time};

// Delay before an unanswered `Open` is sent again; it doubles up to the maximum.
const FIRST_OPEN_DELAY: Span = Span::from_millis(200);
const MAX_OPEN_DELAY: Span = Span::from_secs(2);

/// A request that has no answer yet.
#[derive(Debug, Clone)]
pub(crate) struct UnansweredRequest {
    pub(crate) load: usize,
    pub(crate) id: u64,
    pub(crate) sent: Time,
}

/// The caller's side of one flow.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) waiting: HashMap<MessageId, UnansweredRequest>,
    flow: FlowId,
    sequence: Sequence,
    message: MessageId,
    // When to send `Open` again and the delay before that, until the flow is accepted.
    opening: Option<(Time, Span)>,
    inbox: Inbox,
    outbox: Outbox,
}

impl Connection {
    pub(crate) fn new(flow: FlowId) -> Self {
        Self {
            waiting: HashMap::new(),
            flow,
            sequence: Sequence::new(0),
            message: MessageId::new(0),
            opening: None,
            inbox: Inbox::default(),
            outbox: Outbox::default(),
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.opening.is_none() && self.sequence.get() > 0
    }

    pub(crate) fn open(&mut self, now: Time) -> Packet {
        self.opening = Some((now + FIRST_OPEN_DELAY, FIRST_OPEN_DELAY));
        self.packet(Body::Open)
    }

    /// Removes the request with this identifier if it still has no answer.
    pub(crate) fn take(&mut self, id: u64) -> Option<UnansweredRequest> {
        let message = self
            .waiting
            .iter()
            .find(|(_, waiting)| waiting.id == id)
            .map(|entry| *entry.0);
        self.waiting.remove(&message?)
    }

    pub(crate) fn next_message(&mut self) -> MessageId {
        self.message = self.message.next();
        self.message
    }

    pub(crate) fn send(&mut self, now: Time, message: MessageId, bytes: Vec<u8>) -> Vec<Packet> {
        let segments = self.outbox.push(now, message, bytes).unwrap_or_default();
        segments
            .into_iter()
            .map(|segment| self.packet(Body::Segment(segment)))
            .collect()
    }

    /// Handles a packet; returns the packets to send and a message that it completes.
    pub(crate) fn receive(&mut self, now: Time, body: Body) -> (Vec<Packet>, Option<Vec<u8>>) {
        match body {
            Body::Accept => self.opening = None,
            Body::Ack { message, index } => {
                let segments = self.outbox.acknowledge(now, message, index);
                let packets = segments
                    .into_iter()
                    .map(|segment| self.packet(Body::Segment(segment)));
                return (packets.collect(), None);
            }
            Body::Segment(segment) => {
                let ack = Body::Ack {
                    message: segment.message,
                    index: segment.index,
                };
                let receipt = self.inbox.accept(segment);
                let acks = receipt.is_acknowledged().then(|| self.packet(ack));
                let message = match receipt {
                    Receipt::Complete(bytes) => Some(bytes),
                    _ => None,
                };
                return (acks.into_iter().collect(), message);
            }
            Body::Open | Body::Close | Body::Closed | Body::Reset => {}
        }
        (Vec::new(), None)
    }

    pub(crate) fn tick(&mut self, now: Time) -> Vec<Packet> {
        if let Some((due, delay)) = self.opening {
            if due > now {
                return Vec::new();
            }
            let delay = (delay * 2).min(MAX_OPEN_DELAY);
            self.opening = Some((now + delay, delay));
            return vec![self.packet(Body::Open)];
        }
        let segments = self.outbox.tick(now);
        segments
            .into_iter()
            .map(|segment| self.packet(Body::Segment(segment)))
            .collect()
    }

    pub(crate) fn next_timer(&self) -> Option<Time> {
        self.opening
            .map(|(due, _)| due)
            .or_else(|| self.outbox.next_timer())
    }

    fn packet(&mut self, body: Body) -> Packet {
        self.sequence = self.sequence.next();
        Packet {
            flow: self.flow,
            sequence: self.sequence,
            body,
        }
    }
}
