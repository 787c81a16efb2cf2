use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::Value;
use usher_agent::{Action, AgentState, Event, Settings, View};
use usher_config::{Cache, Object};
use usher_members::Status;
use usher_members::{
    Action as MemberAction, Event as MemberEvent, HostLifecycle, Identity, Membership,
};
use usher_types::{
    DataCentre, HostId, HostState, Member, Message, Outcome, Profile, Refusal, Request, RequestId,
    Roster, Span, Time, Version, Weight,
};
use usher_wire::{RequestMessage, ResponseMessage};

use crate::backend::RunRequest;
use crate::effect::{Content, Effect, HandoverReply, HandoverRequest};
use crate::machine::apply;

// Interval at which the agent's load is reported to membership.
const REPORT_INTERVAL: Span = Span::from_millis(500);
// After it has left the roster, an agent still forwards packets that are sent to it for this long.
const FORWARDING_TIME: Span = Span::from_secs(2);

// Progress of a drain or a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Running,
    Draining { stop: bool },
    Leaving,
    Left { since: Time },
}

/// Agent assembled from the decision crates as in the real process, without threads and sockets.
#[derive(Debug)]
pub(crate) struct AgentNode {
    pub(crate) settings: Settings,
    pub(crate) cache: Cache,
    pub(crate) effects: Vec<Effect>,
    pub(crate) counts: BTreeMap<String, u64>,
    agent: AgentState,
    membership: Membership,
    centre: DataCentre,
    status: Status,
    // Earlier rosters that may still have an active key owner; `None` before the first report.
    unsettled: Option<Vec<Version>>,
    // This process wrote the first roster of the service.
    created: bool,
    // This process has been in the roster.
    was_member: bool,
    records_drained: bool,
    phase: Phase,
    next_report: Time,
    // JSON-RPC ids of unanswered requests.
    ids: HashMap<RequestId, Value>,
}

impl AgentNode {
    pub(crate) fn new(now: Time, settings: Settings, centre: DataCentre, seed: u64) -> Self {
        let identity = Identity::Agent {
            host: settings.host.clone(),
            service: settings.service.clone(),
            centre: centre.clone(),
            incarnation: settings.incarnation,
        };
        let mut node = Self {
            agent: AgentState::new(settings.clone()),
            membership: Membership::new(identity, Box::new(Pcg64::seed_from_u64(seed))),
            settings,
            cache: Cache::default(),
            effects: Vec::new(),
            counts: BTreeMap::new(),
            centre,
            status: Status::default(),
            unsettled: None,
            created: false,
            was_member: false,
            records_drained: false,
            phase: Phase::Running,
            next_report: now,
            ids: HashMap::new(),
        };
        let member = Member {
            incarnation: node.settings.incarnation,
            agent: node.settings.address,
            admin: node.settings.address,
            centre: node.centre.clone(),
            weight: Weight::NOMINAL,
            state: HostState::Serving,
        };
        node.update_membership(now, MemberEvent::Join(member));
        node
    }

    /// Configuration revision in force; `None` while this process is not a serving member.
    pub(crate) fn revision(&self) -> Option<Version> {
        let serves = self.was_member && self.phase == Phase::Running;
        serves.then_some(self.status.revision)
    }

    pub(crate) fn is_finished(&self, now: Time) -> bool {
        matches!(self.phase, Phase::Left { since } if now - since >= FORWARDING_TIME)
    }

    pub(crate) fn next_timer(&self) -> Time {
        let timers = [self.membership.next_timer(), self.agent.next_timer()];
        let finish = match self.phase {
            Phase::Left { since } => Some(since + FORWARDING_TIME),
            _ => None,
        };
        let timers = timers.into_iter().chain([finish]).flatten();
        timers.fold(self.next_report, Time::min)
    }

