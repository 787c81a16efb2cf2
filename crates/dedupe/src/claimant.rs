use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_types::{
    Claim, ClaimReply, Completion, CompletionAck, Decision, Outcome, Refusal, RequestKey, Roster,
    Span, Time,
};

use crate::action::ClaimantAction;
use crate::event::ClaimantEvent;
use crate::limits::{
    CLAIM_LIFETIME, RESEND_DELAY, RESEND_DELAY_MAX, RETENTION, RETRY_DELAY, RUN_LIMIT, lower_bound,
};
use crate::ownership::{Agent, owner_of};
use crate::request::{Phase, Request};
use crate::requests::Requests;
use crate::stall::StallDetector;

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
    last_sent: Time,
    stall: StallDetector,
    requests: Requests,
}

impl Claimant {
    /// Creates a claimant that receives replies at `reply`.
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
            last_sent: Time::ZERO,
            stall: StallDetector::default(),
            requests: Requests::default(),
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
    /// let (attempt, age) = (Attempt::new(1), Span::ZERO);
    /// let request = ClaimantEvent::Acquire { key, attempt, age, deadline };
    /// let actions = claimant.handle(Time::ZERO, request);
    /// assert_eq!(actions, [ClaimantAction::Denied { key }]);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn handle(&mut self, now: Time, event: ClaimantEvent) -> Vec<ClaimantAction> {
        let mut actions = Vec::new();
        let stalled = self.stall.observe(now);
        match event {
            ClaimantEvent::Acquire {
                key,
                attempt,
                age,
                deadline,
            } => {
                let request = Request::new(now, attempt, age + stalled, deadline);
                self.request(key, request, &mut actions);
            }
            ClaimantEvent::ClaimReply(claim_reply) => {
                self.claim_reply(now, claim_reply, &mut actions);
            }
            ClaimantEvent::Report { key, outcome } => {
                self.report(now, key, outcome, &mut actions);
            }
            ClaimantEvent::CompletionAck(completion_ack) => {
                self.completion_ack(now, &completion_ack);
            }
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
        let due = self.requests.next_due();
        due.into_iter().chain([self.stall.next_timer()]).min()
    }

    // A key that was permitted here is not claimed again, because a new claim would replace its grant.
    fn request(
        &mut self,
        key: RequestKey,
        mut request: Request,
        actions: &mut Vec<ClaimantAction>,
    ) {
        match self.requests.get_mut(key) {
            None => self.requests.put(key, request),
            Some(known) => match &known.phase {
                Phase::Reporting {
                    outcome: Outcome::NotRun { .. },
                    sent,
                    ..
                } => {
                    request.last_claim = Some(*sent);
                    self.requests.put(key, request);
                }
                Phase::Reporting { outcome, .. } | Phase::Done(outcome) => {
                    let outcome = outcome.clone();
                    actions.push(ClaimantAction::Settled { key, outcome });
                }
                _ => {
                    known.has_waiter = true;
                    actions.push(ClaimantAction::Running { key });
                }
            },
        }
    }

    fn claim_reply(
        &mut self,
        now: Time,
        claim_reply: ClaimReply,
        actions: &mut Vec<ClaimantAction>,
    ) {
        let key = claim_reply.key;
        let Some(request) = self.requests.get(key) else {
            return;
        };
        // Replies to replaced claims are ignored.
        match &request.phase {
            Phase::Claiming(claim) if claim.sent == claim_reply.sent => {}
            _ => return,
        }
        let mut request = request.clone();
        match claim_reply.decision {
            Decision::Granted(span) => {
                let start_by = claim_reply.sent + lower_bound(span);
                if start_by <= now || request.deadline <= now {
                    return self.pause(now, key, request, RESEND_DELAY);
                }
                request.phase = Phase::Permitted {
                    sent: claim_reply.sent,
                };
                request.due = start_by + RUN_LIMIT;
                self.requests.put(key, request);
                actions.push(ClaimantAction::Permit { key, start_by });
            }
            Decision::Finished(outcome) => self.settle(key, outcome, actions),
            Decision::Unknown => self.settle(key, Outcome::Unknown, actions),
            Decision::Running => {
                if !request.held_elsewhere {
                    actions.push(ClaimantAction::Running { key });
                }
                request.held_elsewhere = true;
                let pause = request.pause;
                request.pause = (pause * 2).min(RESEND_DELAY_MAX);
                self.pause(now, key, request, pause);
            }
            Decision::Wait(_) if now + RETRY_DELAY >= request.deadline => {
                self.stop_claiming(now, key, request, actions);
            }
            // Handed-over records can end the wait much earlier than the owner's estimate.
            Decision::Wait(span) => self.pause(now, key, request, span.min(RETRY_DELAY)),
            Decision::NotOwner(_) => self.pause(now, key, request, RETRY_DELAY),
        }
    }

    fn report(
        &mut self,
        now: Time,
        key: RequestKey,
        outcome: Outcome,
        actions: &mut Vec<ClaimantAction>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let Phase::Permitted { sent } = request.phase else {
            return;
        };
        if request.has_waiter {
            let outcome = outcome.clone();
            actions.push(ClaimantAction::Settled { key, outcome });
        }
        let request = request.clone();
        self.start_report(now, key, request, sent, outcome);
    }

    fn start_report(
        &mut self,
        now: Time,
        key: RequestKey,
        mut request: Request,
        sent: Time,
        outcome: Outcome,
    ) {
        request.phase = Phase::Reporting {
            sent,
            outcome,
            report_until: now + RUN_LIMIT,
        };
        request.has_waiter = false;
        request.pause = RESEND_DELAY;
        request.due = now;
        self.requests.put(key, request);
    }

