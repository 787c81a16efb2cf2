use std::net::SocketAddrV4;

use usher_types::{Body, FlowId, MessageId, Packet, Sequence, Time};

use crate::{FlowState, Inbox, Outbox};

/// A flow in one state of its life cycle: open, moving to another agent, or closing.
#[derive(Debug)]
pub(crate) struct Flow<S> {
    used: Time,
    sequence: Sequence,
    state: S,
}

/// The flow is served here.
#[derive(Debug, Default)]
pub(crate) struct Open {
    pub(crate) inbox: Inbox,
    pub(crate) outbox: Outbox,
    // Delivered messages without a reply; boxed because most flows are idle.
    #[expect(
        clippy::box_collection,
        reason = "an idle flow pays 8 bytes instead of 24"
    )]
    pending: Option<Box<Vec<MessageId>>>,
}

/// The flow is frozen until its receiver acknowledges the handover.
#[derive(Debug)]
pub(crate) struct Moving {
    open: Open,
    to: SocketAddrV4,
}

/// The flow is closed; a late packet opens nothing.
#[derive(Debug)]
pub(crate) struct Closing;

/// A flow in any state, as the table stores it.
#[derive(Debug)]
pub(crate) enum Held {
    Open(Flow<Open>),
    Moving(Flow<Moving>),
    Closing(Flow<Closing>),
}

impl<S> Flow<S> {
    /// Makes the next packet to the caller.
    pub(crate) fn packet(&mut self, flow: FlowId, body: Body) -> Packet {
        let sequence = self.sequence;
        self.sequence = sequence.next();
        Packet {
            flow,
            sequence,
            body,
        }
    }

    fn with<T>(self, change: impl FnOnce(S) -> T) -> Flow<T> {
        Flow {
            used: self.used,
            sequence: self.sequence,
            state: change(self.state),
        }
    }
}

impl Flow<Open> {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            used: now,
            sequence: Sequence::default(),
            state: Open::default(),
        }
    }

    /// Notes traffic of the caller.
    pub(crate) fn touch(&mut self, now: Time) {
        self.used = now;
    }

    pub(crate) fn used(&self) -> Time {
        self.used
    }

    pub(crate) fn state(&mut self) -> &mut Open {
        &mut self.state
    }

    pub(crate) fn view(&self) -> &Open {
        &self.state
    }

    /// Freezes the flow while it is handed over.
    pub(crate) fn freeze(self, to: SocketAddrV4) -> Flow<Moving> {
        self.with(|open| Moving { open, to })
    }

    /// Ends the flow; what is queued or unanswered is dropped.
    pub(crate) fn close(self) -> Flow<Closing> {
        self.with(|_| Closing)
    }

    /// Adopts counters of another holder of the same flow.
    pub(crate) fn raise_sequence(&mut self, sequence: Sequence) {
        self.sequence = self.sequence.max(sequence);
    }
}

impl Flow<Moving> {
    pub(crate) fn to(&self) -> SocketAddrV4 {
        self.state.to
    }

    /// Serves the flow here again.
    pub(crate) fn thaw(self) -> Flow<Open> {
        self.with(|moving| moving.open)
    }

    /// State for the receiver.
    pub(crate) fn export(&self, flow: FlowId) -> FlowState {
        let open = &self.state.open;
        FlowState {
            flow,
            sequence: self.sequence,
            done: open.inbox.done().clone(),
            segments: open.inbox.segments(),
            output: open.outbox.outputs(),
        }
    }
}

impl Open {
    pub(crate) fn pending(&self) -> usize {
        self.pending.as_ref().map_or(0, |pending| pending.len())
    }

    pub(crate) fn await_reply(&mut self, message: MessageId) {
        self.pending.get_or_insert_default().push(message);
    }

    /// Marks a message as answered; false when it was not awaiting a reply.
    pub(crate) fn answer(&mut self, message: MessageId) -> bool {
        let Some(pending) = &mut self.pending else {
            return false;
        };
        let Some(place) = pending.iter().position(|awaiting| *awaiting == message) else {
            return false;
        };
        pending.swap_remove(place);
        if pending.is_empty() {
            self.pending = None;
        }
        true
    }
}
