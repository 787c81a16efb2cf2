//! Runs of several agents under random faults.

use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::{collection, prop_assert};

use crate::simulation::{Fault, SEC, Simulation};

const HOSTS: usize = 6;
const LENGTH: u64 = 400 * SEC;

fn fault() -> impl Strategy<Value = (u64, usize, Fault)> {
    let kind = prop_oneof![
        3 => (0..100 * SEC).prop_map(Fault::Pause),
        2 => Just(Fault::Crash),
        3 => Just(Fault::Start),
        2 => Just(Fault::Leave),
        2 => Just(Fault::RemoveMember),
        2 => Just(Fault::AddMember),
    ];
    (20 * SEC..LENGTH - 60 * SEC, 0..HOSTS, kind)
}

fn attempts() -> impl Strategy<Value = Vec<(u64, usize)>> {
    let first = 10 * SEC..LENGTH - 50 * SEC;
    let after = prop_oneof![0..3 * SEC, 0..10 * SEC, 0..60 * SEC];
    let rest = collection::vec((after, 0..HOSTS), 0..5);
    (first, 0..HOSTS, rest).prop_map(|(first, host, mut rest)| {
        rest.sort_unstable();
        let later = rest.into_iter().map(|(after, host)| (first + after, host));
        std::iter::once((first, host)).chain(later).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a second run of a non-repeatable request (P5).
    #[test]
    fn a_key_runs_at_most_once(
        seed in any::<u64>(),
        members in 1..HOSTS,
        faults in collection::vec(fault(), 0..14),
        requests in collection::vec(attempts(), 150..200),
    ) {
        let mut simulation = Simulation::new(seed, HOSTS, members, true);
        for (at, host, fault) in faults {
            simulation.fault(at, host, fault);
        }
        for (key, attempts) in requests.iter().enumerate() {
            simulation.request(key as u128 + 1, attempts);
        }
        simulation.run(LENGTH);
        let twice: Vec<_> = simulation.results.runs.iter().filter(|(_, runs)| **runs > 1).collect();
        prop_assert!(twice.is_empty(), "ran more than once: {twice:?}");
    }

    /// Guards against a ledger that prevents second runs by refusing fresh claims.
    #[test]
    fn without_faults_every_fresh_claim_is_granted(
        seed in any::<u64>(),
        members in 1..HOSTS,
        departure in any::<bool>(),
    ) {
        let mut simulation = Simulation::new(seed, HOSTS, members, false);
        // A planned departure and return hands records over, so that no fresh claim is refused.
        if departure && members > 1 {
            simulation.fault(90 * SEC, 0, Fault::Leave);
            simulation.fault(93 * SEC, 0, Fault::Start);
        }
        for key in 0..60 {
            let at = 95 * SEC + key * SEC / 2;
            simulation.request(u128::from(key) + 1, &[(at, key as usize % members)]);
        }
        simulation.run(LENGTH);
        prop_assert!(simulation.results.permits.len() == 60, "{:?}", simulation.results);
        prop_assert!(simulation.results.runs.len() == 60);
    }
}
