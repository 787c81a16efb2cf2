//! Counting of outcomes in sliding windows.

use serde::Deserialize;
use usher_burn::{OutcomeWindows, Tally};
use usher_types::{Outcome, Share, Span, Time};

const DAY_SECONDS: u64 = 24 * 3_600;

#[derive(Deserialize)]
struct Row {
    guards: String,
    outcome: Outcome,
    at: u64,
    #[serde(default)]
    in_time: u64,
    #[serde(default)]
    late: u64,
    #[serde(default)]
    refused: u64,
    #[serde(default)]
    unknown: u64,
    #[serde(default)]
    failed: u64,
}

fn at(second: u64) -> Time {
    Time::ZERO + Span::from_secs(second)
}

fn requests(outcome_windows: &OutcomeWindows, second: u64) -> Vec<u64> {
    let windows = outcome_windows.windows(at(second));
    windows.iter().map(|w| w.tally.requests()).collect()
}

/// Guards against the failure that `guards` of each row names.
#[test]
fn outcomes_are_counted_as_reported_to_the_caller() {
    let rows: Vec<Row> = serde_json::from_str(include_str!("data/outcomes.json")).unwrap();
    for row in rows {
        let mut tally = Tally::default();
        tally.count(at(row.at), at(10), &row.outcome);
        let Row {
            in_time,
            late,
            refused,
            unknown,
            failed,
            ..
        } = row;
        let expected = Tally {
            in_time,
            late,
            refused,
            unknown,
            failed,
        };
        assert_eq!(tally, expected, "{}", row.guards);
    }
}

/// Guards against outcomes that never leave a window, or leave it early.
#[test]
fn outcomes_leave_each_window_when_it_has_passed() {
    let mut outcome_windows = OutcomeWindows::new(at(5_000));
    outcome_windows.record(at(5_005), at(5_005), &Outcome::Unknown);
    assert_eq!(requests(&outcome_windows, 5_005), [1, 1, 1]);
    assert_eq!(requests(&outcome_windows, 5_005 + 290), [1, 1, 1]);
    assert_eq!(requests(&outcome_windows, 5_005 + 300), [0, 1, 1]);
    assert_eq!(requests(&outcome_windows, 5_005 + 3_600), [0, 0, 1]);
    assert_eq!(
        requests(&outcome_windows, 5_005 + 29 * DAY_SECONDS),
        [0, 0, 1]
    );
    assert_eq!(
        requests(&outcome_windows, 5_005 + 30 * DAY_SECONDS),
        [0, 0, 0]
    );
}

/// Guards against a reused bucket that still holds counts of its previous time.
#[test]
fn a_reused_bucket_starts_empty() {
    let mut outcome_windows = OutcomeWindows::new(at(0));
    for second in [0, 300, 600] {
        outcome_windows.record(at(second), at(second), &Outcome::Unknown);
        assert_eq!(requests(&outcome_windows, second)[0], 1);
    }
}

/// Guards against a 30-day report that hides that the process started a minute ago.
#[test]
fn a_window_reports_the_time_that_it_covers() {
    let outcome_windows = OutcomeWindows::new(at(100));
    let covered = |second| -> Vec<Span> {
        let windows = outcome_windows.windows(at(second));
        windows.iter().map(|w| w.covered).collect()
    };
    assert_eq!(covered(160), [Span::from_secs(60); 3]);
    assert_eq!(
        covered(100 + DAY_SECONDS)[..2],
        [Span::from_secs(300), Span::from_secs(3_600)]
    );
}

/// Guards against a division by zero, and an overspent budget reported as empty.
#[test]
fn rates_need_requests_and_a_budget() {
    let share = |value| Share::new(value).unwrap();
    let bad = Tally {
        in_time: 90,
        failed: 10,
        ..Tally::default()
    };
    assert_eq!(Tally::default().burn_rate(share(0.99)), None);
    assert_eq!(bad.burn_rate(share(1.0)), None);
    let left = bad.budget_left(share(0.95)).unwrap();
    assert!((left + 1.0).abs() < 1e-9, "{left}");
}
