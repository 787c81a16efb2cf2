//! The simulated callers: they open flows, send requests and receive answers.

use usher_agent::Event;
use usher_flows::Outbox;
use usher_types::{
    Attempt, AttemptBudget, Body, FlowId, MessageId, Outcome, Packet, Payload, Request, RequestId,
    RequestKey, Sequence, Span, Time,
};

use super::Agents;
use super::agents::Step;
use crate::model::Ending;

// Delay before a caller repeats an opening or, for the first time, a message.
const RESEND_DELAY: Span = Span::from_millis(200);
const RETRY_DELAY: Span = Span::from_millis(20);
const ATTEMPTS: u8 = 3;
const NUMBER_BYTES: usize = 8;
// Endings of a request, in the byte after its index in an answer.
const ANSWERED: u8 = 0;
const REFUSED: u8 = 1;
const REFUSED_IDLE: u8 = 2;
const FAILED: u8 = 3;

/// Index of the request that a message carries in its first bytes.
pub(super) fn arrival_number(bytes: &[u8]) -> usize {
    let head = bytes.first_chunk::<NUMBER_BYTES>().copied();
    u64::from_le_bytes(head.unwrap_or_default()) as usize
}

impl Agents<'_> {
    pub(super) fn open(&mut self, now: Time, flow: usize) {
        if self.options.restart_interval.is_some() {
            self.events.add(now + RESEND_DELAY, Step::Reopen(flow));
        }
        let packet = self.packet(flow, Body::Open);
        self.spray(now, packet);
    }

    pub(super) fn close(&mut self, now: Time, flow: usize) {
        let packet = self.packet(flow, Body::Close);
        self.spray(now, packet);
    }

    // The index follows from the caller's address and port, which the workload assigns in order.
    fn flow_of(&self, id: &FlowId) -> Option<usize> {
        let flow = crate::model::flow_number(id);
        (self.workload.flows.get(flow)?.id == *id).then_some(flow)
    }

    fn packet(&mut self, flow: usize, body: Body) -> Packet {
        self.sequences[flow] += 1;
        Packet {
            flow: self.workload.flows[flow].id,
            sequence: Sequence::new(self.sequences[flow]),
            body,
        }
    }

    pub(super) fn send_request(&mut self, now: Time, number: usize) {
        let flow = self.workload.arrivals[number].flow;
        if self.options.restart_interval.is_some() {
            if !self.opened[flow] {
                return self.events.add(now + RESEND_DELAY, Step::Arrive(number));
            }
            self.events
                .add(now + RESEND_DELAY, Step::Resend(number, RESEND_DELAY));
        }
        self.sent[number] = (
            MessageId::new(self.sequences[flow] + 1),
            self.sent[number].1 + 1,
        );
        self.transmit(now, number);
    }

    fn transmit(&mut self, now: Time, number: usize) {
        let flow = self.workload.arrivals[number].flow;
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

    /// Repeats a message, with doubled delays, until its answer arrives.
    pub(super) fn resend(&mut self, now: Time, number: usize, delay: Span) {
        if self.result.endings[number].is_none() {
            self.transmit(now, number);
            let delay = delay * 2;
            self.events.add(now + delay, Step::Resend(number, delay));
        }
    }

    pub(super) fn reopen(&mut self, now: Time, flow: usize) {
        if !self.opened[flow] {
            self.open(now, flow);
        }
    }

    /// Whether the caller sends the request once more after this ending.
    fn should_resend(&self, number: usize, ending: Ending) -> bool {
        let once = self.site.mix[self.workload.arrivals[number].kind].once;
        let repeatable = match ending {
            Ending::Answered => false,
            Ending::NotRun { .. } => true,
            Ending::Failed => !once,
        };
        repeatable && self.sent[number].1 < self.options.caller_policy.0
    }

    /// Handles a packet that arrives at its caller.
    pub(super) fn receive(&mut self, now: Time, packet: Packet) {
        match packet.body {
            Body::Segment(segment) => {
                let arrival = arrival_number(&segment.bytes);
                let flow = self.workload.arrivals[arrival].flow;
                let ending = match segment.bytes.get(NUMBER_BYTES) {
                    Some(&ANSWERED) => Ending::Answered,
                    Some(&REFUSED) => Ending::NotRun { idle: false },
                    Some(&REFUSED_IDLE) => Ending::NotRun { idle: true },
                    _ => Ending::Failed,
                };
                if self.should_resend(arrival, ending) {
                    self.events.add(now + RETRY_DELAY, Step::Arrive(arrival));
                } else {
                    self.result.end(arrival, now, ending);
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
            Body::Reset => self.result.broken += 1,
            _ => {}
        }
    }

    /// Turns a caller's message into a request.
    ///
    /// As in the runtime, the deadline counts from the receipt of the message.
    pub(super) fn deliver(&mut self, now: Time, node: usize, id: RequestId, bytes: &[u8]) {
        let arrival = arrival_number(bytes);
        let work = self.site.mix[self.workload.arrivals[arrival].kind];
        let (sends, shared) = (self.sent[arrival].1, self.options.caller_policy.1);
        let request = Request {
            id,
            key: RequestKey::new(arrival as u128 + 1),
            once: work.once,
            method: work.method.to_owned(),
            deadline: now + work.deadline,
            attempt: Attempt::new(sends),
            age: now - self.workload.arrivals[arrival].at,
            budget: AttemptBudget::new(if shared {
                ATTEMPTS.saturating_sub(sends as u8 - 1)
            } else {
                ATTEMPTS
            }),
            priority: work.priority,
            body: Payload::from(bytes),
        };
        self.requests.insert(id, arrival);
        self.handle_event(now, node, Event::Request(request));
    }

    pub(super) fn answer(&mut self, now: Time, node: usize, id: RequestId, outcome: &Outcome) {
        let Some(arrival) = self.requests.remove(&id) else {
            return;
        };
        let tag = match outcome {
            Outcome::Answered(_) => ANSWERED,
            Outcome::NotRun { .. } if self.result.any_free() => REFUSED_IDLE,
            Outcome::NotRun { .. } => REFUSED,
            Outcome::Failed(_) | Outcome::Unknown => FAILED,
        };
        let mut bytes = (arrival as u64).to_le_bytes().to_vec();
        bytes.push(tag);
        self.handle_event(now, node, Event::Reply { id, bytes });
    }
}
