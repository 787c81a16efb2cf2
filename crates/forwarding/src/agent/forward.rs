use usher_types::Span;

use super::decision::{ForwardReason, Inbound, Release, Step};
use crate::trip::Best;
use crate::{FlowKey, Head, Trip};

/// Forwards an opening packet to the next candidate.
///
/// After the last candidate it goes to the agent with the shortest wait seen, or is refused if that
/// wait exceeds `max_wait`.
pub(crate) fn route_opening(
    flow: FlowKey,
    trip: &Trip,
    own: Option<Best>,
    max_wait: Span,
    reason: ForwardReason,
) -> Inbound {
    let tell = None;
    let best = [trip.best, own]
        .into_iter()
        .flatten()
        .min_by_key(|best| best.wait);
    if let Some((to, next)) = trip.next().filter(|_| !trip.last) {
        let trip = Trip { best, ..next };
        let step = Step::Forward { to, trip, reason };
        return Inbound { step, tell };
    }
    let step = match best.filter(|best| !trip.last && best.wait <= max_wait) {
        Some(best) => Step::Forward {
            to: best.node,
            trip: Trip {
                best: None,
                last: true,
                ..*trip
            },
            reason,
        },
        None => Step::Refuse {
            flow,
            received: 0,
            wait: best.map(|best| best.wait),
        },
    };
    Inbound { step, tell }
}

/// Forwards a packet of an established flow to the next candidate.
pub(crate) fn route_established(head: &Head, trip: &Trip, reason: ForwardReason) -> Inbound {
    let step = match trip.next() {
        Some((to, trip)) => Step::Forward { to, trip, reason },
        None => Step::Missing {
            flow: head.inbound(),
            origin: trip.origin,
            received: head.acknowledged,
        },
    };
    Inbound { step, tell: None }
}

/// Refuses a queued flow.
pub(crate) fn refuse_queued(flow: FlowKey) -> Release {
    let step = Step::Refuse {
        flow,
        received: 0,
        wait: None,
    };
    Release {
        flow,
        inbound: Inbound { step, tell: None },
    }
}
