//! Searches whose packets are lost on some links or at some agents.

use usher_forwarding::{
    BalancerForwarder, Candidates, Flags, HostDirectory, HostState, NodeId, PacketHeader, Report,
    RoutingView, Verdict,
};
use usher_types::{Span, Time};

use crate::fixture::{SERVICE, at, configuration, packet_header, report};

const CENTRES: [&str; 3] = ["kolkata", "howrah", "barasat"];
const AGENTS_EACH: u8 = 5;
// When a caller sends a packet that is not answered, in ms: all copies within the 2 s in which one has to
// reach the host.
const COPIES: [u64; 4] = [100, 300, 700, 1_500];

fn agent(centre: u8, index: u8) -> NodeId {
    NodeId::new([10, centre, 0, 10 + index].into())
}

fn centre_of(node: NodeId) -> u8 {
    node.address().octets()[1]
}

fn agents() -> impl Iterator<Item = NodeId> {
    (0..3).flat_map(|centre| (0..AGENTS_EACH).map(move |index| agent(centre, index)))
}

fn packet(port: u16) -> PacketHeader {
    PacketHeader {
        acknowledged: 7,
        ..packet_header(port, false)
    }
}

// A balancer of the first data centre that does not know the flow.
struct Balancer {
    node: NodeId,
    forwarder: BalancerForwarder,
    view: RoutingView,
    packet: PacketHeader,
}

impl Balancer {
    // The agents of `stopping` have reported that they stop.
    fn new(index: u8, stopping: &[NodeId]) -> Self {
        let directory = HostDirectory::new(CENTRES[0].parse().unwrap(), Time::ZERO);
        Self::with(directory, index, stopping, false)
    }

    // All machines have started together.
    fn started_together(index: u8) -> Self {
        let directory = HostDirectory::new(CENTRES[0].parse().unwrap(), Time::ZERO);
        let regions = CENTRES.map(|centre| format!("{centre}:bengal")).join(",");
        let directory = directory.expecting(regions.parse().unwrap());
        let balancer = Self::with(directory, index, &[], true);
        assert!(balancer.view.started_together(at(COPIES[0])));
        balancer
    }

    // With `complete`, the agents know the flows of their hosts.
    fn with(mut directory: HostDirectory, index: u8, stopping: &[NodeId], complete: bool) -> Self {
        for node in agents() {
            let state = if stopping.contains(&node) {
                HostState::Draining
            } else {
                HostState::Serving
            };
            let report = Report {
                centre: CENTRES[usize::from(centre_of(node))].parse().unwrap(),
                state,
                complete,
                ..report(1, SERVICE)
            };
            directory.on_direct_report(at(0), node, &report);
        }
        let node = NodeId::new([10, 0, 0, index].into());
        Self {
            node,
            forwarder: BalancerForwarder::new(node),
            view: directory.view(configuration(1, SERVICE), &RoutingView::default()),
            packet: packet(1),
        }
    }

    // Sends a packet of the caller; returns whether a copy of it reaches `holder`. No copy arrives from
    // a node at another one if `loses` says so.
    fn reaches(
        &mut self,
        millis: u64,
        holder: NodeId,
        loses: impl Fn(NodeId, NodeId) -> bool,
    ) -> bool {
        let (now, packet) = (at(millis), self.packet);
        let mut verdicts = vec![self.forwarder.on_packet(now, &packet, &self.view)];
        while let Some(verdict) = verdicts.pop() {
            while let Some(copy) = self.forwarder.further(&packet, &self.view) {
                verdicts.push(copy);
            }
            let Verdict::Send { forward_header, .. } = verdict else {
                continue;
            };
            let visited = forward_header.candidates;
            match walk(self.node, &visited, holder, &loses) {
                Some(true) => return true,
                Some(false) => {}
                None => {
                    let forwarder = &mut self.forwarder;
                    verdicts.push(forwarder.on_returned(now, &packet, &visited, &self.view));
                }
            }
        }
        false
    }
}

// Whether a copy reaches the holder, or is lost; `None` if the last agent returns it.
fn walk(
    balancer: NodeId,
    chain: &Candidates,
    holder: NodeId,
    loses: impl Fn(NodeId, NodeId) -> bool,
) -> Option<bool> {
    let mut from = balancer;
    for node in chain.as_slice() {
        if loses(from, *node) {
            return Some(false);
        }
        if *node == holder {
            return Some(true);
        }
        from = *node;
    }
    loses(from, balancer).then_some(false)
}

