//! The nodes that successive hello messages list while the fleet changes.

use std::collections::HashSet;

use proptest::prelude::*;
use usher_forwarding::{HelloRotation, NodeId};

const LENGTH: usize = 64;
// Nodes of the fleet that joins and leaves.
const NODES: usize = 400;

fn node(number: usize) -> NodeId {
    NodeId::new([10, 1, (number / 256) as u8, (number % 256) as u8].into())
}

// Nodes that `rounds` successive lists name.
fn listed(rotation: &mut HelloRotation, nodes: &[NodeId], rounds: usize) -> HashSet<NodeId> {
    let mut listed = HashSet::new();
    for _ in 0..rounds {
        rotation.advance(nodes.iter().copied());
        listed.extend(rotation.list(nodes.iter().copied()));
    }
    listed
}

/// Guards against half of a fleet of 128 balancers that no hello to balancers lists.
#[test]
fn successive_lists_cover_a_fleet_of_any_size() {
    for count in 1..=600 {
        let nodes: Vec<NodeId> = (0..count).map(node).collect();
        let rounds = count.div_ceil(LENGTH);
        let mut rotation = HelloRotation::new(LENGTH);
        let listed = listed(&mut rotation, &nodes, rounds);
        assert_eq!(listed.len(), count, "{count} nodes in {rounds} lists");
    }
}

/// Guards against two messages of one round that list different nodes.
///
/// Receivers of every second message would never hear of the others.
#[test]
fn all_messages_of_a_round_list_the_same_nodes() {
    let nodes: Vec<NodeId> = (0..200).map(node).collect();
    let mut rotation = HelloRotation::new(LENGTH);
    rotation.advance(nodes.iter().copied());
    let first = rotation.list(nodes.iter().copied());
    assert_eq!(rotation.list(nodes.iter().copied()), first);
    rotation.advance(nodes.iter().copied());
    assert_ne!(rotation.list(nodes.iter().copied()), first);
}

#[derive(Debug, Clone)]
enum Change {
    Join(usize),
    Leave(usize),
}

fn changes() -> impl Strategy<Value = Vec<Vec<Change>>> {
    let change = prop_oneof![
        (0..NODES).prop_map(Change::Join),
        (0..NODES).prop_map(Change::Leave),
    ];
    let round = prop::collection::vec(change, 0..20);
    prop::collection::vec(round, NODES.div_ceil(LENGTH))
}

proptest! {
    /// Guards against a node that no list names for long while nodes join and leave.
    #[test]
    fn every_node_is_listed_in_time_while_nodes_join_and_leave(
        present in prop::collection::hash_set(0..NODES, 0..NODES),
        changes in changes(),
        shuffle in any::<u64>(),
    ) {
        let mut present = present;
        let mut rotation = HelloRotation::new(LENGTH);
        let mut unlisted: HashSet<usize> = present.clone();
        for round in changes {
            let mut order: Vec<usize> = present.iter().copied().collect();
            order.sort_by_key(|number| (*number as u64).wrapping_mul(shuffle | 1));
            let nodes: Vec<NodeId> = order.into_iter().map(node).collect();
            rotation.advance(nodes.iter().copied());
            let list = rotation.list(nodes.iter().copied());
            prop_assert_eq!(list.len(), nodes.len().min(LENGTH));
            unlisted.retain(|number| !list.contains(&node(*number)));
            for change in round {
                match change {
                    Change::Join(number) => present.insert(number),
                    Change::Leave(number) => {
                        unlisted.remove(&number);
                        present.remove(&number)
                    }
                };
            }
        }
        prop_assert!(unlisted.is_empty(), "{:?} were present but not listed", unlisted);
    }
}
