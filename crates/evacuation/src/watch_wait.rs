use usher_types::Span;

// Longest call for changes; a longer one saves few calls and hides a silent store for longer.
const LONGEST_WAIT: Span = Span::from_secs(30);
// Shortest part of the wait, in 64ths, by which balancers differ.
const LEAST_PART: u64 = 48;
const PARTS: u64 = 64;

/// How long a balancer's call for changes waits.
///
/// A store that was silent when a call arrived never answers it, so a change is noticed only with the
/// next call of any balancer. The fleet of `balancers` therefore begins a call in each half of
/// `bound`, the time within which a request must be in force. `seed` makes the waits of balancers
/// differ, so that their calls do not end together.
///
/// ```
/// use usher_types::Span;
/// let wait = usher_evacuation::watch_wait(Span::from_secs(5), 4, 7);
/// assert!(wait <= Span::from_secs(10));
/// ```
pub fn watch_wait(bound: Span, balancers: usize, seed: u64) -> Span {
    let half = Span::from_micros(bound.as_micros() / 2);
    let fleet = u64::try_from(balancers.max(1)).unwrap_or(u64::MAX);
    let wait = Span::from_micros(half.as_micros().saturating_mul(fleet)).min(LONGEST_WAIT);
    let part = LEAST_PART + seed % (PARTS - LEAST_PART + 1);
    Span::from_micros(wait.as_micros() / PARTS * part)
}
