//! Searches for the host of a flow, one failure per test.

use std::collections::BTreeSet;
use std::sync::Arc;

use assert_matches::assert_matches;
use usher_forwarding::{
    BalancerForwarder, Candidates, Configuration, Flags, ForwardHeader, HostDirectory, HostState,
    Load, NodeId, PacketHeader, RejectReason, Report, Route, RoutingView, ServiceKey, Verdict,
};
use usher_types::{Sequence, Slots, Span, Time, Version};

const ADDRESS: &str = "198.18.0.1:443";
const SERVICE: &str = "namedesk";

fn node(last: u8) -> NodeId {
    NodeId::new([10, 1, 0, last].into())
}

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn report(sequence: u32) -> Report {
    Report {
        epoch: 1,
        sequence: Sequence::new(sequence),
        centre: "kolkata".parse().unwrap(),
        service: ServiceKey::of(SERVICE),
        state: HostState::Serving,
        born: 100,
        slots: Slots::new(4),
        warmup: Span::ZERO,
        load: Load::default(),
        relayed: false,
    }
}

fn configuration() -> Arc<Configuration> {
    let route = Route {
        name: "r-1".to_owned(),
        services: vec![(ServiceKey::of(SERVICE), 100)],
        timeout: Span::from_millis(800),
        target: Span::from_millis(120),
        rank: 2,
    };
    Arc::new(Configuration {
        version: Version::new(1),
        routes: [(ADDRESS.parse().unwrap(), route)].into_iter().collect(),
        ..Configuration::default()
    })
}

fn packet() -> PacketHeader {
    PacketHeader {
        source: "100.64.0.7:1".parse().unwrap(),
        target: ADDRESS.parse().unwrap(),
        flags: Flags {
            acknowledging: true,
            ..Flags::default()
        },
        sequence: 1,
        acknowledged: 7,
        data: 0,
        token: 0,
    }
}

// A balancer that does not know the flow, and the agents that its packets have visited.
struct Fixture {
    directory: HostDirectory,
    forwarder: BalancerForwarder,
    view: RoutingView,
    visited: BTreeSet<NodeId>,
}

impl Fixture {
    fn new(hosts: std::ops::Range<u8>) -> Self {
        let directory = HostDirectory::new("kolkata".parse().unwrap(), Time::ZERO);
        let mut fixture = Self {
            view: directory.view(configuration(), &RoutingView::default()),
            directory,
            forwarder: BalancerForwarder::new(node(0)),
            visited: BTreeSet::new(),
        };
        fixture.report(0, 1, hosts);
        fixture
    }

    fn report(&mut self, millis: u64, sequence: u32, hosts: std::ops::Range<u8>) {
        for last in hosts {
            let report = report(sequence);
            self.directory
                .on_direct_report(at(millis), node(last), &report);
        }
        self.view = self.directory.view(configuration(), &self.view);
    }

    // Sends a burst of packets, which visit up to `visits` lists of agents; all return them.
    fn send(&mut self, millis: u64, packets: usize, visits: usize) -> Vec<Verdict> {
        let mut verdicts: Vec<Verdict> = (0..packets)
            .map(|_| self.forwarder.on_packet(at(millis), &packet(), &self.view))
            .collect();
        for _visit in 0..visits {
            for verdict in &mut verdicts {
                if let Verdict::Send { forward_header, .. } = *verdict {
                    *verdict = self.give_back(millis, &forward_header);
                }
            }
        }
        verdicts
    }

    fn give_back(&mut self, millis: u64, forward_header: &ForwardHeader) -> Verdict {
        let candidates: &Candidates = &forward_header.candidates;
        self.visited.extend(candidates.as_slice());
        self.forwarder
            .on_returned(at(millis), &packet(), candidates, &self.view)
    }
}

/// Guards against a search that waits for the caller to repeat its packet.
#[test]
fn a_packet_visits_all_agents_without_a_retransmission() {
    let mut fixture = Fixture::new(1..51);
    fixture.send(100, 1, 4);
    assert_eq!(fixture.visited.len(), 50);
}

/// Guards against a search that passes over agents when several packets of a flow are returned.
#[test]
fn a_burst_of_packets_skips_no_agent_of_a_search() {
    let mut fixture = Fixture::new(1..51);
    for millis in [100, 300, 700, 1_500] {
        fixture.send(millis, 2, 1);
    }
    assert_eq!(fixture.visited.len(), 50);
}

