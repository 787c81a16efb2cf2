//! The balancers that a process knows and sends to, and the active configuration.

use indexmap::IndexSet;
use usher_forwarding::{
    ActiveConfiguration, Configuration, ConfigurationVersion, Fleet, Hello, NodeId, StaleEntries,
};
use usher_types::{Span, Time};

fn node(last: u8) -> NodeId {
    NodeId::new([10, 1, 0, last].into())
}

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn version(text: &str) -> ConfigurationVersion {
    text.parse().unwrap()
}

fn hello(epoch: u64, number: u64) -> Hello {
    Hello {
        epoch,
        version: version(&format!("{number}@{number}")),
        leaving: false,
        complete: true,
        centre: "kolkata".parse().unwrap(),
        capacity: "0.055".parse().unwrap(),
        balancers: Vec::new(),
        agents: Vec::new(),
        ask: true,
        evacuations: None,
    }
}

/// Guards against a balancer that is not found again after a partition.
///
/// Also against sending to silent balancers as often as to the others.
#[test]
fn silent_balancers_are_tried_once_per_second() {
    let mut fleet = Fleet::default();
    fleet.add(at(0), node(1));
    fleet.on_hello(at(0), node(2), &hello(1, 5));
    assert_eq!(fleet.due(at(0)), [node(1), node(2)]);
    assert_eq!(fleet.due(at(100)), [node(2)]);
    assert_eq!(fleet.due(at(1_000)), [node(1), node(2)]);
    assert_eq!(fleet.present(at(1_000)), [node(2)]);
    assert_eq!(fleet.present(at(1_001)), []);
}

/// Guards against a balancer that removes all others while it is cut off itself.
#[test]
fn no_balancer_is_removed_while_none_is_heard() {
    let mut fleet = Fleet::default();
    fleet.on_hello(at(0), node(1), &hello(1, 5));
    fleet.on_hello(at(0), node(2), &hello(1, 5));
    assert_eq!(fleet.expire(at(120_000)), []);
    fleet.on_hello(at(120_000), node(2), &hello(1, 5));
    assert_eq!(fleet.expire(at(120_000)), [node(1)]);
}

/// Guards against an outdated configuration on a balancer that the store refuses to serve.
#[test]
fn a_balancer_with_a_newer_configuration_is_found() {
    let mut fleet = Fleet::default();
    fleet.on_hello(at(0), node(1), &hello(1, 5));
    fleet.on_hello(at(0), node(2), &hello(1, 9));
    let newest_peer = fleet.newest_peer(at(10), version("5@5"));
    assert_eq!(newest_peer, Some((node(2), version("9@9"))));
    assert_eq!(fleet.newest_peer(at(10), version("9@9")), None);
    assert_eq!(
        fleet.newest_peer(at(5_000), version("5@5")),
        None,
        "it is silent"
    );
}

/// Guards against balancers that all fetch the configuration from the same one, and against one that
/// keeps asking a balancer which does not answer.
#[test]
fn sources_of_a_configuration_are_spread_and_replaced() {
    let mut fleet = Fleet::default();
    for last in 1..=8 {
        fleet.on_hello(at(0), node(last), &hello(1, if last == 8 { 5 } else { 9 }));
    }
    let centre = "kolkata".parse().unwrap();
    let source = |fleet: &Fleet, local, avoided| {
        fleet.source(at(10), version("5@5"), node(local), &centre, avoided)
    };
    let chosen: Vec<NodeId> = (100..200)
        .filter_map(|local| source(&fleet, local, None))
        .collect();
    assert_eq!(chosen.len(), 100);
    for last in 1..=7 {
        let share = chosen.iter().filter(|from| **from == node(last)).count();
        assert!(share < 40, "{share} of 100 fetch from one of 7");
    }
    for (local, first) in (100..200).zip(chosen) {
        let next = source(&fleet, local, Some(first)).unwrap();
        assert_ne!(next, first);
        assert_ne!(next, node(8), "it is not ahead");
    }
    let mut single = Fleet::default();
    single.on_hello(at(0), node(1), &hello(1, 9));
    assert_eq!(source(&single, 100, Some(node(1))), Some(node(1)));
}

