use std::fmt;

use usher_types::{Centres, Span};

use super::host_record::HostRecord;
use crate::HostState;

// Machines that lose power together run their processes again within this time of each other.
const MAX_HEAD_START: Span = Span::from_secs(5);

/// What the reports of agents show about the start of the machines.
///
/// After a start of all machines no flow from before it is left, and each agent has seen all later
/// flows of its host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FleetStart {
    /// Some machine may have run for long, or is not known.
    #[default]
    Unknown,
    /// All machines have started at about the time of this balancer.
    Together,
}

impl FleetStart {
    /// Judges all known hosts of a deployment with these data centres.
    ///
    /// Without a list of data centres there is no evidence, since one of them may be cut off.
    pub(crate) fn of<'a>(
        expected: &Centres,
        hosts: impl Iterator<Item = &'a HostRecord> + Clone,
    ) -> Self {
        let reached = expected.names().all(|centre| {
            let mut hosts = hosts.clone();
            hosts.any(|host| host.centre == *centre && host.state != HostState::Unheard)
        });
        let mut hosts = hosts;
        // Whether a host without heartbeats is absent shows later; until then the hosts do not settle.
        let fresh = hosts.all(|host| {
            let known = host.complete || host.state == HostState::Unheard;
            known && host.head_start <= MAX_HEAD_START
        });
        if !expected.is_empty() && reached && fresh {
            Self::Together
        } else {
            Self::Unknown
        }
    }

    /// Whether two head starts of an agent are judged differently.
    pub(crate) fn differs(before: Span, after: Span) -> bool {
        (before <= MAX_HEAD_START) != (after <= MAX_HEAD_START)
    }
}

impl fmt::Display for FleetStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unknown => "unknown",
            Self::Together => "together",
        })
    }
}