    fn completion_ack(&mut self, now: Time, completion_ack: &CompletionAck) {
        let Some(request) = self.requests.get(completion_ack.key) else {
            return;
        };
        if let Phase::Reporting { sent, outcome, .. } = &request.phase
            && *sent == completion_ack.sent
        {
            let outcome = outcome.clone();
            self.finish(now, completion_ack.key, outcome);
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
        for (key, mut request) in self.requests.awaiting_owner() {
            if let Phase::Claiming(_) = request.phase {
                request.phase = Phase::Pausing;
            }
            request.pause = RESEND_DELAY;
            request.due = now;
            self.requests.put(key, request);
        }
    }

    fn advance(&mut self, now: Time, actions: &mut Vec<ClaimantAction>) {
        while let Some((key, request)) = self.requests.take_due(now) {
            match request.phase.clone() {
                Phase::Pausing | Phase::Claiming(_) if request.deadline <= now => {
                    self.stop_claiming(now, key, request, actions);
                }
                Phase::Pausing => self.claim(now, key, request, actions),
                Phase::Claiming(claim) if now - claim.sent >= CLAIM_LIFETIME => {
                    self.claim(now, key, request, actions);
                }
                Phase::Claiming(claim) => self.send(now, claim, request, actions),
                Phase::Permitted { .. } => {
                    if request.has_waiter {
                        let outcome = Outcome::Unknown;
                        actions.push(ClaimantAction::Settled { key, outcome });
                    }
                    self.requests.put(key, request);
                    self.finish(now, key, Outcome::Unknown);
                }
                Phase::Reporting {
                    sent,
                    outcome,
                    report_until,
                } => {
                    if report_until <= now {
                        self.requests.put(key, request);
                        self.finish(now, key, outcome);
                    } else {
                        self.complete(now, key, request, (sent, outcome), actions);
                    }
                }
                Phase::Done(_) => {}
            }
        }
    }

    // A new claim replaces the earlier ones of this key: only its reply counts.
    fn claim(
        &mut self,
        now: Time,
        key: RequestKey,
        mut request: Request,
        actions: &mut Vec<ClaimantAction>,
    ) {
        let Some(roster) = &self.roster else {
            return self.pause(now, key, request, RETRY_DELAY);
        };
        let sent = now.max(self.last_sent + Span::from_micros(1));
        self.last_sent = sent;
        request.last_claim = Some(sent);
        if !request.held_elsewhere {
            request.pause = RESEND_DELAY;
        }
        let claim = Claim {
            key,
            attempt: request.attempt,
            age: request.age + (now - request.received),
            holder: self.agent.host.clone(),
            incarnation: self.agent.incarnation,
            reply: self.reply,
            roster: roster.version,
            sent,
        };
        self.send(now, claim, request, actions);
    }

    fn send(
        &mut self,
        now: Time,
        claim: Claim,
        mut request: Request,
        actions: &mut Vec<ClaimantAction>,
    ) {
        let key = claim.key;
        if let Some(to) = self.owner(key) {
            let claim = claim.clone();
            actions.push(ClaimantAction::Claim { to, claim });
        }
        request.back_off(now);
        request.phase = Phase::Claiming(claim);
        self.requests.put(key, request);
    }

    fn complete(
        &mut self,
        now: Time,
        key: RequestKey,
        mut request: Request,
        report: (Time, Outcome),
        actions: &mut Vec<ClaimantAction>,
    ) {
        let (sent, outcome) = report;
        if let Some(to) = self.owner(key) {
            let completion = Completion {
                key,
                holder: self.agent.host.clone(),
                incarnation: self.agent.incarnation,
                sent,
                reply: self.reply,
                outcome,
            };
            actions.push(ClaimantAction::Completion { to, completion });
        }
        request.back_off(now);
        self.requests.put(key, request);
    }

    fn pause(&mut self, now: Time, key: RequestKey, mut request: Request, span: Span) {
        request.phase = Phase::Pausing;
        request.due = (now + span)
            .min(request.deadline)
            .max(now + Span::from_micros(1));
        self.requests.put(key, request);
    }

    // The owner may have recorded a grant whose reply was lost, so the grant is released.
    fn stop_claiming(
        &mut self,
        now: Time,
        key: RequestKey,
        request: Request,
        actions: &mut Vec<ClaimantAction>,
    ) {
        if request.held_elsewhere {
            return self.settle(key, Outcome::Unknown, actions);
        }
        actions.push(ClaimantAction::Denied { key });
        let Some(sent) = request.last_claim else {
            self.requests.take(key);
            return;
        };
        let outcome = Outcome::NotRun {
            refusal: Refusal::NoOwner,
            retry: RETRY_DELAY,
        };
        self.start_report(now, key, request, sent, outcome);
    }

    fn settle(&mut self, key: RequestKey, outcome: Outcome, actions: &mut Vec<ClaimantAction>) {
        self.requests.take(key);
        actions.push(ClaimantAction::Settled { key, outcome });
    }

    fn finish(&mut self, now: Time, key: RequestKey, outcome: Outcome) {
        let Some(mut request) = self.requests.take(key) else {
            return;
        };
        if matches!(outcome, Outcome::NotRun { .. }) {
            return;
        }
        request.phase = Phase::Done(outcome);
        request.due = now + RETENTION;
        self.requests.put(key, request);
    }

    fn owner(&self, key: RequestKey) -> Option<SocketAddrV4> {
        let roster = self.roster.as_ref()?;
        let owner = owner_of(roster, key)?;
        roster.members.get(&owner.host).map(|member| member.agent)
    }
}
