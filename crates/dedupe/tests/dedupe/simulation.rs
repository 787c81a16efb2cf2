use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::prelude::Rng;
use proptest::test_runner::{RngAlgorithm, TestRng};
use usher_dedupe::{
    ClaimantAction, ClaimantEvent, LedgerAction, LedgerEvent, Origin, RosterHistory,
};
use usher_types::{Attempt, BeatAck, Outcome, Peer, RequestKey, Roster, Span, Time, Version};

use crate::fixture::{host_id, index, index_of, member, outcome};
use crate::process::{Process, clock_of};

/// Microseconds in a millisecond; all `u64` times of the simulation are in microseconds.
pub const MS: u64 = 1_000;
/// Microseconds in a second.
pub const SEC: u64 = 1_000 * MS;
const PACKET_LIFETIME: u64 = 30 * SEC;
const START: u64 = 1_000 * SEC;

/// A fault or planned change, applied to one host.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Pause(u64),
    Crash,
    Start,
    Leave,
    RemoveMember,
    AddMember,
}

#[derive(Debug, Clone)]
enum Task {
    Ledger(LedgerEvent),
    Claimant(ClaimantEvent),
    ReceiveBeat(usize, Version, Time),
    ReceiveAck(BeatAck),
    Request(RequestKey, Attempt, Span),
    Tick,
    Beat,
    AdoptRoster,
    Start(RequestKey, Time),
    Fault(Fault),
}

/// Runs of each request, and the requests that were permitted.
#[derive(Debug, Default)]
pub struct Results {
    pub runs: BTreeMap<RequestKey, u32>,
    pub permits: BTreeSet<RequestKey>,
}

/// Simulates several agents in memory and in virtual time, with faults drawn from a seed.
pub struct Simulation {
    rng: TestRng,
    faulty: bool,
    now: u64,
    sequence: u64,
    tasks: BTreeMap<(u64, u64), (usize, Task)>,
    hosts: Vec<Option<Process>>,
    incarnations: Vec<u64>,
    store: Option<RosterHistory>,
    pub results: Results,
}

impl Simulation {
    /// Creates hosts, of which the first `members` join one after the other.
    pub fn new(seed: u64, hosts: usize, members: usize, faulty: bool) -> Self {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let mut simulation = Self {
            rng: TestRng::from_seed(RngAlgorithm::ChaCha, &bytes),
            faulty,
            now: START,
            sequence: 0,
            tasks: BTreeMap::new(),
            hosts: (0..hosts).map(|_| None).collect(),
            incarnations: vec![0; hosts],
            store: None,
            results: Results::default(),
        };
        for host in 0..members {
            simulation.fault(host as u64 * 100 * MS, host, Fault::Start);
        }
        simulation
    }

    pub fn fault(&mut self, at: u64, host: usize, fault: Fault) {
        self.schedule(START + at, host, Task::Fault(fault));
    }

    /// Schedules a caller's attempts for one key, `(time, host)` each; `age` counts from the first.
    pub fn request(&mut self, key: u128, attempts: &[(u64, usize)]) {
        let key = RequestKey::new(key);
        for (index, (at, host)) in attempts.iter().enumerate() {
            let age = Span::from_micros(at - attempts[0].0).scale(0.995);
            let attempt = Attempt::new(index as u16 + 1);
            let late = if self.chance(15) {
                self.below(PACKET_LIFETIME)
            } else {
                MS
            };
            self.schedule(START + at + late, *host, Task::Request(key, attempt, age));
        }
    }

    pub fn run(&mut self, span: u64) {
        while let Some(((at, _), (host, task))) = self.tasks.pop_first() {
            if at > START + span {
                return;
            }
            self.now = at;
            let resume_at = self.hosts[host].as_ref().map(|process| process.resume_at);
            match (task, resume_at) {
                (Task::Fault(fault), _) => self.apply(host, fault),
                // The backend server starts work even when its agent is paused or has crashed.
                (Task::Start(key, start_by), _) => self.start(host, key, start_by),
                (task, Some(resume_at)) if resume_at > at => self.schedule(resume_at, host, task),
                (task, Some(_)) => self.perform(host, task),
                (_, None) => {}
            }
        }
    }