/// Guards against a search that passes over an agent that joins the view after its first packet.
#[test]
fn an_agent_that_joins_during_a_search_is_visited() {
    let mut fixture = Fixture::new(1..20);
    fixture.send(100, 1, 1);
    fixture.report(200, 1, 20..51);
    for millis in [300, 700, 1_500] {
        fixture.send(millis, 1, 1);
    }
    assert_eq!(fixture.visited.len(), 50);
}

/// Guards against a search that ends for good before the host of the flow has joined the view.
#[test]
fn an_agent_that_joins_after_a_search_is_visited_by_the_next_packet() {
    let mut fixture = Fixture::new(1..11);
    let verdicts = fixture.send(100, 1, 1);
    assert_eq!(verdicts, [Verdict::Drop(RejectReason::Unsettled)]);
    fixture.report(200, 1, 11..13);
    fixture.send(300, 1, 1);
    assert_eq!(fixture.visited.len(), 12);
}

/// Guards against packets of a lost flow that visit all agents again and again.
#[test]
fn a_search_without_result_is_repeated_after_a_pause() {
    let mut fixture = Fixture::new(1..11);
    fixture.send(100, 1, 1);
    fixture.visited.clear();
    fixture.send(300, 1, 1);
    assert!(fixture.visited.is_empty());
    fixture.send(1_200, 1, 1);
    assert_eq!(fixture.visited.len(), 10);
}

/// Guards against the reset of a flow whose host a search visits late.
#[test]
fn a_search_visits_all_hosts_of_a_large_service_before_a_reset() {
    let mut fixture = Fixture::new(1..41);
    fixture.report(6_000, 2, 1..41);
    for _packet in 0..3 {
        let verdicts = fixture.send(6_000, 1, 1);
        let reset = matches!(verdicts[0], Verdict::Reset { .. });
        assert_eq!(reset, fixture.visited.len() == 40, "{verdicts:?}");
    }
    assert_eq!(fixture.visited.len(), 40);
}

/// Guards against a reset by one packet of a burst before the others have visited all agents.
#[test]
fn a_burst_of_packets_resets_no_flow_before_all_agents_are_visited() {
    let mut fixture = Fixture::new(1..41);
    fixture.report(6_000, 2, 1..41);
    for millis in [6_000, 6_010, 6_020] {
        let verdicts = fixture.send(millis, 2, 1);
        let reset = |verdict: &Verdict| matches!(verdict, Verdict::Reset { .. });
        assert_eq!(
            verdicts.iter().any(reset),
            fixture.visited.len() == 40,
            "{verdicts:?}"
        );
    }
}

/// Guards against a packet that is returned late and ends the search that has found the host.
#[test]
fn a_packet_returned_after_the_host_was_found_changes_nothing() {
    let mut fixture = Fixture::new(1..11);
    let flow = packet().inbound();
    let verdict = fixture
        .forwarder
        .on_packet(at(100), &packet(), &fixture.view);
    let forward_header =
        assert_matches!(verdict, Verdict::Send { forward_header, .. } => forward_header);
    let hint = usher_forwarding::Hint {
        flow,
        node: node(60),
    };
    fixture.forwarder.on_hint(at(101), &hint);
    let verdict = fixture.give_back(102, &forward_header);
    assert_matches!(verdict, Verdict::Send { to, .. } if to == node(60));
    let verdict = fixture
        .forwarder
        .on_packet(at(103), &packet(), &fixture.view);
    assert_matches!(verdict, Verdict::Send { to, .. } if to == node(60));
}

/// Guards against a flow whose packets are lost at a dead agent before they reach its host.
#[test]
fn a_silent_agent_is_visited_after_all_others() {
    let mut fixture = Fixture::new(1..51);
    fixture.report(2_000, 2, 1..3);
    fixture.report(2_000, 2, 4..51);
    let mut verdict = fixture
        .forwarder
        .on_packet(at(2_000), &packet(), &fixture.view);
    while let Verdict::Send { forward_header, .. } = verdict {
        if forward_header.candidates.as_slice().contains(&node(3)) {
            assert_eq!(forward_header.candidates.as_slice().last(), Some(&node(3)));
            break;
        }
        verdict = fixture.give_back(2_000, &forward_header);
    }
    assert_eq!(fixture.visited.len(), 48);
}
