use std::collections::BTreeSet;
use std::ops::Range;

use assert_matches::assert_matches;
use usher_forwarding::{
    BalancerForwarder, Candidates, ForwardHeader, Hint, HostDirectory, NodeId, PacketHeader,
    RejectReason, RoutingView, Verdict,
};
use usher_types::Time;

use crate::fixture::{SERVICE, at, configuration, node, packet_header, report};

fn packet() -> PacketHeader {
    PacketHeader {
        acknowledged: 7,
        ..packet_header(1, false)
    }
}

// A balancer that does not know the flow, and the agents that its packets have visited.
struct Search {
    directory: HostDirectory,
    forwarder: BalancerForwarder,
    view: RoutingView,
    visited: BTreeSet<NodeId>,
    lists: usize,
}

impl Search {
    fn new(hosts: Range<u8>) -> Self {
        let directory = HostDirectory::new("kolkata".parse().unwrap(), Time::ZERO);
        let mut search = Self {
            view: directory.view(configuration(1, SERVICE), &RoutingView::default()),
            directory,
            forwarder: BalancerForwarder::new(node(0)),
            visited: BTreeSet::new(),
            lists: 0,
        };
        search.report(0, 1, hosts);
        search
    }

    fn report(&mut self, millis: u64, sequence: u32, hosts: Range<u8>) {
        for last in hosts {
            let report = report(sequence, SERVICE);
            self.directory
                .on_direct_report(at(millis), node(last), &report);
        }
        self.view = self.directory.view(configuration(1, SERVICE), &self.view);
    }

    // Sends a burst of packets, which visit up to `visits` rounds of agents; all return them.
    fn send(&mut self, millis: u64, packets: u16, visits: usize) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for index in 0..packets {
            let packet = PacketHeader {
                data: index,
                ..packet()
            };
            let verdict = self.forwarder.on_packet(at(millis), &packet, &self.view);
            verdicts.extend(self.with_copies(packet, verdict));
        }
        for _visit in 0..visits {
            let mut next = Vec::new();
            for (packet, verdict) in verdicts {
                if let Verdict::Send { forward_header, .. } = verdict {
                    let verdict = self.return_as(millis, &packet, &forward_header);
                    next.extend(self.with_copies(packet, verdict));
                } else {
                    next.push((packet, verdict));
                }
            }
            verdicts = next;
        }
        verdicts.into_iter().map(|(_, verdict)| verdict).collect()
    }

    // A verdict on a packet, and those on its further copies.
    fn with_copies(
        &mut self,
        packet: PacketHeader,
        verdict: Verdict,
    ) -> Vec<(PacketHeader, Verdict)> {
        let mut verdicts = vec![(packet, verdict)];
        while let Some(copy) = self.forwarder.further(&packet, &self.view) {
            verdicts.push((packet, copy));
        }
        verdicts
    }

    fn return_packet(&mut self, millis: u64, forward_header: &ForwardHeader) -> Verdict {
        self.return_as(millis, &packet(), forward_header)
    }

    fn return_as(
        &mut self,
        millis: u64,
        packet: &PacketHeader,
        forward_header: &ForwardHeader,
    ) -> Verdict {
        let candidates: &Candidates = &forward_header.candidates;
        self.visited.extend(candidates.as_slice());
        self.lists += 1;
        self.forwarder
            .on_returned(at(millis), packet, candidates, &self.view)
    }
}

/// Guards against a search that waits for the caller to repeat its packet.
#[test]
fn a_packet_visits_all_agents_without_a_retransmission() {
    let mut search = Search::new(1..51);
    search.send(100, 1, 4);
    assert_eq!(search.visited.len(), 50);
}

/// Guards against a search that passes over agents when several packets of a flow are returned.
#[test]
fn a_burst_of_packets_skips_no_agent_of_a_search() {
    let mut search = Search::new(1..51);
    for millis in [100, 300, 700, 1_500] {
        search.send(millis, 2, 1);
    }
    assert_eq!(search.visited.len(), 50);
}

/// Guards against a search that passes over an agent that joins the view after its first packet.
#[test]
fn an_agent_that_joins_during_a_search_is_visited() {
    let mut search = Search::new(1..20);
    search.send(100, 1, 1);
    search.report(200, 1, 20..51);
    for millis in [300, 700, 1_500] {
        search.send(millis, 1, 1);
    }
    assert_eq!(search.visited.len(), 50);
}

/// Guards against a search that ends for good before the host of the flow has joined the view.
#[test]
fn an_agent_that_joins_after_a_search_is_visited_by_the_next_packet() {
    let mut search = Search::new(1..11);
    let verdicts = search.send(100, 1, 1);
    assert_eq!(verdicts, [Verdict::Drop(RejectReason::Unsettled)]);
    search.report(200, 1, 11..13);
    search.send(300, 1, 1);
    assert_eq!(search.visited.len(), 12);
}

