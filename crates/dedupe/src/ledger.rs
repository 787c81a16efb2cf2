use std::sync::Arc;

use indexmap::IndexMap;
use usher_types::{
    Claim, ClaimReply, Completion, CompletionAck, Decision, HostId, Outcome, Refusal, RequestKey,
    Span, Time, Version,
};

use crate::action::{Counter, LedgerAction};
use crate::eligibility::Eligibility;
use crate::event::{LedgerEvent, RosterHistory};
use crate::handover::Handovers;
use crate::history::History;
use crate::lease::{Lease, Renewal};
use crate::origin::Origin;
use crate::ownership::{Agent, owner_of};
use crate::record::State;
use crate::table::Table;
use crate::transfer::Transfer;

/// Decides, as the owner of keys, which holder may dispatch a request.
///
/// ```
/// use usher_dedupe::{Agent, Ledger, LedgerEvent, Origin};
/// use usher_types::{Incarnation, Time};
/// let agent = Agent { host: "a".parse()?, incarnation: Incarnation::new(1) };
/// let mut ledger = Ledger::new(agent, Origin::Created);
/// assert!(ledger.handle(Time::ZERO, LedgerEvent::Tick).is_empty());
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug)]
pub struct Ledger {
    agent: Agent,
    history: History,
    lease: Option<Renewal>,
    table: Table,
    handovers: Handovers,
    draining: bool,
}