/// Guards against open flows that are not found because a link to another data centre loses packets.
#[test]
fn a_link_between_two_data_centres_hides_no_agent_of_a_third_one() {
    let loses = |from: NodeId, to: NodeId| (centre_of(from), centre_of(to)) == (0, 1);
    for port in 1..20 {
        for holder in agents().filter(|node| centre_of(*node) != 1) {
            let mut balancer = Balancer::new(1, &[]);
            balancer.packet = packet(port);
            assert!(balancer.reaches(COPIES[0], holder, loses), "{holder}");
        }
    }
}

/// Guards against the same in the half minute after a start of all machines, when chains are longer.
#[test]
fn a_link_between_two_data_centres_hides_no_agent_after_a_joint_start() {
    let loses = |from: NodeId, to: NodeId| (centre_of(from), centre_of(to)) == (0, 1);
    for port in 1..20 {
        for holder in agents().filter(|node| centre_of(*node) != 1) {
            let mut balancer = Balancer::started_together(1);
            balancer.packet = packet(port);
            assert!(balancer.reaches(COPIES[0], holder, loses), "{holder}");
        }
    }
}

/// Guards against open flows that are not found while other agents are stopped in turn.
#[test]
fn agents_that_have_reported_their_stop_hide_no_other() {
    for first in 0..AGENTS_EACH {
        let stopped: Vec<NodeId> = (0..3).map(|centre| agent(centre, first)).collect();
        let loses = |_, to| stopped.contains(&to);
        for holder in agents().filter(|node| !stopped.contains(node)) {
            let mut balancer = Balancer::new(1, &stopped);
            assert!(balancer.reaches(COPIES[0], holder, loses), "{holder}");
        }
    }
}

/// Guards against open flows that each copy of a packet misses, since several agents have ended unnoticed.
#[test]
fn dead_agents_hide_no_other_from_all_copies_of_a_packet() {
    for first in 0..AGENTS_EACH {
        let mut dead: Vec<NodeId> = (0..3).map(|centre| agent(centre, first)).collect();
        dead.extend((0..3).map(|centre| agent(centre, (first + 1) % AGENTS_EACH)));
        let loses = |_, to| dead.contains(&to);
        for holder in agents().filter(|node| !dead.contains(node)) {
            let mut balancer = Balancer::new(1, &[]);
            let found = COPIES
                .iter()
                .any(|millis| balancer.reaches(*millis, holder, loses));
            assert!(found, "{holder}");
        }
    }
}

/// Guards against a search that gives up agents because newer packets of the caller show progress, as a
/// window of several packets does.
#[test]
fn later_packets_of_a_caller_visit_agents_that_an_earlier_one_missed() {
    let dead: Vec<NodeId> = (0..3).map(|centre| agent(centre, 0)).collect();
    let loses = |_, to| dead.contains(&to);
    for holder in agents().filter(|node| !dead.contains(node)) {
        let mut balancer = Balancer::new(1, &[]);
        if balancer.reaches(100, holder, loses) {
            continue;
        }
        let next = PacketHeader {
            sequence: 1_201,
            flags: Flags {
                acknowledging: true,
                ..Flags::default()
            },
            ..balancer.packet
        };
        let now = at(100) + Span::from_millis(150);
        let mut verdict = Some(balancer.forwarder.on_packet(now, &next, &balancer.view));
        let mut found = false;
        while let Some(Verdict::Send { forward_header, .. }) = verdict {
            let chain = forward_header.candidates;
            found |= walk(balancer.node, &chain, holder, loses) == Some(true);
            verdict = balancer.forwarder.further(&next, &balancer.view);
        }
        assert!(found, "{holder}");
    }
}

/// Guards against agents that one dead agent hides from all balancers alike.
#[test]
fn a_dead_agent_hides_others_from_some_balancers_only() {
    for dead in agents() {
        let loses = |_, to| to == dead;
        for holder in agents().filter(|node| *node != dead) {
            let finds = (1..10).any(|index| {
                let mut balancer = Balancer::new(index, &[]);
                balancer.reaches(COPIES[0], holder, loses)
            });
            assert!(finds, "{holder} behind {dead}");
        }
    }
}
