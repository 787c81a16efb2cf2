//! Callers: flows, requests and what becomes of them.

use usher_agent::Event;
use usher_flows::Outbox;
use usher_types::{
    Attempt, Body, Budget, FlowId, MessageId, Outcome, Packet, Payload, Request, RequestId,
    RequestKey, Sequence, Span, Time,
};

use super::Agents;
use super::agents::Step;
use crate::model::Ending;

const FIRST_DELAY: Span = Span::from_millis(200);
const RETRY_DELAY: Span = Span::from_millis(20);
const ATTEMPTS: u8 = 3;
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
        if self.options.restarts.is_some() {
            self.calendar.add(now + FIRST_DELAY, Step::Reopen(flow));
        }
        let packet = self.packet(flow, Body::Open);
        self.spray(now, packet);
    }

    pub(super) fn close(&mut self, now: Time, flow: usize) {
        let packet = self.packet(flow, Body::Close);
        self.spray(now, packet);
    }

    // The plan numbers flows by caller address and port.
    fn flow_of(&self, id: &FlowId) -> Option<usize> {
        let flow = crate::model::flow_number(id);
        (self.plan.flows.get(flow)?.id == *id).then_some(flow)
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
        if self.options.restarts.is_some() {
            if !self.opened[flow] {
                return self.calendar.add(now + FIRST_DELAY, Step::Arrive(number));
            }
            self.calendar
                .add(now + FIRST_DELAY, Step::Resend(number, FIRST_DELAY));
        }
        self.sent[number] = (
            MessageId::new(self.sequences[flow] + 1),
            self.sent[number].1 + 1,
        );
        self.transmit(now, number);
    }

    fn transmit(&mut self, now: Time, number: usize) {
        let flow = self.plan.arrivals[number].flow;
        let bytes = (number as u64).to_le_bytes().to_vec();
        let message = self.sent[number].0;
        let segments = Outbox::default()
            .push(now, message, bytes)
            .unwrap_or_default();
        for segment in segments {
            let packet = self.packet(flow, Body::Segment(segment));
            self.spray(now, packet);
        }
    }

    /// Repeats a message until its answer arrives.
    pub(super) fn resend(&mut self, now: Time, number: usize, delay: Span) {
        if self.tally.endings[number].is_none() {
            self.transmit(now, number);
            let delay = delay * 2;
            self.calendar.add(now + delay, Step::Resend(number, delay));
        }
    }

    pub(super) fn reopen(&mut self, now: Time, flow: usize) {
        if !self.opened[flow] {
            self.open(now, flow);
        }
    }

    /// Whether the caller sends the request again after this ending.
    fn repeats(&self, number: usize, ending: Ending) -> bool {
        let once = self.site.mix[self.plan.arrivals[number].kind].once;
        let repeatable = match ending {
            Ending::Answered => false,
            Ending::NotRun { .. } => true,
            Ending::Failed => !once,
        };
        repeatable && self.sent[number].1 < self.options.caller.0
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
                if self.repeats(arrival, ending) {
                    self.calendar.add(now + RETRY_DELAY, Step::Arrive(arrival));
                } else {
                    self.tally.end(arrival, now, ending);
                }
                let ack = Body::Ack {
                    message: segment.message,
                    index: segment.index,
                };
                let packet = self.packet(flow, ack);
                self.spray(now, packet);
            }
            Body::Accept => {
                if let Some(flow) = self.flow_of(&packet.flow) {
                    self.opened[flow] = true;
                }
            }
            Body::Reset => self.tally.broken += 1,
            _ => {}
        }
    }

    /// Reads a caller's message as the runtime does: the deadline counts from its receipt.
    pub(super) fn deliver(&mut self, now: Time, node: usize, id: RequestId, bytes: &[u8]) {
        let arrival = number(bytes);
        let work = self.site.mix[self.plan.arrivals[arrival].kind];
        let (sends, shared) = (self.sent[arrival].1, self.options.caller.1);
        let request = Request {
            id,
            key: RequestKey::new(arrival as u128 + 1),
            once: work.once,
            method: work.method.to_owned(),
            deadline: now + work.deadline,
            attempt: Attempt::new(sends),
            age: now - self.plan.arrivals[arrival].at,
            budget: Budget::new(if shared {
                ATTEMPTS.saturating_sub(sends as u8 - 1)
            } else {
                ATTEMPTS
            }),
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
