use indexmap::{IndexMap, IndexSet};

use super::flow_search::FlowSearch;
use super::view::{HostView, RoutingView};
use crate::{Candidates, FlowKey, HostState, NodeId, ServiceKey};

// Agents that one packet visits alone, with a copy each. Further ones are visited in chains.
const MAX_ALONE: usize = Candidates::MAX;

/// The first `length` hosts of a service for a flow, by rendezvous hashing.
///
/// Balancers whose views differ by a few hosts still get nearly the same list.
pub(crate) fn shortlist<'a>(
    hosts: impl IntoIterator<Item = &'a HostView>,
    flow: &FlowKey,
    length: usize,
) -> Vec<&'a HostView> {
    let hosts = hosts.into_iter();
    let present = hosts.filter(|host| host.state != HostState::Ended);
    let mut list: Vec<&HostView> = present.collect();
    list.sort_by_cached_key(|host| score(flow, host.node));
    list.truncate(length);
    list
}

/// The agents that a packet of a searched flow visits one after the other; empty when all were visited.
///
/// Those of the route's services come first, then all others, and silent agents last.
pub(crate) fn next_agents(view: &RoutingView, flow: &FlowKey, search: &FlowSearch) -> Candidates {
    let hosts = unvisited(view, flow, search, Candidates::MAX, |_| false);
    chain(hosts.iter().map(|host| host.node))
}

/// The chains of agents that copies of a packet visit at the same time, up to `room` agents in all.
///
/// A chain ends at the first agent that loses its copy, so it stays within one data centre: a link between
/// two others then hides no agent. Agents that are about to stop, and those that have not returned an
/// earlier copy, are each visited alone. `local` is the balancer, since the order in a chain differs
/// between balancers: an agent that loses packets hides others from each of them.
///
/// After a start of all machines (`together`) most flows are gone and very many are searched for, so the
/// first chains are as long as possible, and later ones pass between data centres.
pub(crate) fn next_chains(
    view: &RoutingView,
    flow: &FlowKey,
    search: &FlowSearch,
    room: usize,
    local: NodeId,
    together: bool,
) -> Vec<Candidates> {
    if room == 0 {
        return Vec::new();
    }
    let longest = together && search.visited() == 0;
    let wanted = if longest {
        usize::MAX
    } else {
        room.saturating_add(search.unanswered())
    };
    let is_in_flight = |node| search.is_in_flight(node);
    let hosts = unvisited(view, flow, search, wanted, is_in_flight);
    let (mut asked, mut fresh): (Vec<_>, Vec<_>) = hosts
        .into_iter()
        .partition(|host| search.is_unanswered(host.node));
    // Others come first with each copy, if there are too many.
    let attempts = u64::from(search.attempts()) << u32::BITS;
    asked.sort_by_cached_key(|host| flow.hash(address_bits(host.node) | attempts));
    let again = asked.split_off(asked.len().min(MAX_ALONE));
    fresh.extend(again);
    if !longest {
        // Agents that never answer must not keep others from being visited.
        fresh.truncate(room.saturating_sub(asked.len()).max(room / 2));
    }
    let (leaving, mut fresh): (Vec<_>, Vec<_>) = fresh
        .into_iter()
        .partition(|host| host.state == HostState::Draining);
    let seed = address_bits(local) << u32::BITS;
    fresh.sort_by_cached_key(|host| flow.hash(address_bits(host.node) | seed));
    let mut alone: Vec<&HostView> = asked.into_iter().chain(leaving).collect();
    fresh.extend(alone.split_off(alone.len().min(MAX_ALONE)));
    let mut groups: IndexMap<(bool, u16), Vec<NodeId>> = IndexMap::new();
    for host in fresh {
        let key = (!host.same_centre, host.centre);
        let mixed = together && !longest;
        let group = groups.entry(if mixed { (false, 0) } else { key });
        group.or_default().push(host.node);
    }
    groups.sort_unstable_keys();
    if longest {
        for group in groups.values_mut() {
            group.truncate(Candidates::MAX);
        }
    }
    let grouped = groups
        .values()
        .flat_map(|group| group.chunks(Candidates::MAX))
        .map(|nodes| chain(nodes.iter().copied()));
    let alone = alone.iter().map(|host| chain([host.node]));
    grouped.chain(alone).collect()
}

// The first agents that have not returned a packet of the flow, without those that are `excluded`.
//
// Silent agents come last: most of them are dead, and lose a packet.
fn unvisited<'a>(
    view: &'a RoutingView,
    flow: &FlowKey,
    search: &FlowSearch,
    wanted: usize,
    excluded: impl Fn(NodeId) -> bool,
) -> Vec<&'a HostView> {
    if search.is_full() {
        return Vec::new();
    }
    let services: IndexSet<ServiceKey> = view.holders(&flow.address).collect();
    let latest = view.latest_report();
    let (mut live, mut silent) = (Vec::new(), Vec::new());
    for service in services {
        let hosts = view.hosts(service);
        let mut list = shortlist(hosts, flow, hosts.len());
        if list.len() <= Candidates::MAX {
            // One packet visits all of them. New flows prefer this data centre, so begin there.
            list.sort_by_key(|host| !host.same_centre);
        }
        let skipped = |host: &HostView| {
            search.has_visited(host.node)
                || excluded(host.node)
                || view.is_known_absent(latest, host)
        };
        for host in list.into_iter().filter(|host| !skipped(host)) {
            if host.is_suspected(latest) {
                silent.push(host);
            } else {
                live.push(host);
            }
        }
        if live.len() >= wanted {
            break;
        }
    }
    if live.iter().all(|host| search.is_unanswered(host.node)) {
        live.extend(silent);
    }
    live.truncate(wanted);
    live
}

fn chain(nodes: impl IntoIterator<Item = NodeId>) -> Candidates {
    let mut candidates = Candidates::default();
    for node in nodes {
        candidates.push(node);
    }
    candidates
}

fn address_bits(node: NodeId) -> u64 {
    u64::from(u32::from(node.address()))
}

// Hosts with a lower score come first.
fn score(flow: &FlowKey, node: NodeId) -> u64 {
    flow.hash(address_bits(node))
}
