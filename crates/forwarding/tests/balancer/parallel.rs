use std::collections::{BTreeSet, VecDeque};

use usher_forwarding::{
    BalancerForwarder, ForwardHeader, HostDirectory, NodeId, PacketHeader, RejectReason, Report,
    RoutingView, Verdict,
};
use usher_types::{Span, Time};

use crate::fixture::{SERVICE, at, configuration, node, packet_header, report};

fn packet(sequence: u32) -> PacketHeader {
    PacketHeader {
        acknowledged: 7,
        sequence,
        ..packet_header(1, false)
    }
}

// A balancer that does not know the flow, and agents that may know all flows of their hosts.
struct Search {
    forwarder: BalancerForwarder,
    view: RoutingView,
}

impl Search {
    // Without evidence of a start of all machines, unless `together`.
    fn new(hosts: u8, complete: bool, together: bool) -> Self {
        let mut directory = HostDirectory::new("kolkata".parse().unwrap(), Time::ZERO);
        if together {
            directory = directory.expecting("kolkata:bengal".parse().unwrap());
        }
        for last in 1..=hosts {
            let report = Report {
                // One agent is enough to search one after the other.
                complete: complete || last > 1,
                uptime: Span::ZERO,
                ..report(1, SERVICE)
            };
            directory.on_direct_report(at(0), node(last), &report);
        }
        Self {
            forwarder: BalancerForwarder::new(node(0)),
            view: directory.view(configuration(1, SERVICE), &RoutingView::default()),
        }
    }

    fn on_packet(&mut self, millis: u64, sequence: u32) -> Vec<ForwardHeader> {
        let packet = packet(sequence);
        let verdict = self.forwarder.on_packet(at(millis), &packet, &self.view);
        self.sent(sequence, verdict)
    }

    fn on_returned(
        &mut self,
        millis: u64,
        sequence: u32,
        from: &ForwardHeader,
    ) -> Vec<ForwardHeader> {
        let packet = packet(sequence);
        let verdict = self
            .forwarder
            .on_returned(at(millis), &packet, &from.candidates, &self.view);
        self.sent(sequence, verdict)
    }

    fn sent(&mut self, sequence: u32, verdict: Verdict) -> Vec<ForwardHeader> {
        let mut sent = Vec::new();
        let mut next = Some(verdict);
        while let Some(Verdict::Send { forward_header, .. }) = next {
            sent.push(forward_header);
            next = self.forwarder.further(&packet(sequence), &self.view);
        }
        sent
    }
}

fn agents(sent: &[ForwardHeader]) -> Vec<NodeId> {
    let lists = sent.iter().map(|header| header.candidates);
    lists.flat_map(|list| list.as_slice().to_vec()).collect()
}

// Number of packets, and of the different agents that they visit.
fn counts(sent: &[ForwardHeader]) -> (usize, usize) {
    let visited: BTreeSet<_> = agents(sent).into_iter().collect();
    assert_eq!(
        visited.len(),
        agents(sent).len(),
        "an agent is visited twice"
    );
    (sent.len(), visited.len())
}

/// Guards against a search that takes one round for each 16 agents, against agents that get the packet twice
/// or not at all, and against parallel packets to backend servers that may hold flows which their agents do
/// not know.
#[test]
fn agents_that_know_their_flows_are_visited_in_two_rounds() {
    for (complete, lists) in [(true, 4), (false, 1)] {
        let mut search = Search::new(65, complete, false);
        let first = search.on_packet(100, 1);
        assert_eq!(first.len(), 1);
        let second = search.on_returned(110, 1, &first[0]);
        assert_eq!(second.len(), lists);
        let visited = agents(&[first, second].concat());
        assert_eq!(visited.len(), if complete { 65 } else { 32 });
        assert_eq!(visited.iter().collect::<BTreeSet<_>>().len(), visited.len());
    }
}

/// Guards against a flow that is taken for lost while one of its packets is still on its way.
#[test]
fn a_search_ends_when_the_last_parallel_packet_has_returned() {
    let mut search = Search::new(65, true, true);
    let first = search.on_packet(100, 1);
    let second = search.on_returned(110, 1, &first[0]);
    for (index, list) in second.iter().enumerate() {
        let verdict =
            search
                .forwarder
                .on_returned(at(120), &packet(1), &list.candidates, &search.view);
        let expected = if index == 3 {
            RejectReason::Unsettled
        } else {
            RejectReason::Searching
        };
        assert_eq!(verdict, Verdict::Drop(expected));
    }
}

