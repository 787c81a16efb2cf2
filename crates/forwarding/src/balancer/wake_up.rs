use usher_types::{Span, Time};

use super::flow_search::REPEAT_AFTER;
use super::view::RoutingView;

// A search that began at the first wake-up can end in a reset by then.
const SECOND_WAKE_UP: Span = REPEAT_AFTER;

/// A message to a balancer's traffic thread: flows without a host may now be reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WakeUp {
    /// Flows that are still to be judged.
    pub remaining: u16,
}

impl WakeUp {
    /// Flows judged for one wake-up; each costs about 20 microseconds, and packets wait meanwhile.
    pub const MAX_JUDGED: u16 = 64;

    /// Asks for all flows whose search has found nothing.
    pub const ALL: Self = Self {
        remaining: u16::MAX,
    };
}

/// Decides when the traffic thread is woken: when the hosts settle after a start of all machines, and
/// once more for searches that had just begun then.
///
/// ```
/// use usher_forwarding::{RoutingView, SettleWatch};
/// use usher_types::Time;
/// let mut watch = SettleWatch::default();
/// assert_eq!(watch.observe(Time::ZERO, &RoutingView::default()), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct SettleWatch {
    settled: bool,
    again_at: Option<Time>,
}

impl SettleWatch {
    /// The wake-up to send at `now`, if one is due.
    pub fn observe(&mut self, now: Time, view: &RoutingView) -> Option<WakeUp> {
        let before = std::mem::replace(&mut self.settled, view.is_jointly_settled(now));
        if !self.settled {
            self.again_at = None;
            return None;
        }
        if !before {
            self.again_at = Some(now + SECOND_WAKE_UP);
            return Some(WakeUp::ALL);
        }
        let again = self.again_at.take_if(|again_at| now >= *again_at);
        again.map(|_| WakeUp::ALL)
    }
}