/// Guards against ignoring a process whose clock stepped back before it started.
///
/// Also against applying late hellos of its predecessor.
#[test]
fn a_process_need_not_start_later_than_its_predecessor() {
    let mut fleet = Fleet::default();
    assert!(fleet.on_hello(at(0), node(1), &hello(100, 5)));
    assert!(!fleet.on_hello(at(1), node(1), &hello(100, 5)));
    assert!(fleet.on_hello(at(2), node(1), &hello(50, 6)));
    assert!(!fleet.on_hello(at(3), node(1), &hello(100, 9)));
    assert_eq!(
        fleet.newest_peer(at(4), version("5@5")),
        Some((node(1), version("6@6")))
    );
}

/// Guards against an older configuration that replaces a newer one, whatever its source: a stale
/// read, a late answer, a balancer that is behind, or the same document twice.
#[test]
fn the_configuration_in_force_never_goes_back() {
    let mut active_configuration = ActiveConfiguration::default();
    let cases = [(5, true), (4, false), (5, false), (9, true), (6, false)];
    for (number, adopted) in cases {
        let version = version(&format!("{number}@{number}"));
        let offered = Configuration {
            version,
            ..Configuration::default()
        };
        assert_eq!(active_configuration.adopt(offered), adopted, "{version}");
    }
    assert_eq!(active_configuration.version(), version("9@9"));
}

fn hello_from(epoch: u64, cores: &str, centre: &str) -> Hello {
    Hello {
        centre: centre.parse().unwrap(),
        capacity: cores.parse().unwrap(),
        ..hello(epoch, 5)
    }
}

/// Guards against reports per agent that grow with the fleet.
///
/// Also against weak balancers that spend their processor time on relaying.
#[test]
fn agents_report_to_all_of_a_small_fleet_and_to_two_of_a_large_one() {
    let centre = "kolkata".parse().unwrap();
    let mut fleet = Fleet::default();
    for last in 1..=8 {
        fleet.on_hello(at(0), node(last), &hello_from(1, "0.028", "howrah"));
    }
    assert_eq!(fleet.relays(at(0), node(99), &centre).len(), 8);
    for last in 9..=12 {
        let cores = if last > 10 { "0.5" } else { "0.028" };
        fleet.on_hello(at(0), node(last), &hello_from(1, cores, "kolkata"));
    }
    let mut chosen = Vec::new();
    for agent in 20..80 {
        let relays = fleet.relays(at(10), node(agent), &centre);
        assert_eq!(relays.len(), 2);
        chosen.extend(relays);
    }
    let strong = [node(11), node(12)];
    let share = chosen.iter().filter(|relay| strong.contains(relay)).count();
    assert!(share > 100, "{share} of 120");
    // When no balancer is heard, the agent tries all of them within a second, each once.
    let mut tried: Vec<NodeId> = Vec::new();
    for round in 0..10 {
        tried.extend(fleet.relays(at(9_000 + 100 * round), node(20), &centre));
    }
    tried.sort();
    assert_eq!(tried, (1..=12).map(node).collect::<Vec<_>>());
}

/// Guards against a weak balancer that drops packets at an even share.
///
/// Also against a data centre with fewer than half of its balancers in rotation.
#[test]
fn weak_balancers_stand_by_while_half_of_the_data_centre_is_stronger() {
    let centre = "kolkata".parse().unwrap();
    let weak = "0.028".parse().unwrap();
    let mut fleet = Fleet::default();
    assert!(
        !fleet.is_standby(at(0), node(1), weak, &centre),
        "it is alone"
    );
    fleet.on_hello(at(0), node(2), &hello_from(1, "0.028", "kolkata"));
    fleet.on_hello(at(0), node(3), &hello_from(1, "0.5", "kolkata"));
    fleet.on_hello(at(0), node(4), &hello_from(1, "0.5", "howrah"));
    // Three are known, so two are needed: the strong one and the first of the weak ones.
    assert!(!fleet.is_standby(at(0), node(1), weak, &centre));
    fleet.on_hello(at(0), node(5), &hello_from(1, "0.5", "kolkata"));
    assert!(fleet.is_standby(at(0), node(1), weak, &centre));
    fleet.on_hello(at(1_500), node(3), &hello_from(1, "0.5", "kolkata"));
    fleet.on_hello(at(1_500), node(2), &hello_from(1, "0.028", "kolkata"));
    assert!(
        !fleet.is_standby(at(1_500), node(1), weak, &centre),
        "a strong one is silent"
    );
    let equal = "0.2".parse().unwrap();
    fleet.on_hello(at(1_500), node(5), &hello_from(1, "0.5", "kolkata"));
    assert!(!fleet.is_standby(at(1_500), node(1), equal, &centre));
}

