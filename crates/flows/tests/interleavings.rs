//! Random interleavings of traffic, faults and planned changes over connected flow tables.

mod net;

use std::sync::Arc;

use net::{Balancer, Caller, Network};
use proptest::prelude::*;
use usher_flows::Event;
use usher_types::{Body, FlowId, HostState, Span, Version};

const HOSTS: usize = 4;
const FLOWS: usize = 6;

/// A step of a run; its numbers select among the choices possible at that point.
#[derive(Debug, Clone, Copy)]
enum Step {
    Open(usize, usize),
    Message(usize, usize, usize),
    Close(usize, usize),
    Reply(usize),
    Arrive(usize, usize),
    Lose(usize),
    Repeat(usize),
    Advance(usize, u64),
    Wait(usize, u64),
    Drain(usize),
    Leave(usize),
    Adopt(usize),
    Learn(usize),
}

// `via` selects the balancer that a packet or step goes through.
fn step() -> impl Strategy<Value = Step> {
    let any = 0_usize..1_000;
    prop_oneof![
        4 => (any.clone(), any.clone()).prop_map(|(flow, via)| Step::Open(flow, via)),
        6 => (any.clone(), any.clone(), 1_usize..4_000).prop_map(|(f, v, s)| Step::Message(f, v, s)),
        1 => (any.clone(), any.clone()).prop_map(|(flow, via)| Step::Close(flow, via)),
        4 => any.clone().prop_map(Step::Reply),
        40 => (any.clone(), any.clone()).prop_map(|(pick, via)| Step::Arrive(pick, via)),
        3 => any.clone().prop_map(Step::Lose),
        3 => any.clone().prop_map(Step::Repeat),
        6 => (any.clone(), 1_u64..600).prop_map(|(via, ms)| Step::Advance(via, ms)),
        2 => (any.clone(), 0_u64..12).prop_map(|(host, ms)| Step::Wait(host, ms)),
        1 => any.clone().prop_map(Step::Drain),
        1 => any.clone().prop_map(Step::Leave),
        4 => any.clone().prop_map(Step::Adopt),
        4 => any.prop_map(Step::Learn),
    ]
}

/// The connected tables and the progress of the planned changes.
struct Simulation {
    net: Network,
    adopted: [usize; HOSTS],
    states: [Option<HostState>; HOSTS],
}

impl Simulation {
    fn new() -> Self {
        let mut net = Network::default();
        let states = [Some(HostState::Serving); HOSTS];
        for index in 0..HOSTS {
            net.start(index);
        }
        net.add_roster(&members(states));
        net.balancers = (0..2)
            .map(|_| Balancer {
                rosters: vec![1],
                ..Balancer::default()
            })
            .collect();
        for number in 0..FLOWS {
            net.callers.insert(flow(number), Caller::default());
        }
        let mut simulation = Self {
            net,
            adopted: [0; HOSTS],
            states,
        };
        for index in 0..HOSTS {
            simulation.adopt(index);
        }
        simulation
    }

    fn apply(&mut self, step: Step) {
        let net = &mut self.net;
        match step {
            Step::Open(number, via) => net.inject(via % 2, flow(number % FLOWS), Body::Open),
            Step::Message(number, via, size) => {
                let flow = flow(number % FLOWS);
                let caller = &net.callers[&flow];
                if caller.accepted && !caller.closing && caller.next_message < 20 {
                    net.message(via % 2, flow, size);
                }
            }
            Step::Close(number, via) => {
                let flow = flow(number % FLOWS);
                let caller = net.callers.get_mut(&flow).unwrap();
                if caller.accepted {
                    caller.closing = true;
                    net.inject(via % 2, flow, Body::Close);
                }
            }
            Step::Reply(pick) if !net.requests.is_empty() => {
                let (index, id) = net.requests.swap_remove(pick % net.requests.len());
                net.reply(index, id);
            }
            Step::Arrive(pick, via) if !net.wire.is_empty() => {
                let message = net.wire.remove(pick % net.wire.len()).unwrap();
                net.arrive(via % 2, message);
            }
            Step::Lose(pick) if !net.wire.is_empty() => {
                let message = net.wire.remove(pick % net.wire.len()).unwrap();
                net.lose(message);
            }
            Step::Repeat(pick) if !net.wire.is_empty() => {
                let message = net.wire[pick % net.wire.len()].clone();
                // The network can duplicate packets, but not calls of the administration API.
                if !matches!(message.kind(), "took-over" | "failed" | "handover") {
                    net.wire.push_back(message);
                }
            }
            Step::Advance(via, ms) => net.advance(via % 2, Span::from_millis(ms)),
            Step::Wait(index, ms) => net.event(index % HOSTS, Event::Wait(Span::from_millis(ms))),
            Step::Drain(index) => self.drain(index % HOSTS),
            Step::Leave(index) => self.leave(index % HOSTS),
            Step::Adopt(index) => self.adopt(index % HOSTS),
            Step::Learn(via) => self.learn(via % 2),
            Step::Reply(_) | Step::Arrive(..) | Step::Lose(_) | Step::Repeat(_) => {}
        }
    }

