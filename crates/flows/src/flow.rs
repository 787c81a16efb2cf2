use std::net::SocketAddrV4;

use usher_types::{Body, FlowId, MessageId, Packet, Sequence, Time};

use crate::{FlowState, Inbox, Outbox};

/// A flow in one state of its life cycle: open, moving or closed.
#[derive(Debug)]
pub(crate) struct Flow<S> {
    used_at: Time,
    sequence: Sequence,
    state: S,
}

/// State of a flow that this agent serves.
#[derive(Debug, Default)]
pub(crate) struct Open {
    pub(crate) inbox: Inbox,
    pub(crate) outbox: Outbox,
    // Delivered messages that await a reply; boxed because most flows are idle.
    #[expect(
        clippy::box_collection,
        reason = "takes 8 bytes instead of 24 in an idle flow"
    )]
    unanswered: Option<Box<Vec<MessageId>>>,
}

/// State of a flow that is frozen until the receiver acknowledges the handover.
#[derive(Debug)]
pub(crate) struct Moving {
    open: Open,
    to: SocketAddrV4,
}

/// State of a closed flow, kept so late packets do not reopen it.
#[derive(Debug)]
pub(crate) struct Tombstone;

/// A flow in any state, as stored in the table.
#[derive(Debug)]
pub(crate) enum StoredFlow {
    Open(Flow<Open>),
    Moving(Flow<Moving>),
    Tombstone(Flow<Tombstone>),
}

impl<S> Flow<S> {
    /// Builds the next packet to the caller.
    pub(crate) fn packet(&mut self, flow: FlowId, body: Body) -> Packet {
        let sequence = self.sequence;
        self.sequence = sequence.next();
        Packet {
            flow,
            sequence,
            body,
        }
    }

    fn map_state<T>(self, change: impl FnOnce(S) -> T) -> Flow<T> {
        Flow {
            used_at: self.used_at,
            sequence: self.sequence,
            state: change(self.state),
        }
    }
}

impl Flow<Open> {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            used_at: now,
            sequence: Sequence::default(),
            state: Open::default(),
        }
    }

    /// Records that the caller sent a packet.
    pub(crate) fn touch(&mut self, now: Time) {
        self.used_at = now;
    }

    pub(crate) fn used_at(&self) -> Time {
        self.used_at
    }

    pub(crate) fn state(&mut self) -> &mut Open {
        &mut self.state
    }

    pub(crate) fn view(&self) -> &Open {
        &self.state
    }

    /// Freezes the flow while it is handed over.
    pub(crate) fn freeze(self, to: SocketAddrV4) -> Flow<Moving> {
        self.map_state(|open| Moving { open, to })
    }

    /// Ends the flow and drops its queued and unanswered messages.
    pub(crate) fn close(self) -> Flow<Tombstone> {
        self.map_state(|_| Tombstone)
    }

    /// Raises the sequence to that of another holder of the same flow.
    pub(crate) fn raise_sequence(&mut self, sequence: Sequence) {
        self.sequence = self.sequence.max(sequence);
    }
}

impl Flow<Moving> {
    pub(crate) fn to(&self) -> SocketAddrV4 {
        self.state.to
    }

    /// Makes the flow open here again.
    pub(crate) fn unfreeze(self) -> Flow<Open> {
        self.map_state(|moving| moving.open)
    }

    /// Returns the state to send to the receiver.
    pub(crate) fn export(&self, flow: FlowId) -> FlowState {
        let open = &self.state.open;
        FlowState {
            flow,
            sequence: self.sequence,
            done: open.inbox.done().clone(),
            segments: open.inbox.segments(),
            unacked: open.outbox.unacked_messages(),
        }
    }
}

impl Open {
    pub(crate) fn unanswered(&self) -> usize {
        self.unanswered
            .as_ref()
            .map_or(0, |unanswered| unanswered.len())
    }

    pub(crate) fn await_reply(&mut self, message: MessageId) {
        self.unanswered.get_or_insert_default().push(message);
    }

    /// Marks a message as answered; returns false if it was not awaiting a reply.
    pub(crate) fn answer(&mut self, message: MessageId) -> bool {
        let Some(unanswered) = &mut self.unanswered else {
            return false;
        };
        let Some(index) = unanswered.iter().position(|awaiting| *awaiting == message) else {
            return false;
        };
        unanswered.swap_remove(index);
        if unanswered.is_empty() {
            self.unanswered = None;
        }
        true
    }
}
