use crate::{Budget, Cause, Decision, ExtraShare, Shortage};

/// An opening packet of a route whose requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    /// Copies that the caller has sent before.
    pub copies: u32,
    /// The last report of the chosen host is late, but the host is not suspected yet.
    pub is_late: bool,
    /// An opening packet of the flow was sent to a second host before.
    pub is_repeated: bool,
}

impl Opening {
    fn cause(&self) -> Option<Cause> {
        if self.is_repeated {
            None
        } else if self.copies > 0 {
            Some(Cause::Copy)
        } else {
            self.is_late.then_some(Cause::LateReport)
        }
    }
}

/// Decides on the extra openings of one balancer.
///
/// ```
/// use usher_hedge::{Cause, Decision, Hedge, Opening};
/// let mut hedge = Hedge::new("0.5".parse()?);
/// let opening = Opening { copies: 0, is_late: false, is_repeated: false };
/// for _ in 0..2 {
///     assert_eq!(hedge.decide(&opening, || Some("h2")), Decision::NotDue);
/// }
/// let copy = Opening { copies: 1, ..opening };
/// let extra = Decision::Repeat { to: "h2", cause: Cause::Copy };
/// assert_eq!(hedge.decide(&copy, || Some("h2")), extra);
/// # Ok::<(), usher_hedge::InvalidShare>(())
/// ```
#[derive(Debug, Clone)]
pub struct Hedge {
    budget: Budget,
}

impl Hedge {
    /// Allows extra openings up to a share of all openings.
    pub const fn new(share: ExtraShare) -> Self {
        Self {
            budget: Budget::new(share),
        }
    }

    /// Decides on an opening packet; `second` finds the best other host with a free slot.
    ///
    /// Only the first packet of a flow counts for the budget, so that copies do not add to it.
    pub fn decide<T>(
        &mut self,
        opening: &Opening,
        second: impl FnOnce() -> Option<T>,
    ) -> Decision<T> {
        if self.budget.is_off() {
            return Decision::NotDue;
        }
        if opening.copies == 0 {
            self.budget.on_opening();
        }
        let Some(cause) = opening.cause() else {
            return Decision::NotDue;
        };
        let Some(to) = second() else {
            let shortage = Shortage::Room;
            return Decision::Withheld { cause, shortage };
        };
        if self.budget.try_take() {
            Decision::Repeat { to, cause }
        } else {
            let shortage = Shortage::Budget;
            Decision::Withheld { cause, shortage }
        }
    }
}
