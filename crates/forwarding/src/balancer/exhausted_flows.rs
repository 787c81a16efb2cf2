use std::collections::VecDeque;

use crate::FlowKey;

// Several times the flows that one of 24 balancers searches after a start of all machines; takes 48 KB.
// A flow that finds no room is reset with its caller's next packet.
const MAX_FLOWS: usize = 4_096;

/// Flows whose search has found nothing and whose hosts were not settled then, in that order.
#[derive(Debug, Clone, Default)]
pub(crate) struct ExhaustedFlows {
    flows: VecDeque<FlowKey>,
}

impl ExhaustedFlows {
    /// Adds a flow; `false` if there is no room.
    pub(crate) fn push(&mut self, flow: FlowKey) -> bool {
        let room = self.flows.len() < MAX_FLOWS;
        if room {
            self.flows.push_back(flow);
        }
        room
    }

    pub(crate) fn pop(&mut self) -> Option<FlowKey> {
        self.flows.pop_front()
    }

    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }
}
