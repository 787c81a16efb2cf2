use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_types::{
    Claim, Complete, Completed, Decision, Outcome, Refusal, RequestKey, Roster, Span, Time, Verdict,
};

use crate::action::ClaimantAction;
use crate::ask::{Ask, Phase};
use crate::asks::Asks;
use crate::event::ClaimantEvent;
use crate::limits::{RESEND, RESEND_MAX, RETENTION, RETRY, ROUND, RUN_LIMIT, shorter};
use crate::ownership::{Agent, owner_of};
use crate::stall::Stall;

/// Obtains, as the holder of requests, permission to dispatch them and reports their outcomes.
///
/// ```
/// use usher_dedupe::{Agent, Claimant, ClaimantEvent};
/// use usher_types::Time;
/// let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
/// let mut claimant = Claimant::new(agent, "127.0.0.1:7000".parse().unwrap());
/// assert!(claimant.handle(Time::ZERO, ClaimantEvent::Tick).is_empty());
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug)]
pub struct Claimant {
    agent: Agent,
    reply: SocketAddrV4,
    roster: Option<Arc<Roster>>,
    last: Time,
    stall: Stall,
    asks: Asks,
}

impl Claimant {
    /// A holder that receives verdicts at `reply`.
    ///
    /// ```
    /// use usher_dedupe::{Agent, Claimant};
    /// let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// let claimant = Claimant::new(agent, "127.0.0.1:7000".parse().unwrap());
    /// assert!(claimant.next_timer().is_some());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn new(agent: Agent, reply: SocketAddrV4) -> Self {
        Self {
            agent,
            reply,
            roster: None,
            last: Time::ZERO,
            stall: Stall::default(),
            asks: Asks::default(),
        }
    }

    /// Applies an event; `now` must be read after the event's message was received.
    ///
    /// ```
    /// use usher_dedupe::{Agent, Claimant, ClaimantAction, ClaimantEvent};
    /// use usher_types::{Attempt, RequestKey, Span, Time};
    /// let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// let mut claimant = Claimant::new(agent, "127.0.0.1:7000".parse().unwrap());
    /// let key = RequestKey::new(1);
    /// let deadline = Time::ZERO;
    /// let ask = ClaimantEvent::Ask { key, attempt: Attempt::new(1), age: Span::ZERO, deadline };
    /// let actions = claimant.handle(Time::ZERO, ask);
    /// assert_eq!(actions, [ClaimantAction::Denied { key }]);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn handle(&mut self, now: Time, event: ClaimantEvent) -> Vec<ClaimantAction> {
        let mut actions = Vec::new();
        let stalled = self.stall.observe(now);
        match event {
            ClaimantEvent::Ask {
                key,
                attempt,
                age,
                deadline,
            } => {
                let ask = Ask::new(now, attempt, age + stalled, deadline);
                self.ask(key, ask, &mut actions);
            }
            ClaimantEvent::Verdict(verdict) => self.verdict(now, verdict, &mut actions),
            ClaimantEvent::Report { key, outcome } => {
                self.report(now, key, outcome, &mut actions);
            }
            ClaimantEvent::Completed(completed) => self.completed(now, &completed),
            ClaimantEvent::Roster(roster) => self.adopt(now, roster),
            ClaimantEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    /// When the claimant next needs a `Tick`; at least once a second, to notice stalls.
    ///
    /// ```
    /// use usher_dedupe::{Agent, Claimant};
    /// let agent = Agent { host: "a".parse()?, incarnation: Default::default() };
    /// let claimant = Claimant::new(agent, "127.0.0.1:7000".parse().unwrap());
    /// assert!(claimant.next_timer().is_some());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn next_timer(&self) -> Option<Time> {
        let due = self.asks.next_due();
        due.into_iter().chain([self.stall.next_timer()]).min()
    }

    // A key that was permitted here is answered from memory: a new claim would replace its grant.
    fn ask(&mut self, key: RequestKey, mut ask: Ask, actions: &mut Vec<ClaimantAction>) {
        match self.asks.get_mut(key) {
            None => self.asks.put(key, ask),
            Some(known) => match &known.phase {
                Phase::Reporting {
                    outcome: Outcome::NotRun { .. },
                    sent,
                    ..
                } => {
                    ask.claimed = Some(*sent);
                    self.asks.put(key, ask);
                }
                Phase::Reporting { outcome, .. } | Phase::Done(outcome) => {
                    let outcome = outcome.clone();
                    actions.push(ClaimantAction::Settled { key, outcome });
                }
                _ => {
                    known.shared = true;
                    actions.push(ClaimantAction::Running { key });
                }
            },
        }
    }

    fn verdict(&mut self, now: Time, verdict: Verdict, actions: &mut Vec<ClaimantAction>) {
        let key = verdict.key;
        let Some(ask) = self.asks.get(key) else {
            return;
        };
        // Verdicts on replaced claims are void.
        match &ask.phase {
            Phase::Claiming(claim) if claim.sent == verdict.sent => {}
            _ => return,
        }
        let mut ask = ask.clone();
        match verdict.decision {
            Decision::Granted(span) => {
                let start_by = verdict.sent + shorter(span);
                if start_by <= now || ask.deadline <= now {
                    return self.pause(now, key, ask, RESEND);
                }
                ask.phase = Phase::Permitted { sent: verdict.sent };
                ask.due = start_by + RUN_LIMIT;
                self.asks.put(key, ask);
                actions.push(ClaimantAction::Permit { key, start_by });
            }
            Decision::Finished(outcome) => self.settle(key, outcome, actions),
            Decision::Unknown => self.settle(key, Outcome::Unknown, actions),
            Decision::Running => {
                if !ask.elsewhere {
                    actions.push(ClaimantAction::Running { key });
                }
                ask.elsewhere = true;
                let pause = ask.pause;
                ask.pause = (pause * 2).min(RESEND_MAX);
                self.pause(now, key, ask, pause);
            }
            Decision::Wait(_) if now + RETRY >= ask.deadline => {
                self.give_up(now, key, ask, actions);
            }
            // Records handed over can end the wait much earlier than the owner foresees.
            Decision::Wait(span) => self.pause(now, key, ask, span.min(RETRY)),
            Decision::NotOwner(_) => self.pause(now, key, ask, RETRY),
        }
    }

    fn report(
        &mut self,
        now: Time,
        key: RequestKey,
        outcome: Outcome,
        actions: &mut Vec<ClaimantAction>,
    ) {
        let Some(ask) = self.asks.get(key) else {
            return;
        };
        let Phase::Permitted { sent } = ask.phase else {
            return;
        };
        if ask.shared {
            let outcome = outcome.clone();
            actions.push(ClaimantAction::Settled { key, outcome });
        }
        let ask = ask.clone();
        self.start_report(now, key, ask, sent, outcome);
    }

    fn start_report(
        &mut self,
        now: Time,
        key: RequestKey,
        mut ask: Ask,
        sent: Time,
        outcome: Outcome,
    ) {
        ask.phase = Phase::Reporting {
            sent,
            outcome,
            give_up: now + RUN_LIMIT,
        };
        ask.shared = false;
        ask.pause = RESEND;
        ask.due = now;
        self.asks.put(key, ask);
    }

    fn completed(&mut self, now: Time, completed: &Completed) {
        let Some(ask) = self.asks.get(completed.key) else {
            return;
        };
        if let Phase::Reporting { sent, outcome, .. } = &ask.phase
            && *sent == completed.sent
        {
            let outcome = outcome.clone();
            self.finish(now, completed.key, outcome);
        }
    }

    fn adopt(&mut self, now: Time, roster: Arc<Roster>) {
        if self
            .roster
            .as_ref()
            .is_some_and(|known| known.version >= roster.version)
        {
            return;
        }
        self.roster = Some(roster);
        for (key, mut ask) in self.asks.undecided() {
            if let Phase::Claiming(_) = ask.phase {
                ask.phase = Phase::Pausing;
            }
            ask.pause = RESEND;
            ask.due = now;
            self.asks.put(key, ask);
        }
    }

    fn advance(&mut self, now: Time, actions: &mut Vec<ClaimantAction>) {
        while let Some((key, ask)) = self.asks.take_due(now) {
            match ask.phase.clone() {
                Phase::Pausing | Phase::Claiming(_) if ask.deadline <= now => {
                    self.give_up(now, key, ask, actions);
                }
                Phase::Pausing => self.claim(now, key, ask, actions),
                Phase::Claiming(claim) if now - claim.sent >= ROUND => {
                    self.claim(now, key, ask, actions);
                }
                Phase::Claiming(claim) => self.send(now, claim, ask, actions),
                Phase::Permitted { .. } => {
                    if ask.shared {
                        let outcome = Outcome::Unknown;
                        actions.push(ClaimantAction::Settled { key, outcome });
                    }
                    self.asks.put(key, ask);
                    self.finish(now, key, Outcome::Unknown);
                }
                Phase::Reporting {
                    sent,
                    outcome,
                    give_up,
                } => {
                    if give_up <= now {
                        self.asks.put(key, ask);
                        self.finish(now, key, outcome);
                    } else {
                        self.complete(now, key, ask, (sent, outcome), actions);
                    }
                }
                Phase::Done(_) => {}
            }
        }
    }

    // A new claim voids the earlier ones of this key: only its verdict counts.
    fn claim(
        &mut self,
        now: Time,
        key: RequestKey,
        mut ask: Ask,
        actions: &mut Vec<ClaimantAction>,
    ) {
        let Some(roster) = &self.roster else {
            return self.pause(now, key, ask, RETRY);
        };
        let sent = now.max(self.last + Span::from_micros(1));
        self.last = sent;
        ask.claimed = Some(sent);
        if !ask.elsewhere {
            ask.pause = RESEND;
        }
        let claim = Claim {
            key,
            attempt: ask.attempt,
            age: ask.age + (now - ask.asked),
            holder: self.agent.host.clone(),
            incarnation: self.agent.incarnation,
            reply: self.reply,
            roster: roster.version,
            sent,
        };
        self.send(now, claim, ask, actions);
    }

    fn send(&mut self, now: Time, claim: Claim, mut ask: Ask, actions: &mut Vec<ClaimantAction>) {
        let key = claim.key;
        if let Some(to) = self.owner(key) {
            let claim = claim.clone();
            actions.push(ClaimantAction::Claim { to, claim });
        }
        ask.back_off(now);
        ask.phase = Phase::Claiming(claim);
        self.asks.put(key, ask);
    }

    fn complete(
        &mut self,
        now: Time,
        key: RequestKey,
        mut ask: Ask,
        report: (Time, Outcome),
        actions: &mut Vec<ClaimantAction>,
    ) {
        let (sent, outcome) = report;
        if let Some(to) = self.owner(key) {
            let complete = Complete {
                key,
                holder: self.agent.host.clone(),
                incarnation: self.agent.incarnation,
                sent,
                reply: self.reply,
                outcome,
            };
            actions.push(ClaimantAction::Complete { to, complete });
        }
        ask.back_off(now);
        self.asks.put(key, ask);
    }

    fn pause(&mut self, now: Time, key: RequestKey, mut ask: Ask, span: Span) {
        ask.phase = Phase::Pausing;
        ask.due = (now + span)
            .min(ask.deadline)
            .max(now + Span::from_micros(1));
        self.asks.put(key, ask);
    }

    // The owner may have recorded a grant whose verdict was lost; it is given back.
    fn give_up(&mut self, now: Time, key: RequestKey, ask: Ask, actions: &mut Vec<ClaimantAction>) {
        if ask.elsewhere {
            return self.settle(key, Outcome::Unknown, actions);
        }
        actions.push(ClaimantAction::Denied { key });
        let Some(sent) = ask.claimed else {
            self.asks.take(key);
            return;
        };
        let outcome = Outcome::NotRun {
            refusal: Refusal::NoOwner,
            retry: RETRY,
        };
        self.start_report(now, key, ask, sent, outcome);
    }

    fn settle(&mut self, key: RequestKey, outcome: Outcome, actions: &mut Vec<ClaimantAction>) {
        self.asks.take(key);
        actions.push(ClaimantAction::Settled { key, outcome });
    }

    fn finish(&mut self, now: Time, key: RequestKey, outcome: Outcome) {
        let Some(mut ask) = self.asks.take(key) else {
            return;
        };
        if matches!(outcome, Outcome::NotRun { .. }) {
            return;
        }
        ask.phase = Phase::Done(outcome);
        ask.due = now + RETENTION;
        self.asks.put(key, ask);
    }

    fn owner(&self, key: RequestKey) -> Option<SocketAddrV4> {
        let roster = self.roster.as_ref()?;
        let owner = owner_of(roster, key)?;
        roster.members.get(&owner.host).map(|member| member.agent)
    }
}
