use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::time::Duration;

use async_std::channel::Sender;
use async_std::task;
use serde_json::{Value, json};
use usher_admission::{self as admission, Policy, Scheduler};
use usher_dedupe::{
    Agent, Claimant, ClaimantAction, ClaimantEvent, Ledger, LedgerAction, LedgerEvent, Lineage,
    Origin,
};
use usher_flows::{self as flows, FlowTable};
use usher_types::{
    Beat, Body, HostId, HostState, Outcome, PastRoster, Peer, Relay, RequestId, RequestKey, Roster,
    ServiceName, Span, Time, Version,
};
use usher_wire::{AgentMessage, Datagram, RunRequest, encode_packet};

use super::calls::hand_over;
use super::counts::Counts;
use super::deliver;
use super::view::{View, WorkerEvent};
use crate::backend::{Command, Report};
use crate::clock::now;
use crate::control::{Content, ControlEvent, Parcels};
use crate::metrics::Metrics;
use crate::{AgentSettings, event, socket};

const IDLE: Span = Span::from_secs(1);
const REPORT: Span = Span::from_millis(500);
// A claim that outlives this has no caller that waits for it.
const CLAIM_LIMIT: Span = Span::from_secs(60);
// Payloads above this do not fit one datagram of 65,507 bytes with the rest of their message.
const MAX_PAYLOAD: usize = 60_000;
const HANDOVER_RETRY: Duration = Duration::from_millis(300);

/// What connects the traffic thread to the rest of the process.
pub(crate) struct Links {
    pub(crate) socket: UdpSocket,
    pub(crate) commands: Sender<Command>,
    pub(crate) events: Sender<ControlEvent>,
    pub(crate) own: mpsc::Sender<WorkerEvent>,
    pub(crate) metrics: Metrics,
}

/// The traffic thread of an agent: owns flows, requests and dedupe records.
pub(crate) struct Worker {
    settings: AgentSettings,
    agent: Agent,
    links: Links,
    view: Option<View>,
    parts: Option<Parts>,
    local: VecDeque<AgentMessage>,
    adopted: HashMap<HostId, Version>,
    peers: HashMap<SocketAddrV4, Span>,
    counts: Counts,
    next_report: Time,
    drained: Drained,
}

// The decision machines; they exist once the service is known.
struct Parts {
    flows: FlowTable,
    scheduler: Scheduler,
    ledger: Ledger,
    claimant: Claimant,
    ids: HashMap<RequestId, Value>,
    runs: HashMap<u64, RequestId>,
    numbers: HashMap<RequestId, u64>,
    claims: HashMap<RequestKey, RequestId>,
    next_run: u64,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Drained {
    flows: bool,
    requests: bool,
    records: bool,
}

impl Worker {
    pub(crate) fn new(settings: AgentSettings, agent: Agent, links: Links) -> Self {
        Self {
            settings,
            agent,
            links,
            view: None,
            parts: None,
            local: VecDeque::new(),
            adopted: HashMap::new(),
            peers: HashMap::new(),
            counts: Counts::default(),
            next_report: Time::ZERO,
            drained: Drained::default(),
        }
    }

    /// Handles events until their channel closes.
    pub(crate) fn run(mut self, events: &mpsc::Receiver<WorkerEvent>) {
        loop {
            let wait = Duration::from_micros((self.due() - now()).as_micros());
            match events.recv_timeout(wait) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.tick();
            while let Some(message) = self.local.pop_front() {
                self.on_message(self.settings.listen, message);
            }
        }
    }

    fn due(&self) -> Time {
        let machines = self.parts.iter().flat_map(|parts| {
            [
                parts.flows.next_timer(),
                parts.scheduler.next_timer(),
                parts.ledger.next_timer(),
                parts.claimant.next_timer(),
            ]
        });
        let due = machines.flatten().min().unwrap_or(now() + IDLE);
        due.min(self.next_report)
    }

