//! Callers: flows, requests and what becomes of them.

use usher_agent::Event;
use usher_flows::Outbox;
use usher_types::{
    Attempt, Body, Budget, MessageId, Outcome, Packet, Payload, Request, RequestId, RequestKey,
    Sequence, Span, Time,
};

use super::Agents;
use crate::model::Ending;

const NUMBER_BYTES: usize = 8;
const ANSWERED: u8 = 0;
const REFUSED: u8 = 1;
const REFUSED_IDLE: u8 = 2;
const FAILED: u8 = 3;

/// Number of the arrival that a message carries.
pub(super) fn number(bytes: &[u8]) -> usize {
    let head = bytes.first_chunk::<NUMBER_BYTES>().copied();
    u64::from_le_bytes(head.unwrap_or_default()) as usize
}

impl Agents<'_> {
    pub(super) fn open(&mut self, now: Time, flow: usize) {
        let packet = self.packet(flow, Body::Open);
        self.spray(now, packet);
    }

    pub(super) fn close(&mut self, now: Time, flow: usize) {
        let packet = self.packet(flow, Body::Close);
        self.spray(now, packet);
    }

    fn packet(&mut self, flow: usize, body: Body) -> Packet {
        self.sequences[flow] += 1;
        Packet {
            flow: self.plan.flows[flow].id,
            sequence: Sequence::new(self.sequences[flow]),
            body,
        }
    }

    pub(super) fn send_request(&mut self, now: Time, number: usize) {
        let flow = self.plan.arrivals[number].flow;
        let message = MessageId::new(self.sequences[flow] + 1);
        let bytes = (number as u64).to_le_bytes().to_vec();
        let segments = Outbox::default()
            .push(now, message, bytes)
            .unwrap_or_default();
        for segment in segments {
            let packet = self.packet(flow, Body::Segment(segment));
            self.spray(now, packet);
        }
    }

    /// A packet arrives at its caller.
    pub(super) fn receive(&mut self, now: Time, packet: Packet) {
        match packet.body {
            Body::Segment(segment) => {
                let arrival = number(&segment.bytes);
                let flow = self.plan.arrivals[arrival].flow;
                let ending = match segment.bytes.get(NUMBER_BYTES) {
                    Some(&ANSWERED) => Ending::Answered,
                    Some(&REFUSED) => Ending::NotRun { idle: false },
                    Some(&REFUSED_IDLE) => Ending::NotRun { idle: true },
                    _ => Ending::Failed,
                };
                self.tally.end(arrival, now, ending);
                let ack = Body::Ack {
                    message: segment.message,
                    index: segment.index,
                };
                let packet = self.packet(flow, ack);
                self.spray(now, packet);
            }
            Body::Reset => self.tally.broken += 1,
            _ => {}
        }
    }

    /// Reads a caller's message as the runtime does: the deadline counts from its receipt.
    pub(super) fn deliver(&mut self, now: Time, node: usize, id: RequestId, bytes: &[u8]) {
        let arrival = number(bytes);
        let work = self.site.mix[self.plan.arrivals[arrival].kind];
        let request = Request {
            id,
            key: RequestKey::new(arrival as u128 + 1),
            once: work.once,
            method: work.method.to_owned(),
            deadline: now + work.deadline,
            attempt: Attempt::new(1),
            age: Span::ZERO,
            budget: Budget::new(3),
            priority: work.priority,
            body: Payload::from(bytes),
        };
        self.ids.insert(id, arrival);
        self.feed(now, node, Event::Request(request));
    }

    pub(super) fn answer(&mut self, now: Time, node: usize, id: RequestId, outcome: &Outcome) {
        let Some(arrival) = self.ids.remove(&id) else {
            return;
        };
        let tag = match outcome {
            Outcome::Answered(_) => ANSWERED,
            Outcome::NotRun { .. } if self.tally.any_free() => REFUSED_IDLE,
            Outcome::NotRun { .. } => REFUSED,
            Outcome::Failed(_) | Outcome::Unknown => FAILED,
        };
        let mut bytes = (arrival as u64).to_le_bytes().to_vec();
        bytes.push(tag);
        self.feed(now, node, Event::Reply { id, bytes });
    }
}
