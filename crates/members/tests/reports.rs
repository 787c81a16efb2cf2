//! Reports of silent members when there are more than one heartbeat lists.

mod common;

use common::{adopt, agent, at, beat, host, member, roster};
use usher_members::{Action, Event};
use usher_types::{HostId, Peer};

const MEMBERS: usize = 120;
// These fall silent; fewer than half, so that the view is trusted.
const SILENT: std::ops::Range<usize> = 70..120;

/// Guards against members that are gone and that no heartbeat reports, because others are gone too.
#[test]
fn all_members_of_a_failed_rack_are_suspected_together() {
    let mut agent = agent(0);
    agent.handle(at(0), Event::Join(member(0)));
    adopt(&mut agent, at(0), &roster(1, 0..MEMBERS));
    let mut suspected = Vec::new();
    // What the other members report: they see the same silence.
    let mut reported: Vec<HostId> = Vec::new();
    for second in 0..=6 {
        for index in 1..SILENT.start {
            let event = beat(Peer::Host(host(index)), at(second), reported.clone());
            agent.handle(at(second), event);
        }
        for action in agent.handle(at(second), Event::Tick) {
            match action {
                Action::Suspected { hosts, .. } => suspected = hosts,
                Action::Beat { beat, .. } => reported = hosts_of(beat.suspects),
                _ => {}
            }
        }
    }
    assert_eq!(suspected.len(), SILENT.len());
    assert_eq!(suspected, SILENT.map(host).collect::<Vec<_>>());
}

fn hosts_of(suspects: Vec<Peer>) -> Vec<HostId> {
    let hosts = suspects.into_iter().filter_map(|suspect| match suspect {
        Peer::Host(host) => Some(host),
        Peer::Instance(_) => None,
    });
    hosts.collect()
}
