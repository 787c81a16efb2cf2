//! Properties that hold for all interleavings of callers, key owner, backend server and peers.

use proptest::prelude::*;
use usher_admission::{Policy, QueueOrder};

use crate::world::{self, Step, World};

fn step() -> impl Strategy<Value = Step> {
    let which = any::<usize>;
    let method = 0..world::METHODS.len();
    let arrival = (
        method.clone(),
        1_u64..600,
        0_u8..4,
        any::<bool>(),
        any::<bool>(),
    );
    prop_oneof![
        6 => (0_u64..60).prop_map(Step::Pass),
        8 => arrival.prop_map(|(method, left, priority, retry, ran)| Step::Arrive {
            method, left, priority, retry, ran: retry && ran
        }),
        1 => which().prop_map(Step::Repeat),
        2 => (which(), 1_u64..600).prop_map(|(which, left)| Step::NewAttempt { which, left }),
        5 => (which(), 0_u8..8).prop_map(|(which, kind)| Step::Verdict { which, kind }),
        6 => (which(), 0_u8..8).prop_map(|(which, kind)| Step::Run { which, kind }),
        1 => which().prop_map(Step::Cancel),
        2 => (method, 1_u64..600).prop_map(|(method, left)| Step::Offered { method, left }),
        1 => which().prop_map(Step::OfferedAgain),
        3 => (which(), any::<bool>(), any::<bool>())
            .prop_map(|(which, taken, lost)| Step::Reply { which, taken, lost }),
        3 => (which(), 0_u8..3).prop_map(|(which, kind)| Step::Outcome { which, kind }),
        2 => which().prop_map(Step::OutcomeAck),
        1 => (0_u64..80, 0_u64..80).prop_map(|(a, b)| Step::Peers(a, b)),
        1 => (1_u16..=world::SLOTS).prop_map(Step::Slots),
    ]
}

fn policy() -> impl Strategy<Value = Policy> {
    let order = prop_oneof![
        3 => Just(QueueOrder::Deadline),
        1 => (1_usize..6).prop_map(|length| QueueOrder::Fifo { length }),
    ];
    let enabled = || prop::bool::weighted(0.8);
    let horizon = prop_oneof![Just(50), 1..=100_u8];
    (order, enabled(), enabled(), enabled(), enabled(), horizon).prop_map(
        |(order, refusal, shedding, offers, classes, horizon)| Policy {
            horizon,
            order,
            classes,
            reservation: true,
            refusal,
            shedding,
            offers,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against violations of the scheduler's invariants, which `World` checks.
    ///
    /// These are: a false "not run", a second run of a once request, a lost or second outcome,
    /// more runs than slots, long requests in the last slot, and a drain that admits requests or
    /// does not end.
    #[test]
    fn invariants_hold(
        policy in policy(),
        before in prop::collection::vec(step(), 1..120),
        during in prop::collection::vec(step(), 0..40),
    ) {
        let mut world = World::new(policy);
        for step in before {
            world.apply(step);
        }
        world.drain();
        for step in during {
            world.apply(step);
        }
        world.settle();
    }
}
