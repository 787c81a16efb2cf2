//! The budget that limits retries to a share of successes.

use usher_types::{RetryBudget, Share};

/// Guards against retries that multiply calls under failure, or accumulate to a burst.
#[test]
fn retries_stay_within_a_share_of_successes() {
    let share = Share::new(0.1).unwrap();
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_success(share);
        while budget.try_retry() {
            retries += 1;
        }
    }
    assert!((109..=110).contains(&retries), "{retries}");
    for _ in 0..1_000_000 {
        budget.on_success(share);
    }
    assert_eq!(budget.left(), 10);
}
