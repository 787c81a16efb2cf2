use super::view::{HostView, View};
use crate::{Candidates, FlowKey, HostState, NodeId};

/// The hosts of a service that a flow belongs to: all of a small service, the first ones by
/// rendezvous hashing of a large one. Every balancer finds nearly the same.
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

/// The agents that one round of a search for a flow visits: those of the route's services first,
/// then all others. Empty after the last round.
pub(crate) fn round(view: &View, flow: &FlowKey, round: u8) -> Candidates {
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
            // All are visited in one round, and new flows prefer the own data centre.
            list.sort_by_key(|host| !host.near);
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

// Lower is earlier.
fn score(flow: &FlowKey, node: NodeId) -> u64 {
    flow.hash(u64::from(u32::from(node.address())))
}
