//! Which processes receive the heartbeats of an agent and of a balancer.

mod common;

use std::net::SocketAddrV4;
use std::sync::Arc;

use common::{SEED, adopt, agent, at, beat, host, member, roster};
use rand_pcg::Pcg64;
use usher_members::{Action, Event, Identity, Membership};
use usher_types::{Balancer, Fleet, Incarnation, Peer, Version};

const FLEET: usize = 8;
const HOSTS: usize = 12;

fn control(index: usize) -> SocketAddrV4 {
    format!("127.0.0.2:{}", 7_000 + index).parse().unwrap()
}

fn fleet() -> Event {
    let balancer = |index| Balancer {
        incarnation: Incarnation::new(1),
        control: control(index),
        admin: control(index + 100),
    };
    let named = |index| (format!("b{index}").parse().unwrap(), balancer(index));
    let fleet = Fleet {
        version: Version::new(1),
        balancers: (0..FLEET).map(named).collect(),
    };
    Event::Fleet {
        centre: "kolkata".parse().unwrap(),
        fleet: Arc::new(fleet),
    }
}

fn balancer(index: usize) -> Membership {
    let identity = Identity::Balancer {
        instance: format!("b{index}").parse().unwrap(),
        centre: "kolkata".parse().unwrap(),
        incarnation: Incarnation::new(1),
    };
    let mut membership = Membership::new(identity, Box::new(Pcg64::new(SEED, 1)));
    membership.handle(at(0), fleet());
    adopt(&mut membership, at(0), &roster(1, 0..HOSTS));
    membership
}

fn targets(actions: &[Action]) -> Vec<SocketAddrV4> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Beat { to, .. } => Some(to.clone()),
        _ => None,
    });
    sent.flatten().collect()
}

fn reported(actions: &[Action]) -> Vec<Peer> {
    let sent = actions.iter().find_map(|action| match action {
        Action::Beat { beat, .. } => Some(beat.suspects.clone()),
        _ => None,
    });
    sent.unwrap_or_default()
}

fn chosen(index: usize) -> Vec<usize> {
    let mut agent = agent(index);
    agent.handle(at(0), fleet());
    agent.handle(at(0), Event::Join(member(index)));
    adopt(&mut agent, at(0), &roster(1, 0..HOSTS));
    let to = targets(&agent.handle(at(0), Event::Tick));
    assert_eq!(
        to.len(),
        3 + HOSTS - 1,
        "three balancers and all other members"
    );
    (0..FLEET).filter(|b| to.contains(&control(*b))).collect()
}

// The balancer's heartbeats after all hosts but one sent theirs for four seconds.
fn beats_without(silent: usize, index: usize) -> Vec<Action> {
    let mut balancer = balancer(index);
    let mut last = Vec::new();
    for second in 0..=4 {
        for other in (0..HOSTS).filter(|other| *other != silent) {
            let from = Peer::Host(host(other));
            balancer.handle(at(second), beat(from, at(second), vec![]));
        }
        last = balancer.handle(at(second), Event::Tick);
    }
    last
}

/// Guards against a balancer that reports hosts which never send to it, or misses those that do,
/// and against a service of two in which the live member never gets a second report.
#[test]
fn the_three_balancers_a_host_sends_to_report_its_silence() {
    for silent in 0..HOSTS {
        let receivers = chosen(silent);
        assert_eq!(receivers.len(), 3);
        for index in 0..FLEET {
            let beats = beats_without(silent, index);
            let recipients = targets(&beats);
            let other = member((silent + 1) % HOSTS).agent;
            if receivers.contains(&index) {
                assert_eq!(reported(&beats), [Peer::Host(host(silent))]);
                assert!(recipients.contains(&other) && !recipients.contains(&control(index)));
            } else {
                assert!(reported(&beats).is_empty());
                assert_eq!(recipients.len(), FLEET - 1, "the other balancers only");
            }
        }
    }
}
