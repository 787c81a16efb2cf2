//! Hosts that a balancer takes over from another one when it starts.

use usher_forwarding::{
    FleetStart, HostDirectory, HostPage, HostState, KnownHost, Load, NodeId, Report, ServiceKey,
};
use usher_outlier::OutcomeCounts;
use usher_types::{DataCentre, Sequence, Slots, Span, Time};

fn node(last: u8) -> NodeId {
    NodeId::new([10, 1, 0, last].into())
}

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn centre() -> DataCentre {
    "kolkata".parse().unwrap()
}

fn report(sequence: u32, state: HostState) -> Report {
    Report {
        epoch: 1,
        sequence: Sequence::new(sequence),
        centre: centre(),
        service: ServiceKey::of("namedesk"),
        state,
        born: 100,
        slots: Slots::new(4),
        warmup: Span::from_secs(2),
        load: Load::default(),
        outcomes: OutcomeCounts::default(),
        relayed: false,
        complete: false,
        uptime: Span::ZERO,
    }
}

// A balancer that knows the hosts 1 to 50.
fn running() -> HostDirectory {
    let mut directory = HostDirectory::new(centre(), Time::ZERO);
    for last in 1..=50 {
        directory.on_direct_report(at(0), node(last), &report(1, HostState::Serving));
    }
    directory
}

// Takes over all pages; `between` changes the source after each page.
fn take_all(
    from: &mut HostDirectory,
    to: &mut HostDirectory,
    mut between: impl FnMut(&mut HostDirectory),
) {
    let mut after = NodeId::NONE;
    loop {
        let page = from.host_page(at(1_000), after, 16);
        to.merge_hosts(at(1_000), &page);
        match page.hosts.last().filter(|_| page.more) {
            Some(last) => after = last.agent,
            None => return,
        }
        between(from);
    }
}

/// Guards against a host that is left out because the list changes between two pages.
#[test]
fn a_host_that_leaves_between_pages_hides_no_other() {
    let mut from = running();
    let mut to = HostDirectory::new(centre(), at(1_000));
    let mut joined = 100;
    take_all(&mut from, &mut to, |from| {
        // The first hosts leave and expire while others join.
        let gone = [node(joined - 99), node(joined - 98)];
        for agent in gone {
            from.on_direct_report(at(0), agent, &report(9, HostState::Ended));
        }
        from.on_direct_report(at(11_000), node(joined), &report(1, HostState::Serving));
        from.expire(at(11_000));
        joined += 1;
    });
    let taken: Vec<NodeId> = to.agents().collect();
    for last in 7..=50 {
        assert!(taken.contains(&node(last)), "{last} of {}", taken.len());
    }
}

/// Guards against a late report of another balancer that replaces one from the agent itself.
#[test]
fn a_later_report_is_kept() {
    let mut to = HostDirectory::new(centre(), at(1_000));
    to.on_direct_report(at(1_000), node(1), &report(7, HostState::Draining));
    let added = to.merge_hosts(
        at(1_000),
        &running().host_page(at(1_000), NodeId::NONE, 100),
    );
    assert_eq!(added, 49);
    let (state, age) = to.state(at(1_000), node(1)).unwrap();
    assert_eq!((state, age), (HostState::Draining, Span::ZERO));
}

/// Guards against a host that was silent for long and counts as heard after it is taken over.
#[test]
fn a_host_that_is_taken_over_keeps_the_age_of_its_report() {
    let mut to = HostDirectory::new(centre(), at(1_000));
    to.merge_hosts(
        at(1_000),
        &running().host_page(at(9_000), NodeId::NONE, 100),
    );
    let (_, age) = to.state(at(9_000), node(1)).unwrap();
    assert!(age >= Span::from_millis(8_000), "{age}");
}

/// Guards against a report that is older than the one taken over and replaces it.
#[test]
fn a_late_report_does_not_replace_a_host_that_was_taken_over() {
    let mut from = running();
    from.on_direct_report(at(500), node(1), &report(5, HostState::Draining));
    let mut to = HostDirectory::new(centre(), at(1_000));
    take_all(&mut from, &mut to, |_| {});
    to.on_direct_report(at(1_100), node(1), &report(4, HostState::Serving));
    assert_eq!(to.state(at(1_100), node(1)).unwrap().0, HostState::Draining);
}