impl Ledger {
    /// Creates a ledger without a roster.
    ///
    /// ```
    /// use usher_dedupe::{Agent, Ledger, Origin};
    /// let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// assert!(Ledger::new(agent, Origin::Joined).is_empty());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn new(agent: Agent, origin: Origin) -> Self {
        Self {
            history: History::new(agent.clone(), origin),
            agent,
            lease: None,
            table: Table::default(),
            handovers: Handovers::default(),
            draining: false,
        }
    }

    /// Applies an event; `now` must be read after the event's message was received.
    ///
    /// ```
    /// use usher_dedupe::{Agent, Ledger, LedgerAction, LedgerEvent, Origin};
    /// use usher_types::Time;
    /// let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// let mut ledger = Ledger::new(agent, Origin::Joined);
    /// let actions = ledger.handle(Time::ZERO, LedgerEvent::Drain);
    /// assert_eq!(actions, [LedgerAction::Drained]);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn handle(&mut self, now: Time, event: LedgerEvent) -> Vec<LedgerAction> {
        let mut actions = self.advance(now);
        match event {
            LedgerEvent::Roster(roster_history) => self.adopt(now, roster_history),
            LedgerEvent::Claim(claim) => actions.extend(self.claim(now, &claim)),
            LedgerEvent::Completion(completion) => actions.extend(self.complete(now, completion)),
            LedgerEvent::Ack(ack) => {
                self.lease = self.lease.take().map(|lease| lease.acknowledge(now, &ack));
            }
            LedgerEvent::Adopted { host, roster } => self.history.adopted(now, host, roster),
            LedgerEvent::Confirmed(version) => self.history.confirm(now, version),
            LedgerEvent::Takeover(transfer) => actions.extend(self.take_over(now, transfer)),
            LedgerEvent::TakeoverAcked { from, roster } => {
                self.handovers.acknowledge(&from, roster);
            }
            LedgerEvent::Drain => self.draining = true,
            LedgerEvent::Tick => {}
        }
        actions.extend(self.handovers.transmit(now));
        if self.is_drained() {
            self.draining = false;
            actions.push(LedgerAction::Drained);
        }
        actions
    }

    /// When the ledger next needs a `Tick`.
    ///
    /// ```
    /// use usher_dedupe::{Agent, Ledger, Origin};
    /// let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// assert_eq!(Ledger::new(agent, Origin::Joined).next_timer(), None);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn next_timer(&self) -> Option<Time> {
        let timers = [
            self.table.next_due(),
            self.handovers.next_due(),
            self.history.next_prune(),
        ];
        timers.into_iter().flatten().min()
    }

    /// Earlier rosters whose owners may still grant keys.
    ///
    /// An agent that writes the next roster lists them as its earlier rosters.
    ///
    /// ```
    /// use usher_dedupe::{Agent, Ledger, Origin};
    /// use usher_types::Time;
    /// let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// assert!(Ledger::new(agent, Origin::Joined).unsettled(Time::ZERO).is_empty());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn unsettled(&self, now: Time) -> Vec<Version> {
        self.history.unsettled(now).collect()
    }

    /// Hosts that have not yet taken over records sent to them.
    ///
    /// ```
    /// use usher_dedupe::{Agent, Ledger, Origin};
    /// let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// assert!(Ledger::new(agent, Origin::Joined).unacknowledged().is_empty());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn unacknowledged(&self) -> Vec<HostId> {
        self.handovers.hosts().cloned().collect()
    }

    /// Number of records.
    ///
    /// ```
    /// use usher_dedupe::{Agent, Ledger, Origin};
    /// let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// assert_eq!(Ledger::new(agent, Origin::Joined).len(), 0);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there is no record.
    ///
    /// ```
    /// use usher_dedupe::{Agent, Ledger, Origin};
    /// let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// assert!(Ledger::new(agent, Origin::Joined).is_empty());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn advance(&mut self, now: Time) -> Vec<LedgerAction> {
        self.lease = self.lease.take().map(|lease| lease.renew(now));
        self.history.prune(now);
        let abandoned = self.table.expire(now);
        vec![LedgerAction::Count(Counter::Abandoned); abandoned]
    }

    fn adopt(&mut self, now: Time, roster_history: RosterHistory) {
        let roster = Arc::clone(&roster_history.roster);
        if !self.history.adopt(now, roster_history) {
            return;
        }
        let lease = Lease::new(self.agent.clone(), Arc::clone(&roster), now);
        self.lease = Some(lease.renew(now));
        self.handovers.clear();
        let mut records: IndexMap<HostId, Vec<_>> = IndexMap::new();
        for (key, record) in self.table.records(now) {
            if let Some(owner) = owner_of(&roster, key) {
                records.entry(owner.host).or_default().push((key, record));
            }
        }
        for (host, member) in &roster.members {
            let to = Agent {
                host: host.clone(),
                incarnation: member.incarnation,
            };
            let records = records.swap_remove(host).unwrap_or_default();
            if to != self.agent && (self.history.may_gain(&to) || !records.is_empty()) {
                let mut transfer = self.history.transfer(now, to);
                transfer.records = records;
                self.handovers.enqueue(now, transfer);
            }
        }
    }

    fn claim(&mut self, now: Time, claim: &Claim) -> Vec<LedgerAction> {
        let Some((decision, counter)) = self.decide(now, claim) else {
            return Vec::new();
        };
        let claim_reply = ClaimReply {
            key: claim.key,
            sent: claim.sent,
            decision,
        };
        let to = claim.reply;
        vec![
            LedgerAction::Count(counter),
            LedgerAction::ClaimReply { to, claim_reply },
        ]
    }

    // Claims that their holder has replaced by newer ones get no reply.
    fn decide(&mut self, now: Time, claim: &Claim) -> Option<(Decision, Counter)> {
        if !self.owns(claim.key) {
            let version = self.history.version();
            return Some((Decision::NotOwner(version), Counter::Misdirected));
        }
        let claimer = Agent {
            host: claim.holder.clone(),
            incarnation: claim.incarnation,
        };
        let decision = match self.table.get(claim.key) {
            None => return Some(self.grant(now, claim, claimer)),
            Some(State::Granted {
                holder, sent, span, ..
            }) if *holder == claimer => {
                if claim.sent > *sent {
                    return Some(self.grant(now, claim, claimer));
                }
                if claim.sent < *sent {
                    return None;
                }
                Decision::Granted(*span)
            }
            Some(State::Released {
                holder,
                sent,
                attempt,
            }) => {
                if *holder == claimer && claim.sent <= *sent {
                    return None;
                }
                if claim.attempt > *attempt {
                    return Some(self.grant(now, claim, claimer));
                }
                // Another copy of a transmission that was answered "not run" must not run.
                let refusal = Refusal::Cancelled;
                Decision::Finished(Outcome::NotRun {
                    refusal,
                    retry: Span::ZERO,
                })
            }
            Some(State::Granted { .. }) => Decision::Running,
            Some(State::Finished(outcome)) => Decision::Finished(outcome.clone()),
            Some(State::Unknown) => Decision::Unknown,
        };
        Some((decision, Counter::Duplicate))
    }

    fn grant(&mut self, now: Time, claim: &Claim, holder: Agent) -> (Decision, Counter) {
        let predecessors = self.history.predecessors(now, claim.key);
        match Eligibility::of(now, predecessors, self.lease.as_ref(), claim) {
            Eligibility::Wait(span) => (Decision::Wait(span), Counter::Deferred),
            Eligibility::Stale => (Decision::Unknown, Counter::Stale),
            Eligibility::Grantable(span) => {
                let (sent, attempt) = (claim.sent, claim.attempt);
                let state = State::Granted {
                    holder,
                    sent,
                    span,
                    attempt,
                };
                self.table.put(now, claim.key, state);
                (Decision::Granted(span), Counter::Granted)
            }
        }
    }

    fn complete(&mut self, now: Time, completion: Completion) -> Vec<LedgerAction> {
        let key = completion.key;
        if !self.owns(key) {
            return vec![LedgerAction::Count(Counter::Misdirected)];
        }
        let to = completion.reply;
        let sent = completion.sent;
        if matches!(completion.outcome, Outcome::NotRun { .. }) {
            self.release(now, completion);
        } else {
            let reported = State::of(completion.outcome);
            let state = match self.table.get(key) {
                Some(State::Finished(_)) => None,
                Some(State::Unknown) if reported == State::Unknown => None,
                _ => Some(reported),
            };
            if let Some(state) = state {
                self.table.put(now, key, state);
            }
        }
        let completion_ack = CompletionAck { key, sent };
        vec![LedgerAction::CompletionAck { to, completion_ack }]
    }

    // Only the process that holds the grant can release it.
    fn release(&mut self, now: Time, completion: Completion) {
        let releaser = Agent {
            host: completion.holder,
            incarnation: completion.incarnation,
        };
        let granted = self.table.get(completion.key);
        let Some(State::Granted {
            holder,
            sent,
            attempt,
            ..
        }) = granted
        else {
            return;
        };
        if *holder == releaser && completion.sent >= *sent {
            let state = State::Released {
                holder: releaser,
                sent: completion.sent,
                attempt: *attempt,
            };
            self.table.put(now, completion.key, state);
        }
    }

    // A transfer under a roster newer than the adopted one gets no acknowledgement and is sent again.
    fn take_over(&mut self, now: Time, transfer: Transfer) -> Option<LedgerAction> {
        if transfer.to != self.agent || !self.history.receive(now, &transfer) {
            return None;
        }
        for (key, record) in transfer.records {
            self.table.merge(now, key, record);
        }
        Some(LedgerAction::Acknowledge {
            to: transfer.from.host,
            roster: transfer.roster,
        })
    }

    fn owns(&self, key: RequestKey) -> bool {
        let roster = self.history.current();
        roster.and_then(|roster| owner_of(roster, key)).as_ref() == Some(&self.agent)
    }

    fn is_drained(&self) -> bool {
        let left = self.history.current().is_none_or(|roster| {
            let member = roster.members.get(&self.agent.host);
            member.is_none_or(|member| member.incarnation != self.agent.incarnation)
        });
        self.draining && left && self.handovers.is_empty()
    }
}