    fn tick(&mut self) {
        let time = now();
        if let Some(parts) = &self.parts {
            let is_due = |timer: Option<Time>| timer.is_some_and(|due| due <= time);
            let flows = is_due(parts.flows.next_timer());
            let scheduler = is_due(parts.scheduler.next_timer());
            let ledger = is_due(parts.ledger.next_timer());
            let claimant = is_due(parts.claimant.next_timer());
            if flows {
                self.flows(flows::Event::Tick);
            }
            if scheduler {
                self.scheduler(admission::Event::Tick);
            }
            if ledger {
                self.ledger(LedgerEvent::Tick);
            }
            if claimant {
                self.claimant(ClaimantEvent::Tick);
            }
        }
        if time >= self.next_report {
            self.next_report = time + REPORT;
            self.report(time);
        }
    }

    // Tells the control thread what the heartbeats are to carry.
    fn report(&mut self, time: Time) {
        self.counts.flush(&self.links.metrics);
        let Some(parts) = &self.parts else { return };
        let wait = parts.scheduler.wait(time);
        let load = ControlEvent::Load {
            wait,
            weight: parts.scheduler.weight(),
            unsettled: parts.ledger.unsettled(time),
        };
        self.links.metrics.time("wait", wait);
        let _ = self.links.events.try_send(load);
        self.flows(flows::Event::Wait(wait));
    }

    fn handle(&mut self, event: WorkerEvent) {
        match event {
            WorkerEvent::Datagram { source, datagram } => self.on_datagram(source, datagram),
            WorkerEvent::View(view) => self.on_view(view),
            WorkerEvent::Backend(report) => self.on_report(report),
            WorkerEvent::Handover { content, reply } => {
                let taken = self.take_over(content);
                let _ = reply.try_send(taken);
            }
            WorkerEvent::FlowsTaken {
                to,
                flows: Some(flows),
            } => {
                event::HANDED_OVER.log(&[("host", &to), ("flows", &flows.len())]);
                self.flows(flows::Event::HandedOver { to, flows });
            }
            WorkerEvent::FlowsTaken { to, flows: None } => {
                event::HANDOVER_FAILED.log(&[("host", &to)]);
                self.flows(flows::Event::HandoverFailed { to });
            }
            WorkerEvent::RecordsTaken { from, roster } => {
                event::RECORDS_HANDED.log(&[("host", &from), ("roster", &roster)]);
                self.ledger(LedgerEvent::TakeoverAcked { from, roster });
            }
            WorkerEvent::Status(reply) => {
                let _ = reply.try_send(self.status());
            }
            WorkerEvent::Drain => {
                self.scheduler(admission::Event::Drain);
                self.flows(flows::Event::Drain);
            }
            WorkerEvent::Leave => self.ledger(LedgerEvent::Drain),
        }
    }

    fn on_view(&mut self, view: View) {
        let roster = Arc::clone(&view.roster);
        let revision = view.revision;
        if self.parts.is_none() {
            self.parts = Some(self.parts_for(&view));
        }
        self.scheduler(admission::Event::Profile(Arc::clone(&view.profile)));
        self.view = Some(view);
        self.flows(flows::Event::Roster(Arc::clone(&roster)));
        self.claimant(ClaimantEvent::Roster(Arc::clone(&roster)));
        self.ledger(LedgerEvent::Roster(lineage(&roster)));
        self.note_adoption();
        let _ = self.links.events.try_send(ControlEvent::InForce(revision));
    }

    fn parts_for(&self, view: &View) -> Parts {
        let settings = flows::Settings::new(
            self.settings.service.clone(),
            view.generation,
            view.profile.buckets,
            self.settings.host.clone(),
            self.settings.listen,
            view.profile.hunt,
        );
        let origin = if view.created {
            Origin::Created
        } else {
            Origin::Joined
        };
        let profile = Arc::clone(&view.profile);
        let (slots, address) = (self.settings.slots, self.settings.listen);
        Parts {
            flows: FlowTable::new(settings),
            scheduler: Scheduler::new(profile, slots, Policy::default(), address),
            ledger: Ledger::new(self.agent.clone(), origin),
            claimant: Claimant::new(self.agent.clone(), address),
            ids: HashMap::new(),
            runs: HashMap::new(),
            numbers: HashMap::new(),
            claims: HashMap::new(),
            next_run: 0,
        }
    }

