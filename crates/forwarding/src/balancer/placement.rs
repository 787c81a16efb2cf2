use usher_types::{Span, Time};

use super::view::HostView;
use crate::{FlowKey, HostState, Load};

// Expected gain below which a flow stays in its data centre: the crossing there and back, and the
// price of the answer's bytes.
const CROSSING: Span = Span::from_millis(8);
// A backend server is this much slower until it is warm.
const COLD: f64 = 1.6;
// Share of the work that a fully busy host adds, so that flows spread before slots run out.
const SPREAD: f64 = 0.25;
// Ties are broken by the flow's hash within this time.
const TIE: u64 = 1_000;

/// How well a host would serve a new flow; the lowest is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Cost {
    /// Hosts that cannot take a flow come last.
    unfit: Unfit,
    total: Span,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Unfit {
    Fit,
    Suspected,
    NotServing,
}

impl Cost {
    /// Cost at `now`; `latest` is the time of the latest report of any host, so that a balancer
    /// that hears nobody suspects nobody.
    pub(crate) fn of(now: Time, latest: Time, host: &HostView, flow: &FlowKey) -> Self {
        let unfit = if host.state != HostState::Serving {
            Unfit::NotServing
        } else if latest - host.cell.heard() > host.pace.suspect() {
            Unfit::Suspected
        } else {
            Unfit::Fit
        };
        let load = host.cell.load();
        let work = if host.warm_at > now {
            load.work().scale(COLD)
        } else {
            load.work()
        };
        let mean = work;
        let load = Load { mean, ..load };
        let busy = f64::from(load.working) / f64::from(host.slots.get().max(1));
        let crossing = if host.near { Span::ZERO } else { CROSSING };
        let tie = flow.hash(u64::from(u32::from(host.node.address()))) % TIE;
        let total = load.wait(host.slots)
            + work
            + work.scale(SPREAD * busy)
            + crossing
            + Span::from_micros(tie);
        Self { unfit, total }
    }

    pub(crate) fn is_fit(&self) -> bool {
        self.unfit == Unfit::Fit
    }

    pub(crate) fn serves(&self) -> bool {
        self.unfit != Unfit::NotServing
    }
}
