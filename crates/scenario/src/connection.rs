use usher_flows::{Inbox, Outbox, Receipt};
use usher_types::{Body, FlowId, MessageId, Packet, Sequence, ServiceName, Span, Time};

// Delay before the first repetition of the opening packet; it doubles each time, up to the maximum.
const FIRST_RETRY_DELAY: Span = Span::from_millis(200);
const MAX_RETRY_DELAY: Span = Span::from_secs(2);

/// The caller's side of one flow.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) flow: FlowId,
    pub(crate) service: ServiceName,
    pub(crate) is_reset: bool,
    sequence: Sequence,
    message: MessageId,
    // Next transmission of the opening packet and the delay after it; `None` once accepted.
    opening: Option<(Time, Span)>,
    inbox: Inbox,
    outbox: Outbox,
}

impl Connection {
    /// Creates a flow that sends its first packet at `now`.
    pub(crate) fn new(now: Time, flow: FlowId, service: ServiceName) -> Self {
        Self {
            flow,
            service,
            is_reset: false,
            sequence: Sequence::default(),
            message: MessageId::default(),
            opening: Some((now, FIRST_RETRY_DELAY)),
            inbox: Inbox::default(),
            outbox: Outbox::default(),
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.opening.is_none() && !self.is_reset
    }

    /// Sends a message; returns its number and the packets to send.
    pub(crate) fn send(&mut self, now: Time, bytes: Vec<u8>) -> (MessageId, Vec<Packet>) {
        self.message = self.message.next();
        let segments = self.outbox.push(now, self.message, bytes);
        let segments = segments.unwrap_or_default();
        let packets = segments.into_iter().map(Body::Segment);
        (self.message, self.wrap(packets))
    }

    /// Returns the packets to send in answer, and the message if it is complete.
    pub(crate) fn receive(&mut self, now: Time, body: Body) -> (Vec<Packet>, Option<Vec<u8>>) {
        match body {
            Body::Accept => self.opening = None,
            Body::Reset => self.is_reset = true,
            Body::Ack { message, index } => {
                let segments = self.outbox.acknowledge(now, message, index);
                let packets = segments.into_iter().map(Body::Segment);
                return (self.wrap(packets), None);
            }
            Body::Segment(segment) => {
                let (message, index) = (segment.message, segment.index);
                let receipt = self.inbox.accept(segment);
                let ack = Body::Ack { message, index };
                let packets = self.wrap(receipt.is_acknowledged().then_some(ack));
                let complete = match receipt {
                    Receipt::Complete(bytes) => Some(bytes),
                    _ => None,
                };
                return (packets, complete);
            }
            Body::Open | Body::Close | Body::Closed => {}
        }
        (Vec::new(), None)
    }

    pub(crate) fn tick(&mut self, now: Time) -> Vec<Packet> {
        match self.opening {
            Some((due, _)) if due > now => Vec::new(),
            Some((_, delay)) => {
                let next =
                    Span::from_micros((delay * 2).as_micros().min(MAX_RETRY_DELAY.as_micros()));
                self.opening = Some((now + delay, next));
                self.wrap([Body::Open])
            }
            None => {
                let segments = self.outbox.tick(now);
                self.wrap(segments.into_iter().map(Body::Segment))
            }
        }
    }

    pub(crate) fn next_timer(&self) -> Option<Time> {
        let opening = self.opening.map(|(due, _)| due);
        opening
            .or_else(|| self.outbox.next_timer())
            .filter(|_| !self.is_reset)
    }

    // Wraps bodies in packets with consecutive sequence numbers.
    fn wrap(&mut self, bodies: impl IntoIterator<Item = Body>) -> Vec<Packet> {
        let packet = |body| {
            self.sequence = self.sequence.next();
            Packet {
                flow: self.flow,
                sequence: self.sequence,
                body,
            }
        };
        bodies.into_iter().map(packet).collect()
    }
}