    fn on_datagram(&mut self, source: SocketAddrV4, datagram: Datagram) {
        match datagram {
            Datagram::Relay(relay) => self.on_relay(relay),
            Datagram::Beat(beat) => self.on_beat(source, &beat),
            Datagram::BeatAck(ack) => {
                if let Peer::Host(host) = &ack.from {
                    self.adopt(host.clone(), ack.roster);
                }
                self.ledger(LedgerEvent::Ack(ack));
            }
            Datagram::Agent {
                service,
                generation,
                message,
            } => {
                let oldest = self.view.as_ref().map(|view| view.generation);
                if service == self.settings.service && oldest.is_some_and(|own| generation >= own) {
                    self.on_message(source, message);
                } else {
                    self.counts.add("agent", &format_args!("WrongService"));
                }
            }
            Datagram::Hint(_) => {}
        }
    }

    // The choice of a host for a new flow needs the current wait.
    fn on_relay(&mut self, relay: Relay) {
        if relay.packet.body == Body::Open
            && let Some(parts) = &self.parts
        {
            let wait = parts.scheduler.wait(now());
            self.flows(flows::Event::Wait(wait));
        }
        self.flows(flows::Event::Relay(relay));
    }

    fn on_beat(&mut self, source: SocketAddrV4, beat: &Beat) {
        let Peer::Host(host) = &beat.from else { return };
        let is_member = self
            .view
            .as_ref()
            .is_some_and(|view| view.roster.members.contains_key(host));
        if !is_member {
            return;
        }
        self.adopt(host.clone(), beat.roster);
        if beat.state == HostState::Serving {
            self.peers.insert(source, beat.wait);
        } else {
            self.peers.remove(&source);
        }
        let peers = self
            .peers
            .iter()
            .map(|(address, wait)| (*address, *wait))
            .collect();
        self.scheduler(admission::Event::Peers(peers));
    }

    fn adopt(&mut self, host: HostId, roster: Version) {
        self.ledger(LedgerEvent::Adopted {
            host: host.clone(),
            roster,
        });
        let known = self.adopted.entry(host).or_default();
        if *known < roster {
            *known = roster;
            self.note_adoption();
        }
    }

    // Tells the flow table when every member has adopted the current roster.
    fn note_adoption(&mut self) {
        let Some(view) = &self.view else { return };
        let roster = &view.roster;
        let others = roster
            .members
            .keys()
            .filter(|host| **host != self.settings.host);
        let reached = |host: &HostId| {
            self.adopted
                .get(host)
                .is_some_and(|seen| *seen >= roster.version)
        };
        if others.into_iter().all(reached) {
            let version = roster.version;
            self.flows(flows::Event::Adopted(version));
        }
    }

    fn on_message(&mut self, from: SocketAddrV4, message: AgentMessage) {
        match message {
            AgentMessage::Register(register) => {
                self.flows(flows::Event::Register { from, register });
            }
            AgentMessage::Registered(registered) => {
                self.flows(flows::Event::Registered { from, registered });
            }
            AgentMessage::Claim(claim) => self.ledger(LedgerEvent::Claim(claim)),
            AgentMessage::Verdict(verdict) => self.claimant(ClaimantEvent::Verdict(verdict)),
            AgentMessage::Complete(complete) => self.ledger(LedgerEvent::Complete(complete)),
            AgentMessage::Completed(done) => self.claimant(ClaimantEvent::Completed(done)),
            AgentMessage::Offer(offer) => self.scheduler(admission::Event::Offered(offer)),
            AgentMessage::OfferReply(reply) => {
                self.scheduler(admission::Event::OfferReply { from, reply });
            }
            AgentMessage::OfferOutcome(outcome) => {
                self.scheduler(admission::Event::OfferOutcome(outcome));
            }
            AgentMessage::OfferDone(done) => self.scheduler(admission::Event::OfferDone(done)),
        }
    }

