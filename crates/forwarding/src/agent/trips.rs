use crate::{FlowKey, Trip};

// Deliveries whose return is awaited. A backend server returns a packet within milliseconds.
const SLOTS: usize = 512;
const SLOT_BITS: u32 = 9;

/// Trips of packets that the backend server may return, found by the token that it returns.
#[derive(Debug, Clone)]
pub(crate) struct Trips {
    slots: Vec<Option<(u32, FlowKey, Trip)>>,
    issued: u32,
}

impl Trips {
    pub(crate) fn new() -> Self {
        Self {
            slots: vec![None; SLOTS],
            issued: 0,
        }
    }

    /// Keeps a trip; the token is never 0.
    pub(crate) fn keep(&mut self, flow: FlowKey, trip: Trip) -> u32 {
        self.issued = self.issued.wrapping_add(1).max(1 << SLOT_BITS);
        let token = self.issued;
        self.slots[token as usize % SLOTS] = Some((token, flow, trip));
        token
    }

    pub(crate) fn take(&mut self, flow: &FlowKey, token: u32) -> Option<Trip> {
        let slot = &mut self.slots[token as usize % SLOTS];
        slot.take_if(|(kept, kept_flow, _)| *kept == token && kept_flow == flow)
            .map(|(_, _, trip)| trip)
    }
}