/// Guards against a search that sends packets to thousands of agents at once, or visits only some of them.
#[test]
fn a_large_fleet_is_visited_by_a_bounded_number_of_packets_at_a_time() {
    let mut search = Search::new(250, true, false);
    let first = search.on_packet(100, 1);
    let mut visited = agents(&first);
    let mut in_flight: VecDeque<_> = search.on_returned(110, 1, &first[0]).into();
    assert_eq!(in_flight.len(), 8);
    while let Some(next) = in_flight.pop_front() {
        visited.extend(next.candidates.as_slice());
        in_flight.extend(search.on_returned(120, 1, &next));
        assert!(in_flight.len() <= 8, "{} packets", in_flight.len());
    }
    assert_eq!(visited.len(), 250);
    assert_eq!(visited.iter().collect::<BTreeSet<_>>().len(), 250);
}

/// Guards against a packet of a burst that does not reach the host of its flow, because another packet of
/// the burst is on its way there.
#[test]
fn each_packet_of_a_burst_visits_all_agents() {
    let mut search = Search::new(65, true, false);
    let first = search.on_packet(100, 1);
    let other = search.on_packet(100, 2);
    search.on_returned(110, 1, &first[0]);
    let mut visited = agents(&other);
    let mut next = other;
    while let Some(list) = next.first().copied() {
        next = search.on_returned(111, 2, &list);
        visited.extend(agents(&next));
    }
    assert_eq!(visited.iter().collect::<BTreeSet<_>>().len(), 65);
}

/// Guards against agents that stay unvisited because a parallel packet was lost.
#[test]
fn agents_of_a_lost_packet_are_visited_with_the_next_copy() {
    for together in [false, true] {
        let mut search = Search::new(65, true, together);
        let first = search.on_packet(100, 1);
        let second = search.on_returned(110, 1, &first[0]);
        for list in &second[1..] {
            search.on_returned(120, 1, list);
        }
        let copy = search.on_packet(700, 1);
        let lost: BTreeSet<_> = second[0].candidates.as_slice().iter().copied().collect();
        assert_eq!(agents(&copy).into_iter().collect::<BTreeSet<_>>(), lost);
    }
}

/// Guards against copies that each search all agents after a start of all machines, when many flows are
/// searched for at once, and against the loss of a packet that is no copy.
#[test]
fn a_copy_of_a_packet_under_way_is_not_searched_for_after_a_joint_start() {
    // Packets and agents of the copy at 300 ms, and of the next packet at 350 ms. Each of the 16 agents of
    // the lost chain is visited alone, and further ones in one chain.
    for (together, copy, next) in [(true, (0, 0), (17, 32)), (false, (17, 24), (1, 16))] {
        let mut search = Search::new(65, true, together);
        let first = agents(&search.on_packet(100, 1));
        assert_eq!(counts(&search.on_packet(300, 1)), copy);
        let sent = search.on_packet(350, 2);
        assert_eq!(counts(&sent), next);
        assert!(first.iter().all(|node| agents(&sent).contains(node)));
    }
    let mut search = Search::new(65, true, true);
    let first = agents(&search.on_packet(100, 1));
    let copy = search.on_packet(700, 1);
    assert_eq!(counts(&copy), (17, 32));
    assert!(first.iter().all(|node| agents(&copy).contains(node)));
}

/// Guards against agents that count as visited by a flow because they have returned a late packet of an
/// earlier flow from the same port.
#[test]
fn a_late_packet_of_an_earlier_flow_ends_no_search() {
    let mut search = Search::new(10, true, true);
    let late = search.on_packet(100, 1);
    search.on_packet(200, 1_000_000_000);
    let list = late[0].candidates;
    let verdict = search
        .forwarder
        .on_returned(at(210), &packet(1), &list, &search.view);
    assert_eq!(verdict, Verdict::Drop(RejectReason::Searching));
    let next = search.on_packet(800, 1_000_000_000);
    // The copies of the packet at 200 ms were lost.
    assert_eq!(counts(&next), (10, 10));
}