    fn on_report(&mut self, report: Report) {
        let Some(parts) = &mut self.parts else { return };
        let mut ended = |run: u64| {
            let id = parts.runs.remove(&run)?;
            parts.numbers.remove(&id);
            Some(id)
        };
        let event = match report {
            Report::Finished { run, outcome } => {
                ended(run).map(|id| admission::Event::Finished { id, outcome })
            }
            Report::NotStarted { run } => ended(run).map(|id| admission::Event::Refused { id }),
            Report::Lost { run } => ended(run).map(|id| admission::Event::Lost { id }),
        };
        if let Some(event) = event {
            self.scheduler(event);
        }
    }

    fn flows(&mut self, event: flows::Event) {
        let Some(parts) = &mut self.parts else { return };
        for action in parts.flows.handle(now(), event) {
            self.on_flow_action(action);
        }
    }

    fn on_flow_action(&mut self, action: flows::Action) {
        match action {
            flows::Action::Forward { to, relay } => {
                socket::send(&self.links.socket, to, &Datagram::Relay(relay));
            }
            flows::Action::Send(packet) => {
                if let Ok(bytes) = encode_packet(&packet) {
                    // A lost packet is sent again by the flow's timer.
                    let _ = self.links.socket.send_to(&bytes, self.settings.fabric);
                }
            }
            flows::Action::Deliver { id, bytes } => self.deliver(id, &bytes),
            flows::Action::Hint { balancer, hint } => {
                socket::send(&self.links.socket, balancer, &Datagram::Hint(hint));
            }
            flows::Action::Register { to, register } => {
                self.send(to, AgentMessage::Register(register));
            }
            flows::Action::Registered { to, registered } => {
                self.send(to, AgentMessage::Registered(registered));
            }
            flows::Action::Handover { host, parcel } => self.hand_over_flows(host, parcel),
            // The answer is collected by `take_over`.
            flows::Action::TookOver { .. } => {}
            flows::Action::Drained => self.mark(|drained| drained.flows = true),
            flows::Action::Count(counter) => self.counts.add("flows", &counter),
        }
    }

    fn deliver(&mut self, id: RequestId, bytes: &[u8]) {
        let Some(view) = &self.view else { return };
        match deliver::parse(now(), &view.profile, id, bytes) {
            Ok((request, number)) => {
                if let Some(parts) = &mut self.parts {
                    parts.ids.insert(id, number);
                }
                self.scheduler(admission::Event::Arrive(request));
            }
            Err(bytes) => self.flows(flows::Event::Reply { id, bytes }),
        }
    }

    fn scheduler(&mut self, event: admission::Event) {
        let Some(parts) = &mut self.parts else { return };
        for action in parts.scheduler.handle(now(), event) {
            self.on_scheduler_action(action);
        }
    }

    fn on_scheduler_action(&mut self, action: admission::Action) {
        match action {
            admission::Action::Claim {
                id,
                key,
                attempt,
                age,
            } => {
                if let Some(parts) = &mut self.parts {
                    parts.claims.insert(key, id);
                }
                let deadline = now() + CLAIM_LIMIT;
                self.claimant(ClaimantEvent::Ask {
                    key,
                    attempt,
                    age,
                    deadline,
                });
            }
            admission::Action::Dispatch {
                id,
                key,
                method,
                body,
                start_by,
                deadline,
            } => {
                let start_by = Some(start_by);
                let run = self.number(id);
                let body = serde_json::from_slice(&body).unwrap_or_default();
                let request = RunRequest {
                    run,
                    key,
                    method,
                    start_by,
                    deadline,
                    body,
                };
                let _ = self.links.commands.try_send(Command::Run(request));
            }
            admission::Action::CancelRun { id } => {
                let run = self.parts.as_ref().and_then(|parts| parts.numbers.get(&id));
                if let Some(run) = run {
                    let _ = self.links.commands.try_send(Command::Cancel(*run));
                }
            }
            admission::Action::Reply { id, outcome } => {
                let number = self.parts.as_mut().and_then(|parts| parts.ids.remove(&id));
                let bytes = deliver::encode(number.unwrap_or_default(), outcome);
                self.flows(flows::Event::Reply { id, bytes });
            }
            admission::Action::Complete { key, outcome } => {
                self.claimant(ClaimantEvent::Report { key, outcome });
            }
            admission::Action::Offer { to, offer } => self.send(to, AgentMessage::Offer(offer)),
            admission::Action::OfferReply { to, reply } => {
                self.send(to, AgentMessage::OfferReply(reply));
            }
            admission::Action::OfferOutcome { to, outcome } => {
                self.send(to, AgentMessage::OfferOutcome(outcome));
            }
            admission::Action::OfferDone { to, done } => {
                self.send(to, AgentMessage::OfferDone(done));
            }
            admission::Action::Drained => self.mark(|drained| drained.requests = true),
            admission::Action::Count(counter) => self.counts.add("requests", &counter),
        }
    }

