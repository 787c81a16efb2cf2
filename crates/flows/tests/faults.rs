//! Fault cases from `faults.json`: three hosts and one flow with candidates a, b, c in order.

mod net;

use std::sync::Arc;

use net::{Balancer, Caller, Network};
use serde_json::Value;
use usher_flows::Event;
use usher_types::{Body, FlowId, Generation, HostState, Span, Version};

struct Case {
    net: Network,
    flow: FlowId,
    hosts: Vec<usize>,
    present: Vec<usize>,
}

impl Case {
    fn new() -> Self {
        let mut net = Network::default();
        (0..3).for_each(|index| net.start(index));
        let flow: FlowId = "10.0.0.1:4000>192.0.2.1:80#7".parse().unwrap();
        net.callers.insert(flow, Caller::default());
        let mut case = Self {
            net,
            flow,
            hosts: Vec::new(),
            present: vec![0, 1, 2],
        };
        case.publish();
        case.hosts = case.net.ranked_hosts(1, &flow);
        let balancer = || Balancer {
            rosters: vec![1],
            ..Balancer::default()
        };
        case.net.balancers = vec![balancer(), balancer()];
        case
    }

    // Every agent adopts the new roster; a balancer learns it in a `learn` step.
    fn publish(&mut self) {
        let member = |index: &usize| (*index, HostState::Serving, 1);
        let members: Vec<_> = self.present.iter().map(member).collect();
        self.net.add_roster(&members);
        let roster = Arc::clone(self.net.rosters.last().unwrap());
        for index in 0..3 {
            self.net.event(index, Event::Roster(Arc::clone(&roster)));
        }
    }

    fn host(&self, name: &str) -> usize {
        let offset = ["a", "b", "c"].iter().position(|known| *known == name);
        self.hosts[offset.expect("host a, b or c")]
    }

    fn apply(&mut self, step: &str) {
        let (verb, rest) = step.split_once(' ').unwrap_or((step, ""));
        let flow = self.flow;
        let number = rest.parse().unwrap_or(0);
        match verb {
            "open" => self.net.inject(number, flow, Body::Open),
            "close" => {
                self.net.callers.get_mut(&flow).unwrap().closing = true;
                self.net.inject(number, flow, Body::Close);
            }
            "message" => self.net.message(0, flow, number),
            "run" => self.net.run(0),
            "step" => {
                let message = self.net.wire.pop_front().unwrap();
                self.net.arrive(0, message);
            }
            "lose" | "arrive" => self.take_first(verb, rest),
            "busy" => self.set_wait(rest, 50),
            "idle" => self.set_wait(rest, 0),
            "drain" => self.net.event(self.host(rest), Event::Drain),
            "without" => {
                let host = self.host(rest);
                self.present.retain(|index| *index != host);
                self.publish();
            }
            "with" => {
                self.present.push(self.host(rest));
                self.publish();
            }
            "learn" => {
                let newest = self.net.rosters.len();
                self.net.balancers[number].rosters.insert(0, newest);
            }
            "reply" => self.net.reply_all(),
            "time" => {
                for _ in 0..number * 10 {
                    self.net.advance(0, Span::from_millis(100));
                    self.net.run(0);
                }
            }
            "restart" => {
                let host = self.host(rest);
                self.net.start(host);
                let roster = Arc::clone(self.net.rosters.last().unwrap());
                self.net.event(host, Event::Roster(roster));
            }
            "adopted" => {
                let version = Version::new(self.net.rosters.len() as u64);
                self.net.event(self.host(rest), Event::Adopted(version));
            }
            "foreign" | "outdated" => {
                let mut relay = self.net.route(0, flow, Body::Open);
                if verb == "foreign" {
                    relay.service = "other".parse().unwrap();
                } else {
                    relay.generation = Generation::new(1);
                }
                self.net.event(self.hosts[0], Event::Relay(relay));
            }
            _ => panic!("unknown step {step}"),
        }
    }

    fn set_wait(&mut self, name: &str, millis: u64) {
        self.net
            .event(self.host(name), Event::Wait(Span::from_millis(millis)));
    }

    fn take_first(&mut self, verb: &str, kind: &str) {
        let offset = self
            .net
            .wire
            .iter()
            .position(|message| message.kind() == kind);
        let message = self.net.wire.remove(offset.expect(kind)).unwrap();
        if verb == "lose" {
            self.net.lose(message);
        } else {
            self.net.arrive(0, message);
        }
    }

    fn check(&self, expected: &str) -> bool {
        let (property, rest) = expected.split_once(' ').unwrap();
        let caller = &self.net.callers[&self.flow];
        let equals = |count: usize| count.to_string() == rest;
        match property {
            "accepted" => equals(self.net.accepted.values().sum::<u32>() as usize),
            "delivered" => equals(self.net.delivered.values().sum::<u32>() as usize),
            "held" => equals(self.net.held()),
            "replied" => equals(caller.replies.len()),
            "reset" => equals(usize::from(caller.reset)),
            "holder" => {
                let host = self.host(rest);
                self.net.held() == 1 && self.net.tables[host].as_ref().unwrap().flows() == 1
            }
            "count" => {
                let (host, name) = rest.split_once(' ').unwrap();
                let host = self.host(host);
                let mut counters = self.net.counters.keys();
                counters.any(|(index, counter)| *index == host && format!("{counter:?}") == name)
            }
            _ => panic!("unknown expectation {expected}"),
        }
    }
}

// Guards against the faults named in the `guards` fields of `faults.json`.
#[test]
fn fault_cases() {
    let rows: Vec<Value> = serde_json::from_str(include_str!("faults.json")).unwrap();
    let mut failures = Vec::new();
    for row in rows {
        let texts = |name: &str| -> Vec<String> {
            let list = row[name].as_array().unwrap().iter();
            list.map(|text| text.as_str().unwrap().to_owned()).collect()
        };
        let mut case = Case::new();
        for step in texts("steps") {
            case.apply(&step);
        }
        for expected in texts("expect") {
            if !case.check(&expected) {
                let counts = (case.net.held(), &case.net.accepted, &case.net.counters);
                failures.push(format!(
                    "{}: expected {expected}, saw {counts:?}",
                    row["guards"]
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
