use std::net::SocketAddrV4;

use indexmap::IndexMap;
use usher_types::{FlowId, Time, Version};

use crate::{FlowLocation, PACKET_LIFETIME};

/// The last known holder of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) holder: SocketAddrV4,
    pub(crate) basis: Basis,
    pub(crate) roster: Version,
    /// Agent to which a draining holder forwards a hunted `Open`.
    next_candidate: Option<SocketAddrV4>,
    until: Time,
}

/// How the holder in a directory entry became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Basis {
    /// This agent forwarded an `Open`; the holder has not confirmed the flow.
    Hunted,
    /// The holder registered the flow or acknowledged its handover.
    Confirmed,
    /// The bucket's new owner sent a probe for the flow and decides which agent opens it.
    Probed,
}

/// Holders of flows that other agents hold.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    entries: IndexMap<FlowId, Entry>,
}

impl Directory {
    pub(crate) fn find(&self, now: Time, flow: &FlowId) -> Option<Entry> {
        let entry = self.entries.get(flow)?;
        (now < entry.until).then_some(*entry)
    }

    /// Sets the holder of a flow, which is a member under roster version `roster`.
    pub(crate) fn set(
        &mut self,
        flow: FlowId,
        holder: SocketAddrV4,
        basis: Basis,
        roster: Version,
        until: Time,
    ) {
        let entry = Entry {
            holder,
            basis,
            roster,
            next_candidate: None,
            until,
        };
        self.entries.insert(flow, entry);
    }

    /// Sets the candidate that follows the holder of a hunted flow.
    pub(crate) fn set_next_candidate(
        &mut self,
        flow: &FlowId,
        next_candidate: Option<SocketAddrV4>,
    ) {
        if let Some(entry) = self.entries.get_mut(flow) {
            entry.next_candidate = next_candidate;
        }
    }

    /// Extends the lifetime of an entry that is in use.
    pub(crate) fn touch(&mut self, flow: &FlowId, until: Time) {
        if let Some(entry) = self.entries.get_mut(flow) {
            entry.until = entry.until.max(until);
        }
    }

    pub(crate) fn remove(&mut self, flow: &FlowId) {
        self.entries.swap_remove(flow);
    }

    /// Shortens an entry to the packet lifetime; a late `Open` still finds it.
    pub(crate) fn retire(&mut self, now: Time, flow: &FlowId, holder: SocketAddrV4) {
        if let Some(entry) = self.entries.get_mut(flow)
            && entry.holder == holder
        {
            entry.until = entry.until.min(now + PACKET_LIFETIME);
        }
    }

    /// Drops entries whose holder is no longer a member under a newly adopted roster.
    ///
    /// A draining agent forwards a hunted `Open` to the next candidate and may leave before that
    /// candidate registers. A `Hunted` entry is therefore changed to name the next candidate.
    pub(crate) fn retain(
        &mut self,
        roster: Version,
        remains: impl Fn(SocketAddrV4) -> bool,
        successor: impl Fn(&FlowId) -> Option<SocketAddrV4>,
    ) {
        self.entries.retain(|flow, entry| {
            if entry.roster > roster || remains(entry.holder) {
                return true;
            }
            let passed_to = entry.next_candidate.take().filter(|agent| remains(*agent));
            match passed_to.or_else(|| successor(flow)) {
                Some(holder) if entry.basis == Basis::Hunted => {
                    entry.holder = holder;
                    true
                }
                _ => false,
            }
        });
    }

    pub(crate) fn sweep(&mut self, now: Time) {
        self.entries.retain(|_, entry| now < entry.until);
    }

    /// Entries to hand to the next owners of their buckets.
    pub(crate) fn locations(&self, now: Time) -> Vec<FlowLocation> {
        self.entries
            .iter()
            .filter(|(_, entry)| now < entry.until && entry.basis != Basis::Probed)
            .map(|(flow, entry)| FlowLocation {
                flow: *flow,
                holder: entry.holder,
            })
            .collect()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