    fn number(&mut self, id: RequestId) -> u64 {
        let Some(parts) = &mut self.parts else {
            return 0;
        };
        parts.next_run += 1;
        parts.runs.insert(parts.next_run, id);
        parts.numbers.insert(id, parts.next_run);
        parts.next_run
    }

    fn claimant(&mut self, event: ClaimantEvent) {
        let Some(parts) = &mut self.parts else { return };
        for action in parts.claimant.handle(now(), event) {
            self.on_claimant_action(action);
        }
    }

    fn on_claimant_action(&mut self, action: ClaimantAction) {
        let claimed = |worker: &Self, key: &RequestKey| {
            worker
                .parts
                .as_ref()
                .and_then(|parts| parts.claims.get(key))
                .copied()
        };
        match action {
            ClaimantAction::Claim { to, claim } => self.send(to, AgentMessage::Claim(claim)),
            ClaimantAction::Complete { to, complete } => {
                self.send(to, AgentMessage::Complete(complete));
            }
            ClaimantAction::Permit { key, start_by } => {
                if let Some(id) = claimed(self, &key) {
                    self.scheduler(admission::Event::Permit { id, start_by });
                }
            }
            ClaimantAction::Settled { key, outcome } => {
                if let Some(id) = claimed(self, &key) {
                    self.scheduler(admission::Event::Settled { id, outcome });
                }
            }
            ClaimantAction::Denied { key } => {
                if let Some(id) = claimed(self, &key) {
                    self.scheduler(admission::Event::Denied { id });
                }
            }
            ClaimantAction::Running { .. } => {}
        }
    }

    fn ledger(&mut self, event: LedgerEvent) {
        let Some(parts) = &mut self.parts else { return };
        for action in parts.ledger.handle(now(), event) {
            self.on_ledger_action(action);
        }
    }

    fn on_ledger_action(&mut self, action: LedgerAction) {
        match action {
            LedgerAction::Verdict { to, verdict } => self.send(to, AgentMessage::Verdict(verdict)),
            LedgerAction::Completed { to, completed } => {
                self.send(to, AgentMessage::Completed(completed));
            }
            LedgerAction::Handover { to, parcel } => self.hand_over_records(&to, parcel),
            // The answer is collected by `take_over`.
            LedgerAction::Acknowledge { .. } => {}
            LedgerAction::Drained => {
                self.drained.records = true;
                let _ = self.links.events.try_send(ControlEvent::RecordsDrained);
            }
            LedgerAction::Count(counter) => self.counts.add("dedupe", &counter),
        }
    }

    // Flows must leave first: their requests may still need a key of this agent.
    fn mark(&mut self, set: impl FnOnce(&mut Drained)) {
        set(&mut self.drained);
        if self.drained.flows && self.drained.requests {
            let _ = self.links.events.try_send(ControlEvent::Drained);
        }
    }

    fn take_over(&mut self, content: Content) -> Option<Value> {
        let parts = self.parts.as_mut()?;
        let mut answer = None;
        match content {
            Content::Flows(parcel) => {
                for action in parts.flows.handle(now(), flows::Event::Handover(parcel)) {
                    if let flows::Action::TookOver { flows } = &action {
                        answer = Some(json!(flows));
                    }
                    self.on_flow_action(action);
                }
            }
            Content::Records(parcel) => {
                for action in parts.ledger.handle(now(), LedgerEvent::Takeover(parcel)) {
                    if let LedgerAction::Acknowledge { roster, .. } = &action {
                        answer = Some(json!(roster));
                    }
                    self.on_ledger_action(action);
                }
            }
            Content::Message { from, message } => {
                self.on_message(from, message);
                answer = Some(json!(true));
            }
        }
        answer
    }

