use usher_admission::{Policy, QueueOrder};
use usher_types::Span;

use crate::subject::{Balancing, Options, SubjectKind};

// Length of the bounded queue of each host.
const QUEUE_SIZE: usize = 50;

// The system with some options changed.
fn system(change: impl FnOnce(&mut Options)) -> SubjectKind {
    let mut options = Options::default();
    change(&mut options);
    SubjectKind::System(options)
}

// The system with some parts of the scheduling policy changed.
fn policy(change: impl FnOnce(&mut Policy)) -> SubjectKind {
    system(|options| change(&mut options.policy))
}

/// Subjects with the names of their rows; only those whose name contains `filter`.
pub(super) fn subjects(filter: &str) -> Vec<(&'static str, SubjectKind)> {
    let unlimited = |balancing| SubjectKind::Baseline(balancing, None);
    let mut all = vec![
        ("system", system(|_| {})),
        (
            "system, measured weights",
            system(|o| o.measured_weights = true),
        ),
        (
            "system, measured weights, no offers",
            system(|o| {
                o.measured_weights = true;
                o.policy.offers = false;
            }),
        ),
        ("system, no hunting", system(|o| o.hunt = None)),
        (
            "system, hunt 1 ms",
            system(|o| o.hunt = Some(Span::from_millis(1))),
        ),
        (
            "system, hunt 2 ms",
            system(|o| o.hunt = Some(Span::from_millis(2))),
        ),
        ("system, no offers", policy(|p| p.offers = false)),
        ("system, no reservation", policy(|p| p.reservation = false)),
        ("system, no classes", policy(|p| p.classes = false)),
        (
            "system, fifo 50",
            policy(|p| p.order = QueueOrder::Fifo { length: QUEUE_SIZE }),
        ),
        ("system, no refusal", policy(|p| p.refusal = false)),
        ("system, no priority", policy(|p| p.shedding = false)),
        ("system, horizon 100", policy(|p| p.horizon = 100)),
        ("system, horizon 75", policy(|p| p.horizon = 75)),
        ("system, horizon 25", policy(|p| p.horizon = 25)),
        ("hash only", unlimited(Balancing::Hash)),
        ("round robin", unlimited(Balancing::RoundRobin)),
        ("least connections", unlimited(Balancing::LeastLoaded)),
        ("two choices", unlimited(Balancing::TwoChoices)),
        (
            "hash, fifo 50",
            SubjectKind::Baseline(Balancing::Hash, Some(QUEUE_SIZE)),
        ),
        ("oracle", SubjectKind::Oracle),
    ];
    all.retain(|(name, _)| name.contains(filter));
    all
}
