use usher_types::{Body, FlowId, MessageId, Relay, RequestId, Segment, Time};

use super::FlowTable;
use crate::{Action, Counter, Receipt};

// Delivered messages of one flow that await a reply; limits what one caller can queue.
const MAX_UNANSWERED: usize = 1_024;

impl FlowTable {
    /// Handles a packet of a flow that is open here.
    pub(super) fn serve(&mut self, now: Time, relay: Relay) {
        let flow = relay.packet.flow;
        self.hint(&relay);
        if let Some(open) = self.open_flow(&flow) {
            open.touch(now);
        }
        match relay.packet.body {
            Body::Open => self.send(flow, Body::Accept),
            Body::Segment(segment) => self.accept_segment(flow, segment),
            Body::Ack { message, index } => self.acknowledge(now, flow, message, index),
            Body::Close => self.close(now, flow),
            Body::Accept | Body::Closed | Body::Reset => self.count(Counter::Malformed),
        }
    }

    pub(super) fn accept_segment(&mut self, flow: FlowId, segment: Segment) {
        let (message, index) = (segment.message, segment.index);
        let Some(open) = self.open_flow(&flow) else {
            return;
        };
        let state = open.state();
        if state.unanswered() >= MAX_UNANSWERED && !state.inbox.is_completed(message) {
            return self.count(Counter::Overflow);
        }
        let receipt = state.inbox.accept(segment);
        if receipt.is_acknowledged() {
            self.send(flow, Body::Ack { message, index });
        }
        match receipt {
            Receipt::Stored => {}
            Receipt::Complete(bytes) => self.deliver(flow, message, bytes),
            Receipt::Duplicate => self.count(Counter::Duplicate),
            Receipt::Full => self.count(Counter::Overflow),
            Receipt::Malformed => self.count(Counter::Malformed),
        }
    }

    fn deliver(&mut self, flow: FlowId, message: MessageId, bytes: Vec<u8>) {
        if let Some(open) = self.open_flow(&flow) {
            open.state().await_reply(message);
        }
        let id = RequestId { flow, message };
        self.actions.push(Action::Deliver { id, bytes });
    }

    fn acknowledge(&mut self, now: Time, flow: FlowId, message: MessageId, index: u16) {
        let Some(open) = self.open_flow(&flow) else {
            return;
        };
        let next = open.state().outbox.acknowledge(now, message, index);
        self.send_segments(flow, next);
        self.schedule_resend(flow);
    }

    fn close(&mut self, now: Time, flow: FlowId) {
        self.end_flow(now, flow);
        self.count(Counter::Closed);
        self.send(flow, Body::Closed);
    }

    pub(super) fn reply(&mut self, now: Time, id: RequestId, bytes: Vec<u8>) {
        let Some(open) = self.open_flow(&id.flow) else {
            return self.count(Counter::ReplyDropped);
        };
        let state = open.state();
        if !state.answer(id.message) {
            return self.count(Counter::ReplyDropped);
        }
        if !bytes.is_empty() {
            match state.outbox.push(now, id.message, bytes) {
                Ok(segments) => self.send_segments(id.flow, segments),
                Err(_) => self.count(Counter::ReplyDropped),
            }
            self.schedule_resend(id.flow);
        }
        self.queue_handover(id.flow);
    }

    pub(super) fn retransmit(&mut self, now: Time, flow: FlowId) {
        let Some(open) = self.open_flow(&flow) else {
            return;
        };
        let segments = open.state().outbox.tick(now);
        self.send_segments(flow, segments);
        self.schedule_resend(flow);
    }

    pub(super) fn send_segments(&mut self, flow: FlowId, segments: Vec<Segment>) {
        for segment in segments {
            self.send(flow, Body::Segment(segment));
        }
    }

    pub(super) fn schedule_resend(&mut self, flow: FlowId) {
        let due = self
            .open_flow(&flow)
            .and_then(|open| open.state().outbox.next_timer());
        match due {
            Some(due) => self.resend_timers.set(flow, due),
            None => self.resend_timers.clear(&flow),
        }
    }
}
