use usher_outlier::Standing;
use usher_types::{Span, Time};

use super::view::HostView;
use crate::{FlowKey, HostState, Load};

// Expected gain below which a flow stays in its data centre: the round trip to another one and the
// traffic cost of the answer.
const CROSS_CENTRE_COST: Span = Span::from_millis(8);
// A backend server is slower by this factor until it is warm.
const COLD_FACTOR: f64 = 1.6;
// Share of the processing time that is added for a fully busy host, so that flows spread before
// slots run out.
const SPREAD_SHARE: f64 = 0.25;
// Ties are broken by up to 1 ms, drawn from the hash of flow and host.
const TIE_BREAK_MICROS: u64 = 1_000;

/// Cost of placing a new flow on a host; the lowest is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Cost {
    /// Compared first, so that unfit hosts come last.
    fitness: Fitness,
    total: Span,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fitness {
    /// Ejected, and gets a flow now to find out whether it has recovered.
    Trial,
    Fit,
    /// Cold, and takes only a few requests per second.
    Limited,
    Suspected,
    Ejected,
    NotServing,
}

impl Cost {
    /// Cost of a flow on a host at `now`.
    ///
    /// `latest` is the time of the newest report of any host, `rank` that of the flow's route.
    pub(crate) fn of(now: Time, latest: Time, host: &HostView, flow: &FlowKey, rank: u8) -> Self {
        let fitness = if host.state != HostState::Serving {
            Fitness::NotServing
        } else if host.is_suspected(latest) {
            Fitness::Suspected
        } else if host.is_trial_due(now, rank) {
            Fitness::Trial
        } else if host.standing != Standing::Watched {
            Fitness::Ejected
        } else if host.is_limited(now) {
            Fitness::Limited
        } else {
            Fitness::Fit
        };
        let load = host.shared_load.load();
        let work = if host.warm_at > now {
            load.work().scale(COLD_FACTOR)
        } else {
            load.work()
        };
        let mean = work;
        let load = Load { mean, ..load };
        let busy = f64::from(load.working) / f64::from(host.slots.get().max(1));
        let crossing = if host.same_centre {
            Span::ZERO
        } else {
            CROSS_CENTRE_COST
        };
        let tie = flow.hash(u64::from(u32::from(host.node.address()))) % TIE_BREAK_MICROS;
        let total = load.wait(host.slots)
            + work
            + work.scale(SPREAD_SHARE * busy)
            + crossing
            + Span::from_micros(tie);
        Self { fitness, total }
    }

    /// Whether the host takes new flows and is heard.
    pub(crate) fn is_fit(&self) -> bool {
        self.fitness == Fitness::Fit
    }

    /// Whether the host takes new flows, as far as is known.
    pub(crate) fn serves(&self) -> bool {
        self.fitness != Fitness::NotServing
    }

    /// Whether the host may take a flow that the chosen host, of cost `chosen`, does not take.
    ///
    /// Ejected hosts do if there is no other.
    pub(crate) fn takes_after(&self, chosen: &Self) -> bool {
        match self.fitness {
            Fitness::Trial | Fitness::NotServing => false,
            Fitness::Ejected => chosen.fitness == Fitness::Ejected,
            Fitness::Fit | Fitness::Limited | Fitness::Suspected => true,
        }
    }
}
