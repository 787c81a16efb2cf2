use std::collections::BTreeMap;

use usher_forwarding::{
    AgentForwarder, BalancerForwarder, Candidates, ForwardHeader, HostDirectory, HostHeartbeat,
    HostIdentity, InboundAction, NodeId, Outbound, PacketHeader, Report, RoutingView, ServiceKey,
    Verdict,
};
use usher_types::{ColdRate, Sequence, Slots, Span, Time};

use crate::fixture::{SERVICE, at, configuration, node, packet_header, report};

const HOSTS: u8 = 12;
const FLOW_LIFE: Span = Span::from_secs(60);

fn packet() -> PacketHeader {
    PacketHeader {
        data: 10,
        ..packet_header(1, false)
    }
}

fn returned(token: u32) -> PacketHeader {
    let mut returned = packet();
    returned.flags.returned = true;
    returned.token = token;
    returned
}

fn identity() -> HostIdentity {
    HostIdentity {
        service: SERVICE.to_owned(),
        address: "10.1.0.3:8080".parse().unwrap(),
        centre: "kolkata".parse().unwrap(),
    }
}

fn heartbeat() -> HostHeartbeat {
    HostHeartbeat {
        id: "i-1".to_owned(),
        host: identity(),
        born: 100,
        age: None,
        sequence: Sequence::new(1),
        slots: Slots::new(4),
        draining: false,
        warmup: Span::ZERO,
    }
}

// A balancer that does not know the flow, and agents that started less than a flow's life ago.
struct Fleet {
    directory: HostDirectory,
    forwarder: BalancerForwarder,
    view: RoutingView,
    agents: BTreeMap<NodeId, AgentForwarder>,
    sequence: u32,
}

impl Fleet {
    fn new() -> Self {
        let directory = HostDirectory::new("kolkata".parse().unwrap(), Time::ZERO);
        let agents = (1..=HOSTS).map(|last| {
            let mut agent = AgentForwarder::new(node(last), identity(), Time::ZERO, FLOW_LIFE);
            agent.on_heartbeat(Time::ZERO, heartbeat());
            (node(last), agent)
        });
        let mut fleet = Self {
            view: directory.view(configuration(1, SERVICE), &RoutingView::default()),
            directory,
            forwarder: BalancerForwarder::new(node(0)),
            agents: agents.collect(),
            sequence: 0,
        };
        fleet.report(0);
        fleet
    }

    fn report(&mut self, millis: u64) {
        self.sequence += 1;
        for last in 1..=HOSTS {
            let report = report(self.sequence, SERVICE);
            self.directory
                .on_direct_report(at(millis), node(last), &report);
        }
        self.view = self.directory.view(configuration(1, SERVICE), &self.view);
    }

    // A packet of another flow is lost at each of the backend servers.
    fn lose_packet_at(&mut self, silent: &[NodeId]) {
        for node in silent {
            let mut candidates = Candidates::default();
            candidates.push(*node);
            let forward_header = ForwardHeader {
                service: ServiceKey::from_bits(0),
                origin: NodeId::NONE,
                candidates,
                hop: 0,
                shortest: None,
                budget: Span::ZERO,
                rank: 0,
                cold_rate: ColdRate::NONE,
                is_final: false,
                is_extra: false,
            };
            let other = PacketHeader {
                data: 10,
                ..packet_header(2, false)
            };
            let agent = self.agents.get_mut(node).unwrap();
            agent.on_packet(at(100), &other, &forward_header);
        }
    }

    fn candidates(&mut self, millis: u64) -> Vec<NodeId> {
        match self.forwarder.on_packet(at(millis), &packet(), &self.view) {
            Verdict::Send { forward_header, .. } => forward_header.candidates.as_slice().to_vec(),
            verdict => panic!("{verdict:?}"),
        }
    }

