use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};

use usher_types::{Span, Time};

use crate::Load;

/// Load of a host, shared between the control thread and the traffic thread.
///
/// The control thread stores reports and the traffic thread counts placed flows. The values may
/// stem from different reports, so relaxed ordering is enough.
#[derive(Debug, Default)]
pub(crate) struct SharedLoad {
    reported_at: AtomicU64,
    working: AtomicU16,
    mean: AtomicU64,
    placed: AtomicU16,
    tried_at: AtomicU64,
}

impl SharedLoad {
    /// Stores a report, which includes the flows placed before it.
    pub(crate) fn report(&self, now: Time, load: Load) {
        self.working.store(load.working, Ordering::Relaxed);
        self.mean.store(load.mean.as_micros(), Ordering::Relaxed);
        self.placed.store(0, Ordering::Relaxed);
        self.reported_at.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Counts a flow that was sent to the host after the last report.
    pub(crate) fn count_placed(&self) {
        self.placed.fetch_add(1, Ordering::Relaxed);
    }

    /// Last reported load plus the flows placed since then.
    pub(crate) fn load(&self) -> Load {
        let placed = self.placed.load(Ordering::Relaxed);
        Load {
            working: self.working.load(Ordering::Relaxed).saturating_add(placed),
            mean: Span::from_micros(self.mean.load(Ordering::Relaxed)),
        }
    }

    /// Records that the host on trial got a flow.
    pub(crate) fn record_trial(&self, now: Time) {
        self.tried_at.store(now.as_micros(), Ordering::Relaxed);
    }

    /// When the host on trial got its last flow from here.
    pub(crate) fn tried_at(&self) -> Time {
        Time::from_micros(self.tried_at.load(Ordering::Relaxed))
    }

    /// Time of the last report.
    pub(crate) fn reported_at(&self) -> Time {
        Time::from_micros(self.reported_at.load(Ordering::Relaxed))
    }
}
