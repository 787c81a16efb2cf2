use usher_types::Span;

use super::decision::{ForwardReason, Inbound, InboundAction, Refusal, Release};
use crate::forward_header::ShortestQueue;
use crate::{FlowKey, ForwardHeader, NodeId};

/// Forwards an opening packet to the next candidate.
///
/// After the last candidate it goes to the agent with the shortest wait seen, or is refused if that
/// wait exceeds `max_wait`.
pub(crate) fn route_opening(
    flow: FlowKey,
    forward_header: &ForwardHeader,
    own: Option<ShortestQueue>,
    max_wait: Span,
    reason: ForwardReason,
) -> Inbound {
    let shortest = [forward_header.shortest, own]
        .into_iter()
        .flatten()
        .min_by_key(|shortest| shortest.wait);
    if let Some((to, next)) = forward_header.next().filter(|_| !forward_header.is_final) {
        let forward_header = ForwardHeader { shortest, ..next };
        let action = InboundAction::Forward {
            to,
            forward_header,
            reason,
        };
        return Inbound::of(action);
    }
    let action =
        match shortest.filter(|shortest| !forward_header.is_final && shortest.wait <= max_wait) {
            Some(shortest) => InboundAction::Forward {
                to: shortest.node,
                forward_header: ForwardHeader {
                    shortest: None,
                    is_final: true,
                    ..*forward_header
                },
                reason,
            },
            None => InboundAction::Refuse {
                flow,
                received: 0,
                wait: shortest.map(|shortest| shortest.wait),
                refusal: None,
            },
        };
    Inbound::of(action)
}

/// Passes on a packet that was to be queued at the agent `node`, which takes none now.
///
/// It visits the other candidates again: each of them was busy, but may take or queue it now.
pub(crate) fn restart_opening(
    flow: FlowKey,
    forward_header: &ForwardHeader,
    node: NodeId,
    reason: ForwardReason,
) -> Inbound {
    match forward_header.restart_after(node) {
        Some((to, forward_header)) => Inbound::of(InboundAction::Forward {
            to,
            forward_header,
            reason,
        }),
        None => Inbound::of(InboundAction::Refuse {
            flow,
            received: 0,
            wait: None,
            refusal: None,
        }),
    }
}

/// Forwards a packet of an established flow to the next candidate.
pub(crate) fn route_established(forward_header: &ForwardHeader, reason: ForwardReason) -> Inbound {
    let action = match forward_header.next() {
        Some((to, forward_header)) => InboundAction::Forward {
            to,
            forward_header,
            reason,
        },
        None => InboundAction::Missing {
            origin: forward_header.origin,
            visited: forward_header.candidates,
        },
    };
    Inbound::of(action)
}

/// Refuses a queued flow.
pub(crate) fn refuse_queued(flow: FlowKey, refusal: Refusal) -> Release {
    let action = InboundAction::Refuse {
        flow,
        received: 0,
        wait: None,
        refusal: Some(refusal),
    };
    Release {
        flow,
        inbound: Inbound::of(action),
    }
}