    fn drain(&mut self, index: usize) {
        let serving = self
            .states
            .iter()
            .filter(|state| **state == Some(HostState::Serving));
        if self.states[index] == Some(HostState::Serving) && serving.count() > 2 {
            self.states[index] = Some(HostState::Draining);
            self.net.event(index, Event::Drain);
            self.publish();
        }
    }

    /// Removes a drained host from the roster; its process still forwards late packets.
    fn leave(&mut self, index: usize) {
        if self.states[index].is_some() && self.net.drained.contains(&index) {
            self.states[index] = None;
            self.publish();
        }
    }

    // No process is more than two rosters behind: balancers know no more than two earlier ones.
    fn publish(&mut self) {
        self.net.add_roster(&members(self.states));
        let oldest = self.net.rosters.len().saturating_sub(2);
        for via in 0..2 {
            while self.net.balancers[via].rosters[0] < oldest {
                self.learn(via);
            }
        }
        for index in 0..HOSTS {
            while self.adopted[index] < oldest {
                self.adopt(index);
            }
        }
    }

    fn adopt(&mut self, index: usize) {
        let Some(roster) = self.net.rosters.get(self.adopted[index]) else {
            return;
        };
        let roster = Arc::clone(roster);
        self.adopted[index] += 1;
        self.net.event(index, Event::Roster(roster));
        if let Some(least) = self.adopted.iter().min() {
            let version = Version::new(*least as u64);
            (0..HOSTS).for_each(|index| self.net.event(index, Event::Adopted(version)));
        }
    }

    fn learn(&mut self, via: usize) {
        let rosters = &mut self.net.balancers[via].rosters;
        if rosters[0] < self.net.rosters.len() {
            rosters.insert(0, rosters[0] + 1);
            rosters.truncate(3);
        }
    }

    /// Removes all drained hosts; all processes learn the last roster.
    fn all_leave(&mut self) {
        (0..HOSTS).for_each(|index| self.leave(index));
        for _ in 0..self.net.rosters.len() {
            (0..HOSTS).for_each(|index| self.adopt(index));
            (0..2).for_each(|via| self.learn(via));
        }
    }

    /// Runs without faults until rosters, messages and replies have arrived.
    fn settle(&mut self) {
        for _ in 0..100 {
            self.all_leave();
            self.net.run(0);
            self.net.reply_all();
            self.net.advance(0, Span::from_millis(500));
        }
    }
}

fn members(states: [Option<HostState>; HOSTS]) -> Vec<(usize, HostState, u64)> {
    let present = |(index, state): (usize, Option<HostState>)| Some((index, state?, 1));
    states.into_iter().enumerate().filter_map(present).collect()
}

fn flow(number: usize) -> FlowId {
    format!("10.0.0.1:{}>192.0.2.1:80#7", 4_000 + number)
        .parse()
        .unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        max_shrink_iters: 300,
        ..ProptestConfig::default()
    })]

    // Guards against opening a flow twice, delivering a message twice or in part, and losing or
    // splitting a flow while hosts drain and leave and rosters arrive in any order.
    #[test]
    fn flows_survive_planned_changes(steps in prop::collection::vec(step(), 1..400)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.apply(step);
        }
        simulation.settle();
        let net = &mut simulation.net;
        let open: Vec<FlowId> =
            net.callers.iter().filter(|(_, c)| c.accepted && !c.closing).map(|(f, _)| *f).collect();
        for flow in &open {
            net.message(1, *flow, 3_000);
        }
        simulation.settle();
        let net = &simulation.net;
        for (id, count) in &net.delivered {
            prop_assert_eq!(*count, 1, "{} was delivered again", id);
        }
        for (flow, count) in &net.accepted {
            prop_assert_eq!(*count, 1, "{} was accepted again", flow);
        }
        for flow in &open {
            let caller = &net.callers[flow];
            prop_assert!(!caller.reset, "{} was reset", flow);
            prop_assert!(caller.outbox.is_empty(), "{} lost a request", flow);
            prop_assert_eq!(caller.replies.len(), caller.sent.len(), "{} lost a reply", flow);
        }
        let expected = net.callers.values().filter(|c| c.accepted && !c.closing).count();
        prop_assert_eq!(net.held(), expected, "flows held by all agents");
        let is_draining = simulation.states.contains(&Some(HostState::Draining));
        prop_assert!(!is_draining, "a draining host still holds flows: {:?}", simulation.states);
    }
}
