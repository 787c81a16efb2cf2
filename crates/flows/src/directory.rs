use std::net::SocketAddrV4;

use indexmap::IndexMap;
use usher_types::{FlowId, Time, Version};

use crate::{Located, PACKET_LIFETIME};

/// Where this agent believes that a flow is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) holder: SocketAddrV4,
    pub(crate) basis: Basis,
    pub(crate) roster: Version,
    /// To whom the candidate of a hunted `Open` passes it on while draining.
    next: Option<SocketAddrV4>,
    until: Time,
}

/// What a directory entry rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Basis {
    /// An `Open` was passed on; the holder has not confirmed it.
    Hunted,
    /// The holder registered the flow or acknowledged its handover.
    Confirmed,
    /// The bucket's new owner asked for the flow and decides on it.
    Probed,
}

/// Flows that are held by other agents.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    entries: IndexMap<FlowId, Entry>,
}

impl Directory {
    pub(crate) fn find(&self, now: Time, flow: &FlowId) -> Option<Entry> {
        let entry = self.entries.get(flow)?;
        (now < entry.until).then_some(*entry)
    }

    /// Sets the holder of a flow. `roster` is the version by which it is a member.
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
            next: None,
            until,
        };
        self.entries.insert(flow, entry);
    }

    /// Names the candidate that follows the holder of a hunted flow.
    pub(crate) fn set_next(&mut self, flow: &FlowId, next: Option<SocketAddrV4>) {
        if let Some(entry) = self.entries.get_mut(flow) {
            entry.next = next;
        }
    }

    /// Extends an entry that is in use.
    pub(crate) fn touch(&mut self, flow: &FlowId, until: Time) {
        if let Some(entry) = self.entries.get_mut(flow) {
            entry.until = entry.until.max(until);
        }
    }

    pub(crate) fn remove(&mut self, flow: &FlowId) {
        self.entries.swap_remove(flow);
    }

    /// Lets an entry expire after the packet lifetime, so that a late `Open` finds it.
    pub(crate) fn retire(&mut self, now: Time, flow: &FlowId, holder: SocketAddrV4) {
        if let Some(entry) = self.entries.get_mut(flow)
            && entry.holder == holder
        {
            entry.until = entry.until.min(now + PACKET_LIFETIME);
        }
    }

    /// Drops entries of holders that have left under a roster version.
    ///
    /// A draining agent passes a hunted `Open` on to the next candidate and leaves before that one
    /// registers, so a note of a hunt names the next candidate instead.
    pub(crate) fn retain(
        &mut self,
        roster: Version,
        remains: impl Fn(SocketAddrV4) -> bool,
        next: impl Fn(&FlowId) -> Option<SocketAddrV4>,
    ) {
        self.entries.retain(|flow, entry| {
            if entry.roster > roster || remains(entry.holder) {
                return true;
            }
            let passed_on = entry.next.take().filter(|agent| remains(*agent));
            match passed_on.or_else(|| next(flow)) {
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

    /// Entries that the next owners of their buckets need.
    pub(crate) fn located(&self, now: Time) -> Vec<Located> {
        self.entries
            .iter()
            .filter(|(_, entry)| now < entry.until && entry.basis != Basis::Probed)
            .map(|(flow, entry)| Located {
                flow: *flow,
                holder: entry.holder,
            })
            .collect()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
