use std::sync::Arc;

use usher_dedupe::{Agent, Claimant, Ledger, Origin};
use usher_types::{BeatAck, Incarnation, Peer, Roster, Time, Version};

use crate::fixture::{address, host_id, index_of};

/// One agent process with its own clock.
pub struct Process {
    pub agent: Agent,
    pub ledger: Ledger,
    pub claimant: Claimant,
    pub roster: Option<Arc<Roster>>,
    pub resume_at: u64,
    wake_at: u64,
}

impl Process {
    pub fn new(host: usize, incarnation: u64, origin: Origin) -> Self {
        let agent = Agent {
            host: host_id(host),
            incarnation: Incarnation::new(incarnation),
        };
        Self {
            ledger: Ledger::new(agent.clone(), origin),
            claimant: Claimant::new(agent.clone(), address(&agent.host)),
            agent,
            roster: None,
            resume_at: 0,
            wake_at: 0,
        }
    }

    pub fn clock(&self, now: u64) -> Time {
        clock_of(index_of(&self.agent.host), now)
    }

    pub fn version(&self) -> Version {
        self.roster
            .as_ref()
            .map_or(Version::default(), |roster| roster.version)
    }

    pub fn peers(&self) -> impl Iterator<Item = usize> + '_ {
        let members = self.roster.iter().flat_map(|roster| roster.members.keys());
        members
            .filter(|host| **host != self.agent.host)
            .map(index_of)
    }

    /// Acknowledges a beat if this process is a member; a new one may know only an older roster.
    pub fn acknowledge(&self, sent: Time) -> Option<BeatAck> {
        let roster = self.roster.as_ref()?;
        let member = roster.members.get(&self.agent.host)?;
        (member.incarnation == self.agent.incarnation).then(|| BeatAck {
            from: Peer::Host(self.agent.host.clone()),
            roster: roster.version,
            revision: Version::default(),
            sent,
        })
    }

    /// When to wake the process, if that is earlier than already planned.
    pub fn next_wake(&mut self, now: u64) -> Option<u64> {
        let timers = [self.ledger.next_timer(), self.claimant.next_timer()];
        let timer = timers.into_iter().flatten().min()?;
        let local = (timer - self.clock(now)).as_micros();
        let at = now + local + local / 100 + 1;
        if self.wake_at > now && self.wake_at <= at {
            return None;
        }
        self.wake_at = at;
        Some(at)
    }
}

/// Reads a host's clock, which outlives its agents.
///
/// The rates of the clocks differ by at most 1 %, their offsets by days.
pub fn clock_of(host: usize, now: u64) -> Time {
    let rate = 0.995 + 0.001 * (host * 7 % 10) as f64;
    Time::from_micros((now as f64 * rate) as u64 + host as u64 * 1_000_000_000_000)
}
