//! Properties of routes over random rosters.

mod common;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;

use common::{agent, flow, host, member, roster, table};
use proptest::prelude::{ProptestConfig, Strategy, prop, prop_assert, prop_assert_eq, proptest};
use usher_placement::bucket_of;
use usher_routing::{Forward, HintTable, Router, Table};
use usher_types::{Body, Buckets, FlowId, Packet, Roster, Sequence, Version, Weight};

const FLOWS: u32 = 4_000;
const ADDRESS: &str = "192.0.2.1:80";

fn flows() -> impl Iterator<Item = FlowId> {
    (0..FLOWS).map(|caller| flow(ADDRESS, caller))
}

fn owner(table: &Table, flow: &FlowId) -> SocketAddrV4 {
    table.route(flow).unwrap().agents()[0]
}

fn some_members(least: usize) -> impl Strategy<Value = BTreeSet<usize>> {
    prop::collection::btree_set(0_usize..60, least..=40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against broken flows when balancers see different rosters: only buckets of hosts
    /// that joined or left may move, and their share is that of these hosts.
    #[test]
    fn two_rosters_differ_in_few_buckets(
        members in some_members(4),
        changed in 0_usize..60,
        buckets in prop::sample::select(vec![256_u32, 4_096]),
    ) {
        let mut other = members.clone();
        if !other.remove(&changed) {
            other.insert(changed);
        }
        let one = table(buckets, &[roster(1, members.clone())]);
        let two = table(buckets, &[roster(2, other.clone())]);
        let moved = flows().filter(|flow| owner(&one, flow) != owner(&two, flow));
        let mut count = 0_u32;
        for flow in moved {
            prop_assert!([owner(&one, &flow), owner(&two, &flow)].contains(&agent(changed)));
            count += 1;
        }
        let expected = 1.0 / members.len().max(other.len()) as f64;
        let share = f64::from(count) / f64::from(FLOWS);
        // Five standard deviations of a bucket count with this share.
        let spread = 5.0 * (expected * (1.0 - expected) / f64::from(buckets.min(FLOWS))).sqrt();
        prop_assert!(share <= expected + spread + 0.02, "{share} of {expected}");
    }

    /// Guards against routes that lose an unsuspected owner after two roster changes.
    ///
    /// Also guards against a suspected host that delays new flows while a live candidate is known.
    #[test]
    fn earlier_owners_stay_in_the_route(
        rosters in prop::collection::vec(some_members(1), 3),
        suspected in some_members(0),
        buckets in prop::sample::select(vec![64_u32, 65_536]),
    ) {
        let rosters: Vec<Roster> = (1..=3)
            .rev()
            .zip(rosters)
            .map(|(version, members)| roster(version, members))
            .collect();
        let suspected: Vec<_> = suspected.into_iter().map(host).collect();
        let newest = table(buckets, &rosters).with_suspected(&suspected);
        let earlier = rosters.iter().map(|known| table_of_one(buckets, known)).collect::<Vec<_>>();
        for flow in flows().take(300) {
            let route = newest.route(&flow).unwrap();
            prop_assert!(route.agents().len() <= 6);
            let is_suspected = |agent: &SocketAddrV4| {
                suspected.iter().any(|host| rosters.iter().any(|r| r.members.get(host).is_some_and(|m| m.agent == *agent)))
            };
            // Suspicion is ignored while it covers every member of the newest roster.
            let mut members = rosters[0].members.values();
            let has_live = members.any(|member| !is_suspected(&member.agent));
            for alone in &earlier {
                let owner = owner(alone, &flow);
                let expected = !has_live || !is_suspected(&owner);
                prop_assert_eq!(route.agents().contains(&owner), expected);
            }
        }
    }

    /// Guards against a precomputed table that differs from one ranked per packet.
    #[test]
    fn precomputed_and_ranked_tables_agree(members in some_members(4), start in 0_u32..1_000_000) {
        // 256 buckets are precomputed for 4 members or more, 65,536 are not; both number them from 0.
        let stored = table(256, &[roster(1, members.iter().copied())]);
        let ranked = table(65_536, &[roster(1, members)]);
        let callers = || start..start + 100_000;
        let bucket_number = |buckets, caller| bucket_of(&flow(ADDRESS, caller), Buckets::new(buckets)).get();
        let ranked_flow = callers().find(|caller| bucket_number(65_536, *caller) < 256).unwrap();
        let bucket = bucket_number(65_536, ranked_flow);
        let stored_flow = callers().find(|caller| bucket_number(256, *caller) == bucket).unwrap();
        prop_assert_eq!(
            stored.route(&flow(ADDRESS, stored_flow)),
            ranked.route(&flow(ADDRESS, ranked_flow))
        );
    }

    /// Guards against buckets of other hosts that move when a host becomes suspected.
    #[test]
    fn suspicion_changes_no_ownership(members in some_members(2), suspected in 0_usize..60) {
        let plain = table(256, &[roster(1, members)]);
        let marked = plain.with_suspected(&[host(suspected)]);
        for flow in flows().take(300) {
            let before = owner(&plain, &flow);
            if before != agent(suspected) {
                prop_assert!(owner(&marked, &flow) == before);
            }
        }
    }

    /// Guards against a packet that is sent to a host of another service (P2), whatever the hints say.
    #[test]
    fn a_packet_stays_within_its_service(
        split in 1_usize..20,
        hinted in 0_usize..20,
        caller in 0_u32..1_000,
        second in prop::bool::ANY,
    ) {
        let services = [("192.0.2.1:80", 0..split), ("192.0.2.2:80", split..21)];
        let tables = services.clone().map(|(address, members)| {
            (address.parse().unwrap(), Arc::new(table(64, &[roster(1, members)])))
        });
        let router = Router::new(tables);
        let (address, members) = services[usize::from(second)].clone();
        let packet = Packet { flow: flow(address, caller), sequence: Sequence::new(1), body: Body::Open };
        let mut hints = HintTable::new(10);
        hints.insert(packet.flow, agent(hinted));
        let Forward::Send { to, relay } = router.forward(packet, &mut hints, agent(999)) else {
            panic!("packet dropped");
        };
        let own: Vec<_> = members.map(agent).collect();
        prop_assert!(own.contains(&to) && relay.route.iter().all(|one| own.contains(one)));
    }

    /// Guards against hosts of unequal capacity that get equal load: each host's share of buckets
    /// is its share of weight within five standard deviations and ten samples.
    #[test]
    fn shares_follow_weights(weights in prop::collection::vec(100_u32..4_000, 2..12)) {
        const BUCKETS: u32 = 4_096;
        const SAMPLES: u32 = 20_000;
        let weighted = |(index, weight): (usize, &u32)| {
            let mut listed = member(index);
            listed.weight = Weight::new(*weight);
            (host(index), listed)
        };
        let members = weights.iter().enumerate().map(weighted).collect();
        let weighted = Roster { version: Version::new(1), members, earlier: Vec::new() };
        let table = table_of_one(BUCKETS, &weighted);
        let mut counts: HashMap<SocketAddrV4, f64> = HashMap::new();
        for flow in (0..SAMPLES).map(|caller| flow(ADDRESS, caller)) {
            *counts.entry(owner(&table, &flow)).or_default() += 1.0 / f64::from(SAMPLES);
        }
        let total: u32 = weights.iter().sum();
        for (index, weight) in weights.iter().enumerate() {
            let expected = f64::from(*weight) / f64::from(total);
            let share = counts.get(&agent(index)).copied().unwrap_or_default();
            // The share is sampled by buckets and by flows; small shares have a skewed distribution.
            let samples = 1.0 / (1.0 / f64::from(BUCKETS) + 1.0 / f64::from(SAMPLES));
            let bound = 5.0 * (expected * (1.0 - expected) / samples).sqrt() + 10.0 / samples;
            prop_assert!((share - expected).abs() <= bound, "{share} of {expected}");
        }
    }
}

fn table_of_one(buckets: u32, roster: &Roster) -> Table {
    table(buckets, std::slice::from_ref(roster))
}