    pub(crate) fn tick(&mut self, now: Time) {
        if self.membership.next_timer().is_some_and(|due| due <= now) {
            self.update_membership(now, MemberEvent::Tick);
        }
        if self.agent.next_timer().is_some_and(|due| due <= now) {
            self.handle_event(now, Event::Tick);
        }
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL;
            self.report_status(now);
        }
    }

    // Updates the status that membership sends in its heartbeats.
    fn report_status(&mut self, now: Time) {
        let Some(summary) = self.agent.summary(now) else {
            return;
        };
        self.unsettled = Some(summary.unsettled);
        self.status.wait = summary.wait;
        self.status.weight = summary.weight;
        self.update_membership(now, MemberEvent::Status(self.status));
    }

    pub(crate) fn adopt_objects(
        &mut self,
        now: Time,
        after: Version,
        through: Version,
        objects: Vec<Object>,
    ) {
        if apply(&mut self.cache, after, through, objects) > 0 {
            self.apply(now);
        }
    }

    pub(crate) fn set_store_up(&mut self, now: Time, up: bool) {
        let event = if up {
            MemberEvent::StoreUp
        } else {
            MemberEvent::StoreDown
        };
        self.update_membership(now, event);
    }

    // Heartbeats go to membership and also to the agent, as they renew leases.
    pub(crate) fn handle_message(&mut self, now: Time, from: SocketAddrV4, message: Message) {
        match &message {
            Message::Beat(beat) => {
                let beat = beat.clone();
                self.update_membership(now, MemberEvent::Beat { source: from, beat });
            }
            Message::BeatAck(ack) => self.update_membership(now, MemberEvent::BeatAck(ack.clone())),
            _ => {}
        }
        self.handle_event(now, Event::Message { from, message });
    }

    pub(crate) fn begin_drain(&mut self, now: Time, stop: bool) {
        if self.phase == Phase::Running
            && matches!(self.membership.lifecycle(), HostLifecycle::Unknown)
        {
            self.phase = Phase::Left { since: now };
            return;
        }
        self.phase = Phase::Draining { stop };
        self.update_membership(now, MemberEvent::Drain);
        self.handle_event(now, Event::Drain);
    }

    /// Handles the success of a conditional roster write.
    pub(crate) fn roster_written(&mut self, roster: &Roster) {
        let is_first = roster.earlier.is_empty() && roster.members.len() == 1;
        self.created |= is_first && roster.members.contains_key(&self.settings.host);
    }

    /// Takes over state from another agent of the same service; otherwise returns `None`.
    pub(crate) fn take_over(
        &mut self,
        now: Time,
        handover: HandoverRequest,
    ) -> Option<HandoverReply> {
        let own = self.cache.service(&self.settings.service);
        let is_current = own.is_some_and(|entry| handover.generation >= entry.generation);
        if handover.service != self.settings.service || !is_current {
            return None;
        }
        let event = match handover.content {
            Content::Flows(transfer) => Event::TakeFlows(transfer),
            Content::Records(transfer) => Event::TakeRecords(transfer),
        };
        let mut reply = None;
        for action in self.agent.handle(now, event) {
            match action {
                Action::TookFlows(flows) => reply = Some(HandoverReply::Flows(flows)),
                Action::TookRecords(roster) => reply = Some(HandoverReply::Records(roster)),
                action => self.execute(now, action),
            }
        }
        reply
    }

    pub(crate) fn handle_event(&mut self, now: Time, event: Event) {
        for action in self.agent.handle(now, event) {
            self.execute(now, action);
        }
    }

    fn execute(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { to, message } => self.effects.push(Effect::Send { to, message }),
            Action::Packet(packet) => self.effects.push(Effect::Packet(packet)),
            Action::Deliver { id, bytes } => self.deliver(now, id, &bytes),
            Action::Answer { id, outcome } => {
                let rpc_id = self.ids.remove(&id).unwrap_or_default();
                let bytes = encode(rpc_id, outcome);
                self.handle_event(now, Event::Reply { id, bytes });
            }
            Action::Run {
                id,
                key,
                body,
                start_by,
                ..
            } => {
                self.effects.push(Effect::Run(RunRequest {
                    id,
                    key,
                    body,
                    start_by,
                }));
            }
            Action::CancelRun(id) => self.effects.push(Effect::CancelRun(id)),
            Action::HandOverFlows { to, transfer } => {
                if !self.hand_over(&to, Content::Flows(transfer)) {
                    self.handle_event(now, Event::FlowsTaken { to, flows: None });
                }
            }
            Action::HandOverRecords { to, transfer } => {
                self.hand_over(&to, Content::Records(transfer));
            }
            Action::TookFlows(_) | Action::TookRecords(_) => {}
            Action::InForce(revision) => {
                self.status.revision = revision;
                self.update_membership(now, MemberEvent::Status(self.status));
            }
            Action::Drained => self.on_drained(now),
            Action::RecordsDrained => {
                self.records_drained = true;
                self.check_left(now);
            }
            Action::Count { part, name } => {
                *self.counts.entry(format!("{part} {name}")).or_default() += 1;
            }
        }
    }

    fn hand_over(&mut self, to: &HostId, content: Content) -> bool {
        let Some(view) = self.agent.view() else {
            return false;
        };
        let handover = HandoverRequest {
            service: self.settings.service.clone(),
            generation: view.generation,
            content,
        };
        let listed = view.roster.members.contains_key(to);
        if listed {
            let to = to.clone();
            self.effects.push(Effect::HandOver { to, handover });
        }
        listed
    }

    fn deliver(&mut self, now: Time, id: RequestId, bytes: &[u8]) {
        let Some(view) = self.agent.view() else {
            return;
        };
        if let Some((request, rpc_id)) = parse(now, &view.profile, id, bytes) {
            self.ids.insert(id, rpc_id);
            return self.handle_event(now, Event::Request(request));
        }
        let outcome = Outcome::NotRun {
            refusal: Refusal::Invalid,
            retry: Span::ZERO,
        };
        let bytes = encode(Value::Null, outcome);
        self.handle_event(now, Event::Reply { id, bytes });
    }

    fn update_membership(&mut self, now: Time, event: MemberEvent) {
        for action in self.membership.handle(now, event) {
            match action {
                MemberAction::Beat { to, beat } => {
                    self.effects.extend(Effect::beats(to, beat));
                }
                MemberAction::Ack { to, ack } => {
                    let message = Message::BeatAck(ack);
                    self.effects.push(Effect::Send { to, message });
                }
                MemberAction::Propose(proposal) => self.effects.push(Effect::Propose {
                    proposal,
                    unsettled: self.unsettled.clone(),
                }),
                MemberAction::Suspected { .. }
                | MemberAction::Distrusted { .. }
                | MemberAction::ProposeFleet(_) => {}
            }
        }
    }

    // Applies the cached configuration to membership and to the agent.
    fn apply(&mut self, now: Time) {
        let service = self.settings.service.clone();
        let centre = self.centre.clone();
        if let Some(fleet) = self.cache.fleet(centre.as_str()) {
            self.update_membership(now, MemberEvent::Fleet { centre, fleet });
        }
        let roster = self.cache.roster(&service).unwrap_or_default();
        if let Some(view) = self.view(&roster) {
            self.handle_event(now, Event::View(view));
        }
        self.update_membership(now, MemberEvent::Roster { service, roster });
        self.check_left(now);
    }

    // A process that has left the roster still needs the new roster, to hand its records over.
    fn view(&mut self, roster: &Arc<Roster>) -> Option<View> {
        let entry = self.cache.service(&self.settings.service)?;
        let profile = self.cache.profile(&entry.profile)?;
        self.was_member |= self.is_listed(roster);
        self.was_member.then(|| View {
            generation: entry.generation,
            profile: Arc::new(profile.clone()),
            roster: Arc::clone(roster),
            revision: self.cache.complete(),
            created: self.created,
        })
    }

    fn is_listed(&self, roster: &Roster) -> bool {
        let own = roster.members.get(&self.settings.host);
        own.is_some_and(|member| member.incarnation == self.settings.incarnation)
    }

    // A planned stop ends when the roster no longer lists this agent and others hold its records.
    fn check_left(&mut self, now: Time) {
        let roster = self
            .cache
            .roster(&self.settings.service)
            .unwrap_or_default();
        if self.phase == Phase::Leaving && !self.is_listed(&roster) && self.records_drained {
            self.phase = Phase::Left { since: now };
        }
    }

    fn on_drained(&mut self, now: Time) {
        if self.phase == (Phase::Draining { stop: true }) {
            self.phase = Phase::Leaving;
            self.handle_event(now, Event::Leave);
            self.update_membership(now, MemberEvent::Leave);
        }
    }
}

fn parse(now: Time, profile: &Profile, id: RequestId, bytes: &[u8]) -> Option<(Request, Value)> {
    let message = RequestMessage::decode(bytes).ok()?;
    let meta = message.meta;
    let rule = profile.methods.get(&message.method);
    let remaining = meta.deadline_ms.map_or(profile.deadline, Span::from_millis);
    let request = Request {
        id,
        key: meta.key,
        once: meta.once,
        deadline: now + remaining,
        attempt: meta.attempt,
        age: Span::from_millis(meta.age_ms),
        budget: profile.attempts,
        priority: rule.map(|rule| rule.priority).unwrap_or_default(),
        method: message.method,
        body: message.body,
    };
    Some((request, message.id))
}

fn encode(id: Value, outcome: Outcome) -> Vec<u8> {
    let response = ResponseMessage { id, outcome };
    response.encode().unwrap_or_default()
}