    fn apply(&mut self, host: usize, fault: Fault) {
        match fault {
            Fault::Pause(span) => {
                let until = self.now + span;
                if let Some(process) = &mut self.hosts[host] {
                    process.resume_at = process.resume_at.max(until);
                }
            }
            Fault::Crash => self.hosts[host] = None,
            Fault::Start if self.hosts[host].is_none() => {
                self.incarnations[host] += 1;
                let created = self.store.is_none();
                let origin = if created {
                    Origin::Created
                } else {
                    Origin::Joined
                };
                let process = Process::new(host, self.incarnations[host], origin);
                self.hosts[host] = Some(process);
                self.write(host, true);
                self.perform(host, Task::AdoptRoster);
                self.perform(host, Task::Beat);
            }
            Fault::Start => {}
            Fault::Leave => {
                self.ledger(host, LedgerEvent::Drain);
                self.write(host, false);
                self.perform(host, Task::AdoptRoster);
            }
            Fault::RemoveMember => self.write(host, false),
            Fault::AddMember => self.write(host, true),
        }
    }

    // Increases the version by 3, because the versions in the store are not consecutive.
    fn write(&mut self, host: usize, present: bool) {
        let mut roster = Roster::default();
        let mut earlier = Vec::new();
        if let Some(history) = self.store.take() {
            roster = (*history.roster).clone();
            earlier = self.prune(&history);
            earlier.insert(0, history.roster);
        }
        match &self.hosts[host] {
            Some(process) if present => {
                let agent = &process.agent;
                roster.members.insert(agent.host.clone(), member(agent));
            }
            _ => {
                roster.members.shift_remove(&host_id(host));
            }
        }
        roster.version = Version::new(roster.version.get() + 3);
        self.store = Some(RosterHistory {
            roster: Arc::new(roster),
            earlier,
            complete: true,
        });
        self.announce();
    }

    // A writer that has adopted the replaced roster drops those before it that have stopped.
    fn prune(&self, history: &RosterHistory) -> Vec<Arc<Roster>> {
        let version = history.roster.version;
        let mut live = self.hosts.iter().flatten();
        let writer = live.find(|p| p.resume_at <= self.now && p.version() == version);
        let unsettled = writer.map(|p| p.ledger.unsettled(p.clock(self.now)));
        let kept = |r: &&Arc<Roster>| unsettled.as_ref().is_none_or(|u| u.contains(&r.version));
        history.earlier.iter().filter(kept).cloned().collect()
    }

    // A group of hosts may learn of a roster long after the others, or skip it.
    fn announce(&mut self) {
        let group = self.below(1 << self.hosts.len());
        let slow = self.chance(50);
        let group_lag = self.below(150 * SEC);
        for host in 0..self.hosts.len() {
            let lag = match (self.faulty, slow && group >> host & 1 == 1) {
                (false, _) => 10 * MS,
                (true, false) => self.below(5 * SEC),
                (true, true) => group_lag,
            };
            self.schedule(self.now + lag, host, Task::AdoptRoster);
        }
    }

    fn perform(&mut self, host: usize, task: Task) {
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        let clock = process.clock(self.now);
        match task {
            Task::Ledger(event) => self.ledger(host, event),
            Task::Claimant(event) => self.claimant(host, event),
            Task::Tick => {
                self.ledger(host, LedgerEvent::Tick);
                self.claimant(host, ClaimantEvent::Tick);
            }
            Task::Request(key, attempt, age) => {
                let deadline = clock + Span::from_secs(8);
                let acquire = ClaimantEvent::Acquire {
                    key,
                    attempt,
                    age,
                    deadline,
                };
                self.claimant(host, acquire);
            }
            Task::ReceiveBeat(from, roster, sent) => {
                if let Some(ack) = process.acknowledge(sent) {
                    self.send(from, &Task::ReceiveAck(ack));
                }
                let host_id = host_id(from);
                self.ledger(
                    host,
                    LedgerEvent::Adopted {
                        host: host_id,
                        roster,
                    },
                );
            }
            Task::ReceiveAck(ack) => {
                let roster = ack.roster;
                if let Peer::Host(host_id) = ack.from.clone() {
                    self.ledger(
                        host,
                        LedgerEvent::Adopted {
                            host: host_id,
                            roster,
                        },
                    );
                }
                self.ledger(host, LedgerEvent::Ack(ack));
            }
            Task::Beat => {
                let roster = process.version();
                let peers: Vec<usize> = process.peers().collect();
                for peer in peers {
                    self.send(peer, &Task::ReceiveBeat(host, roster, clock));
                }
                self.schedule(self.now + SEC, host, Task::Beat);
            }
            Task::AdoptRoster => {
                if let Some(history) = self.store.clone() {
                    let roster = Arc::clone(&history.roster);
                    process.roster = Some(Arc::clone(&roster));
                    self.ledger(host, LedgerEvent::Roster(history));
                    self.claimant(host, ClaimantEvent::Roster(roster));
                }
            }
            Task::Start(..) | Task::Fault(_) => {}
        }
    }

