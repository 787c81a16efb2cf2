use usher_types::Span;

use super::decision::{Inbound, Passed, Release, Step};
use crate::trip::Best;
use crate::{FlowKey, Head, Trip};

/// Passes an opening packet on; at the end of the trip it goes to the shortest queue seen, unless its
/// wait exceeds the limit.
pub(crate) fn hunt(
    flow: FlowKey,
    trip: &Trip,
    own: Option<Best>,
    limit: Span,
    reason: Passed,
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
    let step = match best.filter(|best| !trip.last && best.wait <= limit) {
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

/// Passes a packet of an existing flow to the next agent that may hold it.
pub(crate) fn pass(head: &Head, trip: &Trip, reason: Passed) -> Inbound {
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

/// Refuses a flow that has waited.
pub(crate) fn refuse(flow: FlowKey) -> Release {
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
