use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};

use usher_types::{Span, Time};

use crate::Load;

/// Load of a host, written by the control thread and read by the traffic thread.
///
/// The values need not be of one moment, so relaxed order is enough.
#[derive(Debug, Default)]
pub(crate) struct LoadCell {
    heard: AtomicU64,
    working: AtomicU16,
    mean: AtomicU64,
    placed: AtomicU16,
}

impl LoadCell {
    /// Takes a report; flows placed before it are part of it.
    pub(crate) fn report(&self, now: Time, load: Load) {
        self.working.store(load.working, Ordering::Relaxed);
        self.mean.store(load.mean.as_micros(), Ordering::Relaxed);
        self.placed.store(0, Ordering::Relaxed);
        self.heard.store(now.as_micros(), Ordering::Relaxed);
    }

    /// A flow was sent to the host.
    pub(crate) fn place(&self) {
        self.placed.fetch_add(1, Ordering::Relaxed);
    }

    /// Load with the flows that were placed since the last report.
    pub(crate) fn load(&self) -> Load {
        let placed = self.placed.load(Ordering::Relaxed);
        Load {
            working: self.working.load(Ordering::Relaxed).saturating_add(placed),
            mean: Span::from_micros(self.mean.load(Ordering::Relaxed)),
        }
    }

    /// Time of the last report.
    pub(crate) fn heard(&self) -> Time {
        Time::from_micros(self.heard.load(Ordering::Relaxed))
    }
}
