use usher_admission::{Policy, QueueOrder};
use usher_types::Span;

use crate::subject::{Choice, Kind, Options};

// Places per host of the bounded queue.
const PLACES: usize = 50;

fn system(change: impl FnOnce(&mut Options)) -> Kind {
    let mut options = Options::default();
    change(&mut options);
    Kind::System(options)
}

fn policy(change: impl FnOnce(&mut Policy)) -> Kind {
    system(|options| change(&mut options.policy))
}

/// Names of the rows and what they measure; only names that contain `part`.
pub(super) fn subjects(part: &str) -> Vec<(&'static str, Kind)> {
    let unlimited = |choice| Kind::Baseline(choice, None);
    let mut all = vec![
        ("system", system(|_| {})),
        ("system, measured weights", system(|o| o.weights = true)),
        (
            "system, measured weights, no offers",
            system(|o| {
                o.weights = true;
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
            policy(|p| p.order = QueueOrder::Fifo { length: PLACES }),
        ),
        ("system, no refusal", policy(|p| p.refusal = false)),
        ("system, no priority", policy(|p| p.shedding = false)),
        ("system, horizon 100", policy(|p| p.horizon = 100)),
        ("system, horizon 75", policy(|p| p.horizon = 75)),
        ("system, horizon 25", policy(|p| p.horizon = 25)),
        ("hash only", unlimited(Choice::Hash)),
        ("round robin", unlimited(Choice::RoundRobin)),
        ("least connections", unlimited(Choice::LeastLoaded)),
        ("two choices", unlimited(Choice::TwoChoices)),
        ("hash, fifo 50", Kind::Baseline(Choice::Hash, Some(PLACES))),
        ("oracle", Kind::Oracle),
    ];
    all.retain(|(name, _)| name.contains(part));
    all
}