/// Guards against packets of a lost flow that visit all agents again and again.
#[test]
fn a_search_without_result_is_repeated_after_a_pause() {
    let mut search = Search::new(1..11);
    search.send(100, 1, 1);
    search.visited.clear();
    search.send(300, 1, 1);
    assert!(search.visited.is_empty());
    search.send(1_200, 1, 1);
    assert_eq!(search.visited.len(), 10);
}

/// Guards against the reset of a flow whose host a search visits late.
#[test]
fn a_search_visits_all_hosts_of_a_large_service_before_a_reset() {
    let mut search = Search::new(1..41);
    search.report(5_400, 2, 1..41);
    search.send(5_400, 1, 3);
    search.visited.clear();
    // Copies for further agents are lost each time, until the caller repeats its packet.
    for (sequence, millis) in (3..).zip([6_000, 6_200, 6_400]) {
        search.report(millis, sequence, 1..41);
        let verdicts = search.send(millis, 1, 1);
        let reset = |verdict: &Verdict| matches!(verdict, Verdict::Reset { .. });
        let all = search.visited.len() == 40;
        assert_eq!(verdicts.iter().any(reset), all, "{verdicts:?}");
    }
    assert_eq!(search.visited.len(), 40);
}

/// Guards against a reset by one packet of a burst before the others have visited all agents.
#[test]
fn a_burst_of_packets_resets_no_flow_before_all_agents_are_visited() {
    let mut search = Search::new(1..41);
    search.report(5_400, 2, 1..41);
    search.send(5_400, 2, 3);
    search.visited.clear();
    for (sequence, millis) in (3..).zip([6_000, 6_200, 6_400]) {
        search.report(millis, sequence, 1..41);
        let verdicts = search.send(millis, 2, 1);
        let reset = |verdict: &Verdict| matches!(verdict, Verdict::Reset { .. });
        assert_eq!(
            verdicts.iter().any(reset),
            search.visited.len() == 40,
            "{verdicts:?}"
        );
    }
}

/// Guards against a reset by a balancer that hears of a new host later than others do.
#[test]
fn a_flow_is_not_reset_before_new_hosts_can_be_known() {
    let mut search = Search::new(1..41);
    search.report(6_000, 2, 1..41);
    let verdicts = search.send(6_000, 1, 4);
    assert_eq!(verdicts, [Verdict::Drop(RejectReason::Unsettled)]);
    search.report(6_200, 1, 41..42);
    search.send(6_200, 1, 4);
    assert!(search.visited.contains(&node(41)));
}

/// Guards against packets of a burst that each search for a lost flow from the start.
#[test]
fn packets_of_a_burst_share_the_search_for_a_lost_flow() {
    let mut search = Search::new(1..51);
    search.report(6_000, 2, 1..51);
    for millis in [6_000, 6_600] {
        search.report(millis, millis as u32, 1..51);
        search.lists = 0;
        search.send(millis, 16, 1_000);
        assert!(search.lists <= 16 * 4, "{} lists", search.lists);
    }
}

/// Guards against a packet that is returned late and ends the search that has found the host.
#[test]
fn a_packet_returned_after_the_host_was_found_changes_nothing() {
    let mut search = Search::new(1..11);
    let flow = packet().inbound();
    let verdict = search.forwarder.on_packet(at(100), &packet(), &search.view);
    let forward_header =
        assert_matches!(verdict, Verdict::Send { forward_header, .. } => forward_header);
    let hint = Hint {
        flow,
        node: node(60),
    };
    search.forwarder.on_hint(at(101), &hint);
    let verdict = search.return_packet(102, &forward_header);
    assert_matches!(verdict, Verdict::Send { to, .. } if to == node(60));
    let verdict = search.forwarder.on_packet(at(103), &packet(), &search.view);
    assert_matches!(verdict, Verdict::Send { to, .. } if to == node(60));
}

/// Guards against a flow whose packets are lost at a dead agent before they reach its host.
#[test]
fn a_silent_agent_is_visited_after_all_others() {
    let mut search = Search::new(1..51);
    search.report(2_000, 2, 1..3);
    search.report(2_000, 2, 4..51);
    let mut verdict = search
        .forwarder
        .on_packet(at(2_000), &packet(), &search.view);
    while let Verdict::Send { forward_header, .. } = verdict {
        if forward_header.candidates.as_slice().contains(&node(3)) {
            // Packets for others would be lost with one for the dead agent.
            assert_eq!(forward_header.candidates.as_slice(), [node(3)]);
            break;
        }
        verdict = search.return_packet(2_000, &forward_header);
    }
    assert_eq!(search.visited.len(), 49);
}
