use crate::{FlowKey, ForwardHeader};

// Deliveries that can be matched to a returned packet. A backend server returns a packet within
// milliseconds.
const CAPACITY: usize = 512;
const CAPACITY_BITS: u32 = 9;

/// A packet that was delivered to the backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Delivery {
    pub(crate) forward_header: ForwardHeader,
    /// The next candidate has got a copy of the packet.
    pub(crate) copied: bool,
}

/// Forward headers of packets that the backend server may return, by token.
///
/// A ring: a new delivery overwrites the oldest one.
#[derive(Debug, Clone)]
pub(crate) struct PendingDeliveries {
    slots: Vec<Option<(u32, FlowKey, Delivery)>>,
    last_token: u32,
}

impl PendingDeliveries {
    pub(crate) fn new() -> Self {
        Self {
            slots: vec![None; CAPACITY],
            last_token: 0,
        }
    }

    /// Stores a delivery and returns its token, which is never 0.
    pub(crate) fn issue_token(&mut self, flow: FlowKey, delivery: Delivery) -> u32 {
        self.last_token = self.last_token.wrapping_add(1).max(1 << CAPACITY_BITS);
        let token = self.last_token;
        self.slots[token as usize % CAPACITY] = Some((token, flow, delivery));
        token
    }

    /// Removes the delivery of a returned packet, unless it was overwritten or already taken.
    pub(crate) fn take(&mut self, flow: &FlowKey, token: u32) -> Option<Delivery> {
        let slot = &mut self.slots[token as usize % CAPACITY];
        slot.take_if(|(stored, stored_flow, _)| *stored == token && stored_flow == flow)
            .map(|(_, _, delivery)| delivery)
    }
}