/// Guards against store entries of balancers that are gone.
///
/// Also against a balancer that is cut off and removes the entries of running ones.
#[test]
fn entries_of_silent_balancers_are_removed_once() {
    let listed = [node(1), node(2), node(3), node(4)];
    let mut first = StaleEntries::default();
    let mut second = StaleEntries::default();
    let mut alone = StaleEntries::default();
    for seconds in [0, 15, 30, 45, 59] {
        let now = at(seconds * 1_000);
        assert_eq!(first.observe(now, node(1), &listed, &[node(2)]), []);
        assert_eq!(second.observe(now, node(2), &listed, &[node(1)]), []);
        assert_eq!(alone.observe(now, node(1), &listed, &[]), []);
    }
    let now = at(60_000);
    assert_eq!(
        first.observe(now, node(1), &listed, &[node(2), node(4)]),
        [node(3)]
    );
    assert_eq!(second.observe(now, node(2), &listed, &[node(1)]), []);
    assert_eq!(alone.observe(now, node(1), &listed, &[]), []);
    // Node 4 was heard in between, so its time starts again.
    assert_eq!(
        first.observe(at(75_000), node(1), &listed, &[node(2)]),
        [node(3)]
    );
}

/// Guards against the removal of running balancers of other data centres.
///
/// Balancers do not hear all of those. Also against entries of balancers that are gone and stay
/// because a data centre has only one balancer.
#[test]
fn balancers_are_watched_in_their_data_centre() {
    let kolkata = "kolkata".parse().unwrap();
    let mut fleet = Fleet::default();
    for last in 1..=6 {
        fleet.on_hello(at(0), node(last), &hello_from(1, "0.5", "howrah"));
    }
    fleet.on_hello(at(0), node(7), &hello_from(1, "0.5", "kolkata"));
    assert!(fleet.watches(node(1), &kolkata), "the fleet is small");
    fleet.add(at(0), node(8));
    assert!(!fleet.watches(node(1), &kolkata));
    assert!(fleet.watches(node(7), &kolkata));
    assert!(
        fleet.watches(node(8), &kolkata),
        "its data centre is not known"
    );
    assert_eq!(fleet.watchers(at(0), &kolkata), [node(7)]);
    fleet.on_hello(at(2_000), node(1), &hello_from(1, "0.5", "howrah"));
    assert_eq!(fleet.watchers(at(2_000), &kolkata), [node(1)]);
}

/// Guards against several balancers that all count as the first one, or none that does because one that
/// has gone comes before it.
///
/// Also against first ones that are all of one data centre, and lost with it.
#[test]
fn heard_balancers_are_ranked() {
    let now = Time::ZERO + Span::from_secs(1);
    let all: Vec<NodeId> = [1, 2, 3]
        .into_iter()
        .flat_map(|centre| (4..8).map(move |last| NodeId::new([10, centre, 0, last].into())))
        .collect();
    let rank = |own: NodeId, at: Time| {
        let mut fleet = Fleet::default();
        for other in all.iter().filter(|other| **other != own) {
            let leaving = *other == all[0];
            fleet.on_hello(
                now,
                *other,
                &Hello {
                    leaving,
                    ..hello(1, 5)
                },
            );
        }
        fleet.add(now, node(99));
        fleet.rank(at, own)
    };
    let mut ranked: Vec<(usize, NodeId)> =
        all[1..].iter().map(|own| (rank(*own, now), *own)).collect();
    ranked.sort_unstable();
    let ranks: Vec<usize> = ranked.iter().map(|(rank, _)| *rank).collect();
    assert_eq!(ranks, (0..all.len() - 1).collect::<Vec<_>>());
    let centres: IndexSet<u8> = ranked[..3]
        .iter()
        .map(|(_, first)| first.address().octets()[1])
        .collect();
    assert!(centres.len() > 1, "{centres:?}");
    let silent = now + Span::from_secs(60);
    assert!(all.iter().all(|own| rank(*own, silent) == 0));
}
