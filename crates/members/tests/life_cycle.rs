//! Life cycle of the process's own host and the roster changes that it proposes.

mod common;

use assert_matches::assert_matches;
use common::{adopt, agent, at, beat, host, member, roster};
use usher_members::{Action, Change, Event, HostLifecycle, Membership, Proposal};
use usher_types::{HostState, Incarnation, Peer, Roster, Version};

fn proposals(membership: &mut Membership, from: u64, to: u64) -> Vec<Proposal> {
    let mut found = Vec::new();
    for second in from..to {
        for action in membership.handle(at(second), Event::Tick) {
            if let Action::Propose(proposal) = action {
                found.push(proposal);
            }
        }
    }
    found
}

fn write(proposal: &Proposal, roster: &Roster) -> Roster {
    let mut written = proposal.apply(roster).expect("the base version matches");
    written.version = roster.version.next();
    written
}

/// Guards against a host that is listed without joining, or leaves without draining.
#[test]
fn a_host_joins_drains_and_leaves() {
    let mut agent = agent(0);
    let empty = Roster::default();
    agent.handle(at(0), Event::Join(member(0)));
    assert!(
        proposals(&mut agent, 0, 3).is_empty(),
        "no roster was read yet"
    );

    let others = roster(1, 1..3);
    adopt(&mut agent, at(3), &others);
    let join = proposals(&mut agent, 4, 6).remove(0);
    assert!(join.apply(&empty).is_none(), "the base version differs");
    let joined = write(&join, &others);
    adopt(&mut agent, at(6), &joined);
    assert_matches!(agent.lifecycle(), HostLifecycle::Serving(_));

    agent.handle(at(7), Event::Leave);
    assert_matches!(agent.lifecycle(), HostLifecycle::Serving(_));
    agent.handle(at(7), Event::Drain);
    let drain = proposals(&mut agent, 8, 10).remove(0);
    let drained = write(&drain, &joined);
    assert_eq!(drained.members[&host(0)].state, HostState::Draining);
    adopt(&mut agent, at(10), &drained);
    assert!(proposals(&mut agent, 11, 20).is_empty());

    agent.handle(at(20), Event::Leave);
    let leave = proposals(&mut agent, 21, 23).remove(0);
    let left = write(&leave, &drained);
    assert!(!left.members.contains_key(&host(0)));
    adopt(&mut agent, at(23), &left);
    assert!(proposals(&mut agent, 24, 40).is_empty());
}

/// Guards against a join that is lost to a write conflict, and against writes to a store that is down.
#[test]
fn a_join_is_repeated_on_the_newest_version_but_not_while_the_store_is_down() {
    let mut agent = agent(0);
    agent.handle(at(0), Event::Join(member(0)));
    adopt(&mut agent, at(0), &roster(1, 1..3));
    assert_eq!(proposals(&mut agent, 1, 2)[0].base, Version::new(1));
    adopt(&mut agent, at(2), &roster(2, 1..4));
    agent.handle(at(2), Event::StoreDown);
    assert!(proposals(&mut agent, 2, 30).is_empty());
    agent.handle(at(30), Event::StoreUp);
    assert_eq!(proposals(&mut agent, 30, 32)[0].base, Version::new(2));
    assert!(
        proposals(&mut agent, 32, 40).len() >= 2,
        "retried until listed"
    );
}

/// Guards against a live host that stays out of its service after a wrong removal.
#[test]
fn a_host_that_was_removed_joins_again() {
    let mut agent = agent(0);
    agent.handle(at(0), Event::Join(member(0)));
    adopt(&mut agent, at(0), &roster(1, 0..3));
    adopt(&mut agent, at(5), &roster(2, 1..3));
    assert_matches!(agent.lifecycle(), HostLifecycle::Announced(_));
    assert_matches!(proposals(&mut agent, 6, 8)[0].change, Change::Join { .. });
}

/// Guards against a roster that goes back to an older version.
#[test]
fn an_older_roster_is_ignored() {
    let mut agent = agent(0);
    agent.handle(at(0), Event::Join(member(0)));
    adopt(&mut agent, at(0), &roster(2, 0..3));
    adopt(&mut agent, at(1), &roster(1, 1..3));
    assert_matches!(agent.lifecycle(), HostLifecycle::Serving(_));
}

/// Guards against a removal that takes out the successor of a dead process.
#[test]
fn a_removal_spares_a_later_incarnation() {
    let mut restarted = roster(4, 0..3);
    restarted.members[&host(1)].incarnation = Incarnation::new(2);
    let proposal = |incarnation| Proposal {
        service: common::service(),
        base: Version::new(4),
        change: Change::Remove {
            hosts: vec![(host(1), Incarnation::new(incarnation))],
        },
    };
    let kept = proposal(1).apply(&restarted).unwrap();
    assert!(kept.members.contains_key(&host(1)));
    let removed = proposal(2).apply(&restarted).unwrap();
    assert!(!removed.members.contains_key(&host(1)));
}

fn acknowledges(membership: &mut Membership, second: u64) -> bool {
    let beat = beat(Peer::Host(host(1)), at(second), vec![]);
    let actions = membership.handle(at(second), beat);
    actions
        .iter()
        .any(|action| matches!(action, Action::Ack { .. }))
}

/// Guards against an old lease that a member renews after it adopted a newer roster.
#[test]
fn a_heartbeat_of_an_older_roster_is_not_acknowledged() {
    let mut agent = agent(0);
    agent.handle(at(0), Event::Join(member(0)));
    adopt(&mut agent, at(0), &roster(1, 0..3));
    assert!(acknowledges(&mut agent, 1));
    adopt(&mut agent, at(2), &roster(2, 0..3));
    assert!(!acknowledges(&mut agent, 3));
}

/// Guards against a restarted process that renews a lease that its predecessor had released.
#[test]
fn an_unlisted_process_acknowledges_no_lease() {
    let mut agent = agent(0);
    let mut restarted = member(0);
    restarted.incarnation = Incarnation::new(2);
    agent.handle(at(0), Event::Join(restarted));
    adopt(&mut agent, at(0), &roster(1, 0..3));
    assert!(!acknowledges(&mut agent, 1));
}

/// Guards against acting on heartbeats and reports of a host of another service.
#[test]
fn a_foreign_host_is_neither_acknowledged_nor_counted() {
    let mut agent = agent(0);
    adopt(&mut agent, at(0), &roster(1, 0..3));
    let foreign = Peer::Host("stranger".parse().unwrap());
    assert!(
        agent
            .handle(at(1), beat(foreign, at(1), vec![host(1)]))
            .is_empty()
    );
}
