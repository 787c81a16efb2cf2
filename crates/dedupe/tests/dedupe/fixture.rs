use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use usher_dedupe::Agent;
use usher_types::{
    HostId, HostState, Member, Outcome, Payload, Refusal, Roster, Span, Time, Version, Weight,
};

const FIRST_PORT: u16 = 7_000;

/// Time of a table's first step.
pub const START: Time = Time::from_micros(10_000_000_000);

pub fn host_id(index: usize) -> HostId {
    format!("h{index}").parse().expect("a valid name")
}

pub fn index_of(host: &HostId) -> usize {
    host.as_str()[1..]
        .parse()
        .expect("a host id of the form h<number>")
}

pub fn index(address: SocketAddrV4) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

pub fn address(host: &HostId) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, FIRST_PORT + index_of(host) as u16)
}

/// An agent written as `host#incarnation`.
pub fn agent(text: &str) -> Agent {
    let (host, incarnation) = text.split_once('#').expect("host#incarnation");
    Agent {
        host: host.parse().expect("a host id"),
        incarnation: incarnation.parse().expect("an incarnation"),
    }
}

pub fn member(agent: &Agent) -> Member {
    Member {
        incarnation: agent.incarnation,
        agent: address(&agent.host),
        admin: address(&agent.host),
        centre: "riga-centrs".parse().expect("a valid name"),
        weight: Weight::NOMINAL,
        state: HostState::Serving,
    }
}

pub fn roster(version: u64, agents: &[String]) -> Arc<Roster> {
    let agents = agents.iter().map(|text| agent(text));
    Arc::new(Roster {
        earlier: Vec::new(),
        version: Version::new(version),
        members: agents
            .map(|agent| (agent.host.clone(), member(&agent)))
            .collect(),
    })
}

pub fn outcome(text: &str) -> Outcome {
    match text {
        "answered" => Outcome::Answered(Payload::from(b"yes".to_vec())),
        "large" => Outcome::Answered(Payload::from(vec![0; 8 * 1024 + 1])),
        "not-run" => Outcome::NotRun {
            refusal: Refusal::Shed,
            retry: Span::ZERO,
        },
        _ => panic!("unknown outcome {text}"),
    }
}
