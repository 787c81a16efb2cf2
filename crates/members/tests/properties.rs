//! Properties of removals under random heartbeat loss and reports.

mod common;

use common::{adopt, agent, at, beat, host, member, roster};
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, proptest};
use usher_members::{Action, Change, Event};
use usher_types::{HostId, Peer};

const MEMBERS: usize = 5;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against a removal of a host that sent a heartbeat recently, of too many hosts at
    /// once, or while the store is down.
    #[test]
    fn removals_are_justified(
        seconds in prop::collection::vec(
            (prop::array::uniform4(prop::bool::weighted(0.3)), any::<bool>(), prop::bool::weighted(0.1)),
            60,
        ),
        version in 1_u64..100,
        dead in 1_usize..MEMBERS,
    ) {
        let mut agent = agent(0);
        agent.handle(at(0), Event::Join(member(0)));
        adopt(&mut agent, at(0), &roster(version, 0..MEMBERS));
        let mut last_beats = [0_u64; MEMBERS];
        let mut store_up = true;
        for (second, (sends, reports, toggle)) in (0_u64..).zip(seconds) {
            if toggle {
                store_up = !store_up;
                agent.handle(at(second), if store_up { Event::StoreUp } else { Event::StoreDown });
            }
            let suspects: Vec<HostId> =
                if reports { (1..MEMBERS).map(host).collect() } else { vec![] };
            let instance = Peer::Instance("b1".parse().unwrap());
            agent.handle(at(second), beat(instance, at(second), suspects));
            for (index, sent) in (1..MEMBERS).zip(sends) {
                if sent && index != dead {
                    last_beats[index] = second;
                    agent.handle(at(second), beat(Peer::Host(host(index)), at(second), vec![]));
                }
            }
            for action in agent.handle(at(second), Event::Tick) {
                let Action::Propose(proposal) = action else { continue };
                prop_assert!(store_up);
                let Change::Remove { hosts } = proposal.change else { panic!("a listed host proposes only removals") };
                prop_assert!(hosts.len() * 2 <= MEMBERS);
                for (removed, _) in hosts {
                    let index = (0..MEMBERS).find(|i| host(*i) == removed).unwrap();
                    // 3 s of silence and 10 s of suspicion, with ticks 1 s apart.
                    prop_assert!(second - last_beats[index] >= 10 + 3 - 1, "{removed} at {second} s");
                }
            }
        }
    }
}