    // Sends one packet of a flow that `holder` holds; backend servers in `silent` do not answer.
    // Returns the backend servers that the packet and its copies reach.
    fn send(&mut self, millis: u64, holder: NodeId, silent: &[NodeId]) -> Vec<NodeId> {
        let now = at(millis);
        let mut reached = Vec::new();
        let mut verdicts = vec![self.forwarder.on_packet(now, &packet(), &self.view)];
        while let Some(verdict) = verdicts.pop() {
            while let Some(copy) = self.forwarder.further(&packet(), &self.view) {
                verdicts.push(copy);
            }
            let Verdict::Send {
                to, forward_header, ..
            } = verdict
            else {
                continue;
            };
            let mut sent = vec![(to, forward_header)];
            while let Some((to, forward_header)) = sent.pop() {
                assert!(reached.len() < 100, "a packet is copied without end");
                let agent = self.agents.get_mut(&to).unwrap();
                let inbound = agent.on_packet(now, &packet(), &forward_header);
                let mut action = inbound.action;
                if let InboundAction::DeliverAndForward {
                    to, forward_header, ..
                } = action
                {
                    sent.push((to, forward_header));
                }
                if let InboundAction::Deliver { token, .. }
                | InboundAction::DeliverAndForward { token, .. } = action
                {
                    reached.push(to);
                    if to == holder || silent.contains(&to) {
                        continue;
                    }
                    action = match agent.on_host_packet(now, &returned(token)) {
                        Outbound::Returned(inbound) => inbound.action,
                        Outbound::ToCaller { .. } | Outbound::Withheld => {
                            panic!("the packet was returned")
                        }
                    };
                }
                match action {
                    InboundAction::Forward {
                        to, forward_header, ..
                    } => sent.push((to, forward_header)),
                    InboundAction::Missing { visited, .. } => {
                        let forwarder = &mut self.forwarder;
                        verdicts.push(forwarder.on_returned(now, &packet(), &visited, &self.view));
                    }
                    action => panic!("{action:?}"),
                }
            }
        }
        reached
    }
}

/// Guards against a search that ends at a backend server that does not answer.
#[test]
fn a_backend_server_that_does_not_answer_ends_no_search() {
    let mut fleet = Fleet::new();
    let order = fleet.candidates(100);
    let (silent, holder) = (order[3], order[8]);
    let mut sent = Vec::new();
    for millis in (100..=3_200).step_by(100) {
        fleet.report(millis);
        // A caller repeats its packet after 200 ms, and the interval doubles.
        if [200, 400, 800, 1_600, 3_200].contains(&millis) {
            sent.push(fleet.send(millis, holder, &[silent]));
        }
    }
    assert!(
        sent.iter().any(|reached| reached.contains(&holder)),
        "backend servers that each packet reaches: {sent:?}"
    );
}

/// Guards against a search that ends at a dead agent until its reports are late.
#[test]
fn a_dead_agent_of_another_data_centre_ends_no_search() {
    let mut fleet = Fleet::new();
    let order = fleet.candidates(0);
    let (dead, holder) = (order[3], order[8]);
    let remote = |sequence| Report {
        centre: "howrah".parse().unwrap(),
        ..report(sequence, SERVICE)
    };
    fleet.directory = HostDirectory::new("kolkata".parse().unwrap(), Time::ZERO);
    let mut sent = Vec::new();
    for millis in (0..=3_200).step_by(100) {
        fleet.sequence += 1;
        for last in 1..=HOSTS {
            let due = millis % 500 == 0 && (node(last) != dead || millis == 0);
            if due {
                fleet.directory.on_relayed_report(
                    at(millis),
                    node(last),
                    &remote(fleet.sequence),
                    Some(&"howrah".parse().unwrap()),
                );
            }
        }
        fleet.view = fleet.directory.view(configuration(1, SERVICE), &fleet.view);
        // The agent is dead from 50 ms on; a caller repeats its packet, the interval doubles.
        if [100, 300, 700, 1_500].contains(&millis) {
            sent.push(fleet.send(millis, holder, &[dead]));
        }
    }
    assert!(
        sent.iter().any(|reached| reached.contains(&holder)),
        "backend servers that each packet reaches (the last is the dead one): {sent:?}"
    );
}

/// Guards against a search that several backend servers which do not answer end one after the other.
///
/// Half of the others answer nothing, so the caller's third packet would be lost like the first two.
#[test]
fn several_backend_servers_that_do_not_answer_end_no_search() {
    for holder in 0..usize::from(HOSTS) {
        let mut fleet = Fleet::new();
        let order = fleet.candidates(100);
        let silent: Vec<NodeId> = order
            .iter()
            .copied()
            .skip((holder + 1) % 2)
            .step_by(2)
            .collect();
        let mut sent = Vec::new();
        for millis in (100..=2_100).step_by(100) {
            fleet.report(millis);
            // Other flows are searched for meanwhile, so each agent has seen a packet go unanswered.
            if millis == 100 {
                fleet.lose_packet_at(&silent);
            }
            // A caller repeats its packet after 200 ms, and the interval doubles.
            if [300, 500, 900, 1_700].contains(&millis) {
                sent.push(fleet.send(millis, order[holder], &silent));
            }
        }
        let reached = sent
            .iter()
            .take(2)
            .any(|reached| reached.contains(&order[holder]));
        assert!(
            reached,
            "backend servers that each packet reaches: {sent:?}"
        );
    }
}