/// Guards against an old report, relayed by a third balancer, that outlives a later one.
#[test]
fn a_later_report_of_another_balancer_is_merged() {
    let mut from = running();
    from.on_direct_report(at(900), node(1), &report(9, HostState::Draining));
    let mut to = HostDirectory::new(centre(), at(1_000));
    to.on_relayed_report(at(1_000), node(1), &report(2, HostState::Serving), None);
    to.merge_hosts(at(1_000), &from.host_page(at(1_000), NodeId::NONE, 100));
    let (state, age) = to.state(at(1_000), node(1)).unwrap();
    assert_eq!((state, age), (HostState::Draining, Span::from_millis(100)));
}

/// Guards against flows for the host of an ended backend server, and against its late reports.
#[test]
fn ended_hosts_are_merged() {
    let mut from = running();
    from.on_direct_report(at(900), node(1), &report(9, HostState::Ended));
    let mut to = HostDirectory::new(centre(), at(1_000));
    to.merge_hosts(at(1_000), &from.host_page(at(1_000), NodeId::NONE, 100));
    to.on_direct_report(at(1_100), node(1), &report(8, HostState::Serving));
    assert_eq!(to.state(at(1_100), node(1)).unwrap().0, HostState::Ended);
}

/// Guards against an agent that has run for long and is taken for one that has just started, because the
/// report that is taken over is old or a later report was delayed.
#[test]
fn a_host_that_is_taken_over_shows_how_long_its_agent_has_run() {
    let start = |age: u64, uptime: u64, delayed: u64| {
        let mut to =
            HostDirectory::new(centre(), at(60_000)).expecting("kolkata:bengal".parse().unwrap());
        let report = |sequence, uptime| Report {
            complete: true,
            uptime: Span::from_millis(uptime),
            ..report(sequence, HostState::Serving)
        };
        let known = KnownHost {
            agent: node(1),
            report: report(1, uptime),
            age: Span::from_millis(age),
        };
        let page = HostPage {
            hosts: vec![known],
            more: false,
        };
        to.merge_hosts(at(61_000), &page);
        to.on_direct_report(
            at(61_100 + delayed),
            node(1),
            &report(2, uptime + age + 100),
        );
        to.fleet_start()
    };
    assert_eq!(start(0, 3_000, 0), FleetStart::Together);
    assert_eq!(start(100, 5_800, 0), FleetStart::Together);
    assert_eq!(start(4_000, 3_000, 0), FleetStart::Unknown);
    assert_eq!(start(0, 7_000, 0), FleetStart::Unknown);
    assert_eq!(start(0, 7_000, 5_000), FleetStart::Unknown);
}

/// Guards against a machine that had run for long when the balancer started, and is forgotten when its agent
/// starts again: others of which nothing is heard may run on too.
#[test]
fn a_restarted_agent_is_still_known_to_have_run_before() {
    let mut directory =
        HostDirectory::new(centre(), at(60_000)).expecting("kolkata:bengal".parse().unwrap());
    let report = |epoch, uptime| Report {
        epoch,
        complete: true,
        uptime: Span::from_millis(uptime),
        ..report(1, HostState::Serving)
    };
    assert!(directory.on_direct_report(at(60_100), node(1), &report(1, 50_000)));
    assert_eq!(directory.fleet_start(), FleetStart::Unknown);
    directory.on_direct_report(at(62_000), node(1), &report(2, 300));
    assert_eq!(directory.fleet_start(), FleetStart::Unknown);
}

/// Guards against an agent that is ignored after its restart: a page of the hosts that is older than its
/// first report names its earlier process.
#[test]
fn an_older_page_hides_no_new_process() {
    let mut from = running();
    let mut to = HostDirectory::new(centre(), at(900));
    let started = |sequence, state| Report {
        epoch: 2,
        ..report(sequence, state)
    };
    to.on_direct_report(at(1_000), node(1), &started(1, HostState::Serving));
    take_all(&mut from, &mut to, |_| {});
    to.on_direct_report(at(1_100), node(1), &started(2, HostState::Draining));
    let state = |directory: &HostDirectory| directory.state(at(1_100), node(1)).unwrap().0;
    assert_eq!(state(&to), HostState::Draining);
    // A page that is newer than the own record names the later process.
    let mut third = HostDirectory::new(centre(), at(900));
    third.on_direct_report(at(950), node(1), &report(5, HostState::Serving));
    take_all(&mut to, &mut third, |_| {});
    assert_eq!(state(&third), HostState::Draining);
}