    fn ledger(&mut self, host: usize, event: LedgerEvent) {
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        let clock = process.clock(self.now);
        for action in process.ledger.handle(clock, event) {
            let (to, task) = match action {
                LedgerAction::ClaimReply { to, claim_reply } => (
                    index(to),
                    Task::Claimant(ClaimantEvent::ClaimReply(claim_reply)),
                ),
                LedgerAction::CompletionAck { to, completion_ack } => (
                    index(to),
                    Task::Claimant(ClaimantEvent::CompletionAck(completion_ack)),
                ),
                LedgerAction::Handover { to, transfer } => {
                    (index_of(&to), Task::Ledger(LedgerEvent::Takeover(transfer)))
                }
                LedgerAction::Acknowledge { to, roster } => {
                    let from = host_id(host);
                    let acked = LedgerEvent::TakeoverAcked { from, roster };
                    (index_of(&to), Task::Ledger(acked))
                }
                LedgerAction::Drained => {
                    self.hosts[host] = None;
                    continue;
                }
                LedgerAction::Count(_) => continue,
            };
            self.send(to, &task);
        }
        self.wake(host);
    }

    fn claimant(&mut self, host: usize, event: ClaimantEvent) {
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        let clock = process.clock(self.now);
        for action in process.claimant.handle(clock, event) {
            match action {
                ClaimantAction::Claim { to, claim } => {
                    self.send(index(to), &Task::Ledger(LedgerEvent::Claim(claim)));
                }
                ClaimantAction::Completion { to, completion } => {
                    self.send(
                        index(to),
                        &Task::Ledger(LedgerEvent::Completion(completion)),
                    );
                }
                ClaimantAction::Permit { key, start_by } => self.dispatch(host, key, start_by),
                _ => {}
            }
        }
        self.wake(host);
    }

    // A holder dispatches at once, dispatches late, or releases the grant.
    fn dispatch(&mut self, host: usize, key: RequestKey, start_by: Time) {
        self.results.permits.insert(key);
        if self.chance(20) {
            return self.report(host, key, outcome("not-run"));
        }
        let late = if self.faulty { self.below(4 * SEC) } else { MS };
        self.schedule(self.now + late, host, Task::Start(key, start_by));
    }

    // The backend server shares the host's clock and refuses work past its start deadline.
    fn start(&mut self, host: usize, key: RequestKey, start_by: Time) {
        if clock_of(host, self.now) > start_by {
            return self.report(host, key, outcome("not-run"));
        }
        *self.results.runs.entry(key).or_default() += 1;
        self.report(host, key, outcome("answered"));
    }

    fn report(&mut self, host: usize, key: RequestKey, outcome: Outcome) {
        let report = ClaimantEvent::Report { key, outcome };
        self.schedule(self.now + 10 * MS, host, Task::Claimant(report));
    }

    fn send(&mut self, to: usize, task: &Task) {
        if self.chance(10) {
            return;
        }
        let copies = if self.chance(10) { 2 } else { 1 };
        for _ in 0..copies {
            let longest = if self.chance(5) {
                PACKET_LIFETIME
            } else {
                5 * MS
            };
            let delay = MS + self.below(longest);
            self.schedule(self.now + delay, to, task.clone());
        }
    }

    fn wake(&mut self, host: usize) {
        let process = self.hosts[host].as_mut();
        if let Some(at) = process.and_then(|process| process.next_wake(self.now)) {
            self.schedule(at, host, Task::Tick);
        }
    }

    fn schedule(&mut self, at: u64, host: usize, task: Task) {
        self.sequence += 1;
        self.tasks.insert((at, self.sequence), (host, task));
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.faulty && self.below(100) < percent
    }
}
