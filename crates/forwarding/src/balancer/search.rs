use super::view::{HostView, RoutingView};
use crate::{Candidates, FlowKey, HostState, NodeId};

/// The first `length` hosts of a service for a flow, by rendezvous hashing.
///
/// Balancers whose views differ by a few hosts still get nearly the same list.
pub(crate) fn shortlist<'a>(
    hosts: &'a [HostView],
    flow: &FlowKey,
    length: usize,
) -> Vec<&'a HostView> {
    let present = hosts.iter().filter(|host| host.state != HostState::Ended);
    let mut list: Vec<&HostView> = present.collect();
    list.sort_by_cached_key(|host| score(flow, host.node));
    list.truncate(length);
    list
}

/// The agents that one round of a search for a flow visits.
///
/// Those of the route's services come first, then all others. Empty after the last round.
pub(crate) fn round(view: &RoutingView, flow: &FlowKey, round: u8) -> Candidates {
    let mut candidates = Candidates::default();
    let skipped = usize::from(round) * Candidates::MAX;
    let mut seen = Vec::new();
    let mut nodes = Vec::new();
    for service in view.holders(&flow.address) {
        if seen.contains(&service) {
            continue;
        }
        seen.push(service);
        let hosts = view.hosts(service);
        let mut list = shortlist(hosts, flow, hosts.len());
        if list.len() <= Candidates::MAX {
            // One round visits all of them. New flows prefer this data centre, so begin there.
            list.sort_by_key(|host| !host.same_centre);
        }
        nodes.extend(list.iter().map(|host| host.node));
        if nodes.len() >= skipped + Candidates::MAX {
            break;
        }
    }
    for node in nodes.into_iter().skip(skipped) {
        candidates.push(node);
    }
    candidates
}

// Hosts with a lower score come first.
fn score(flow: &FlowKey, node: NodeId) -> u64 {
    flow.hash(u64::from(u32::from(node.address())))
}