    fn hand_over_flows(&self, host: HostId, parcel: flows::Parcel) {
        let own = self.links.own.clone();
        let Some((admin, parcels)) = self.parcels(&host, Content::Flows(parcel)) else {
            return;
        };
        task::spawn(async move {
            let flows = hand_over(admin, &parcels).await.ok();
            if flows.is_none() {
                task::sleep(HANDOVER_RETRY).await;
            }
            let _ = own.send(WorkerEvent::FlowsTaken { to: host, flows });
        });
    }

    fn hand_over_records(&self, host: &HostId, parcel: usher_dedupe::Parcel) {
        let own = self.links.own.clone();
        let host = host.clone();
        let Some((admin, parcels)) = self.parcels(&host, Content::Records(parcel)) else {
            return;
        };
        task::spawn(async move {
            // The ledger repeats a handover that is not acknowledged.
            if let Ok(roster) = hand_over(admin, &parcels).await {
                let _ = own.send(WorkerEvent::RecordsTaken { from: host, roster });
            }
        });
    }

    fn parcels(&self, host: &HostId, content: Content) -> Option<(SocketAddrV4, Parcels)> {
        let view = self.view.as_ref()?;
        let admin = view.roster.members.get(host)?.admin;
        let service: ServiceName = self.settings.service.clone();
        Some((
            admin,
            Parcels {
                service,
                generation: view.generation,
                content,
            },
        ))
    }

    fn send(&mut self, to: SocketAddrV4, message: AgentMessage) {
        if to == self.settings.listen {
            self.local.push_back(message);
            return;
        }
        if payload(&message).is_some_and(|payload| payload.len() > MAX_PAYLOAD) {
            return self.send_large(to, message);
        }
        let Some(view) = &self.view else { return };
        let service = self.settings.service.clone();
        let datagram = Datagram::Agent {
            service,
            generation: view.generation,
            message,
        };
        socket::send(&self.links.socket, to, &datagram);
    }

    // The scheduler repeats a message that gets no answer.
    fn send_large(&self, to: SocketAddrV4, message: AgentMessage) {
        let Some(view) = &self.view else { return };
        let mut members = view.roster.members.iter();
        let Some((host, _)) = members.find(|(_, member)| member.agent == to) else {
            return;
        };
        let from = self.settings.listen;
        let content = Content::Message { from, message };
        if let Some((admin, parcels)) = self.parcels(host, content) {
            task::spawn(async move { hand_over::<bool>(admin, &parcels).await });
        }
    }

    fn status(&self) -> Value {
        let Some(parts) = &self.parts else {
            return json!({});
        };
        json!({
            "flows": parts.flows.flows(),
            "wait": parts.scheduler.wait(now()),
            "weight": parts.scheduler.weight(),
            "records": parts.ledger.len(),
            "awaiting": parts.ledger.awaiting(),
            "counters": self.counts.totals(),
            "drained": { "flows": self.drained.flows, "requests": self.drained.requests, "records": self.drained.records },
        })
    }
}

// The payload of messages whose size the caller or the backend server decides.
fn payload(message: &AgentMessage) -> Option<&[u8]> {
    match message {
        AgentMessage::Offer(offer) => Some(&offer.body),
        AgentMessage::OfferOutcome(report) => match &report.outcome {
            Outcome::Answered(payload) | Outcome::Failed(payload) => Some(payload),
            Outcome::NotRun { .. } | Outcome::Unknown => None,
        },
        _ => None,
    }
}

fn lineage(roster: &Arc<Roster>) -> Lineage {
    let earlier = roster
        .earlier
        .iter()
        .map(PastRoster::to_roster)
        .map(Arc::new)
        .collect();
    // Every writer of a roster keeps the earlier ones that are not settled.
    Lineage {
        roster: Arc::clone(roster),
        earlier,
        complete: true,
    }
}
