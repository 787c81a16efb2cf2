use std::collections::HashMap;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::time::Duration;

use async_std::channel::Sender;
use serde_json::{Value, json};
use usher_agent::{Action, AgentState, Event};
use usher_burn::OutcomeWindows;
use usher_types::{
    AgentMessage, HostId, Message, Outcome, Payload, RequestId, RequestKey, Slots, Span, Time,
};
use usher_wire::{RunRequest, encode_packet};

use super::counts::Counts;
use super::deliver::Delivered;
use super::runs::Runs;
use super::worker_event::WorkerEvent;
use super::{deliver, handover};
use crate::backend::{Command, Report};
use crate::control::{ControlEvent, HandoverContent, HandoverRequest};
use crate::metrics::Metrics;
use crate::{AgentSettings, event, metric, socket};
use usher_clock::now;

// Wait for an event when no timer is set.
const IDLE: Span = Span::from_secs(1);
const REPORT_INTERVAL: Span = Span::from_millis(500);
// Payloads above this do not fit one datagram of 65,507 bytes with the rest of their message.
const MAX_PAYLOAD_BYTES: usize = 60_000;

/// Socket, channels and metrics that connect the traffic thread to the process.
pub(crate) struct Links {
    pub(crate) socket: UdpSocket,
    pub(crate) commands: Sender<Command>,
    pub(crate) events: Sender<ControlEvent>,
    pub(crate) to_self: mpsc::Sender<WorkerEvent>,
    pub(crate) metrics: Metrics,
}

/// The traffic thread of an agent: performs the actions that `AgentState` decides on.
pub(crate) struct Worker {
    settings: AgentSettings,
    agent: AgentState,
    links: Links,
    runs: Runs,
    // JSON-RPC ids and deadlines of the unanswered requests.
    ids: HashMap<RequestId, (Value, Time)>,
    outcome_windows: OutcomeWindows,
    counts: Counts,
    next_report: Time,
}

impl Worker {
    pub(crate) fn new(settings: AgentSettings, agent: AgentState, links: Links) -> Self {
        Self {
            settings,
            agent,
            links,
            runs: Runs::default(),
            ids: HashMap::new(),
            outcome_windows: OutcomeWindows::new(now()),
            counts: Counts::default(),
            next_report: Time::ZERO,
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
            if self.agent.next_timer().is_some_and(|due| due <= now()) {
                self.feed(Event::Tick);
            }
            if now() >= self.next_report {
                self.report();
            }
        }
    }

    fn due(&self) -> Time {
        let due = self.agent.next_timer().unwrap_or(now() + IDLE);
        due.min(self.next_report)
    }

    fn handle(&mut self, event: WorkerEvent) {
        match event {
            WorkerEvent::Message { from, message } => self.feed(Event::Message { from, message }),
            WorkerEvent::View(view) => self.feed(Event::View(view)),
            WorkerEvent::Backend(report) => self.on_run(report),
            WorkerEvent::Handover { content, reply } => {
                // Fails when the call has timed out; the sender then repeats it.
                let _ = reply.try_send(self.take_over(content));
            }
            WorkerEvent::FlowsTaken { to, flows } => {
                match &flows {
                    Some(flows) => {
                        event::HANDED_OVER.log(&[("host", &to), ("flows", &flows.len())]);
                    }
                    None => event::HANDOVER_FAILED.log(&[("host", &to)]),
                }
                self.feed(Event::FlowsTaken { to, flows });
            }
            WorkerEvent::RecordsTaken { from, roster } => {
                event::RECORDS_HANDED.log(&[("host", &from), ("roster", &roster)]);
                self.feed(Event::RecordsTaken { from, roster });
            }
            WorkerEvent::Status(reply) => {
                let _ = reply.try_send(self.status());
            }
            WorkerEvent::Drain => self.feed(Event::Drain),
            WorkerEvent::Leave => self.feed(Event::Leave),
        }
    }

    fn feed(&mut self, event: Event) {
        for action in self.agent.handle(now(), event) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.send(to, message),
            Action::Packet(packet) => {
                if let Ok(bytes) = encode_packet(&packet) {
                    // The flow's timer resends lost packets.
                    let _ = self.links.socket.send_to(&bytes, self.settings.fabric);
                }
            }
            Action::Deliver { id, bytes } => self.deliver(id, &bytes),
            Action::Answer { id, outcome } => {
                let (rpc_id, deadline) = self.ids.remove(&id).unzip();
                if let Some(deadline) = deadline {
                    self.outcome_windows.record(now(), deadline, &outcome);
                }
                let rpc_id = rpc_id.unwrap_or_default();
                let bytes = deliver::encode(rpc_id, outcome);
                self.feed(Event::Reply { id, bytes });
            }
            Action::Run {
                id,
                key,
                method,
                body,
                start_by,
                deadline,
            } => {
                self.start_run(id, key, method, &body, (start_by, deadline));
            }
            Action::CancelRun(id) => {
                if let Some(run) = self.runs.number(&id) {
                    self.command(Command::Cancel(run));
                }
            }
            Action::HandOverFlows { to, transfer } => self.hand_over_flows(to, transfer),
            Action::HandOverRecords { to, transfer } => self.hand_over_records(to, transfer),
            // Collected by `take_over`.
            Action::TookFlows(_) | Action::TookRecords(_) => {}
            Action::InForce(revision) => self.notify_control(ControlEvent::InForce(revision)),
            Action::Drained => self.notify_control(ControlEvent::Drained),
            Action::RecordsDrained => self.notify_control(ControlEvent::RecordsDrained),
            Action::Count { part, name } => self.counts.add(part, name),
        }
    }

    fn send(&self, to: SocketAddrV4, message: Message) {
        if payload(&message).is_none_or(|payload| payload.len() <= MAX_PAYLOAD_BYTES) {
            return socket::send(&self.links.socket, to, &message);
        }
        let members = self.agent.view().map(|view| &view.roster.members);
        let receiver = members.and_then(|members| {
            let mut members = members.iter();
            members.find(|(_, member)| member.agent == to)
        });
        let from = self.settings.listen;
        let content = HandoverContent::Message { from, message };
        if let Some((host, _)) = receiver
            && let Some((admin, request)) = self.request(host, content)
        {
            handover::send_message(admin, request);
        }
    }

    fn deliver(&mut self, id: RequestId, bytes: &[u8]) {
        let Some(view) = self.agent.view() else {
            return;
        };
        match deliver::parse(now(), &view.profile, id, bytes) {
            Delivered::Request(request, rpc_id) => {
                self.ids.insert(id, (rpc_id, request.deadline));
                self.feed(Event::Request(request));
            }
            Delivered::Cancel(rpc_id) => {
                self.cancel(&id, &rpc_id);
                // A notification has no response.
                self.feed(Event::Reply {
                    id,
                    bytes: Vec::new(),
                });
            }
            Delivered::Malformed(bytes) => self.feed(Event::Reply { id, bytes }),
        }
    }

    fn cancel(&mut self, notification: &RequestId, rpc_id: &Value) {
        let mut waiting = self.ids.iter();
        let found = waiting
            .find(|(id, (known, _))| id.flow == notification.flow && known == rpc_id)
            .map(|(id, _)| *id);
        if let Some(id) = found {
            self.feed(Event::Cancel(id));
        }
    }

    fn start_run(
        &mut self,
        id: RequestId,
        key: RequestKey,
        method: String,
        body: &Payload,
        (start_by, deadline): (Time, Time),
    ) {
        let Ok(body) = serde_json::from_slice(body) else {
            // An offered request whose body is not JSON was never started.
            return self.feed(Event::Refused(id));
        };
        let run = self.runs.start(id);
        let start_by = Some(start_by);
        self.command(Command::Run(RunRequest {
            run,
            key,
            method,
            start_by,
            deadline,
            body,
        }));
    }

    fn on_run(&mut self, report: Report) {
        match report {
            Report::Finished { run, outcome } => {
                self.end_run(run, |id| Event::Finished { id, outcome });
            }
            Report::NotStarted { run } => self.end_run(run, Event::Refused),
            Report::Lost { run } => self.end_run(run, Event::Lost),
            Report::Connected(is_connected) => self.set_slots(is_connected),
            Report::Leaving => self.notify_control(ControlEvent::Leaving),
        }
    }

    // Without a backend server there is no slot, so requests go to other hosts at once.
    fn set_slots(&mut self, is_connected: bool) {
        let slots = if is_connected {
            self.settings.slots
        } else {
            Slots::default()
        };
        self.feed(Event::Slots(slots));
    }

    fn end_run(&mut self, run: u64, event: impl FnOnce(RequestId) -> Event) {
        if let Some(id) = self.runs.end(run) {
            self.feed(event(id));
        }
    }

    fn take_over(&mut self, content: HandoverContent) -> Option<Value> {
        let event = match content {
            HandoverContent::Flows(transfer) => Event::TakeFlows(transfer),
            HandoverContent::Records(transfer) => Event::TakeRecords(transfer),
            HandoverContent::Message { from, message } => {
                self.feed(Event::Message { from, message });
                return Some(json!(true));
            }
        };
        let mut answer = None;
        for action in self.agent.handle(now(), event) {
            match &action {
                Action::TookFlows(flows) => answer = Some(json!(flows)),
                Action::TookRecords(roster) => answer = Some(json!(roster)),
                _ => {}
            }
            self.perform(action);
        }
        answer
    }

    fn hand_over_flows(&self, host: HostId, transfer: usher_flows::Transfer) {
        let to_self = self.links.to_self.clone();
        match self.request(&host, HandoverContent::Flows(transfer)) {
            Some((admin, request)) => handover::send_flows(host, admin, request, to_self),
            // The roster no longer lists the receiver; the flow table chooses another one.
            None => {
                let _ = to_self.send(WorkerEvent::FlowsTaken {
                    to: host,
                    flows: None,
                });
            }
        }
    }

    fn hand_over_records(&self, host: HostId, transfer: usher_dedupe::Transfer) {
        let to_self = self.links.to_self.clone();
        if let Some((admin, request)) = self.request(&host, HandoverContent::Records(transfer)) {
            handover::send_records(host, admin, request, to_self);
        }
    }

    fn request(
        &self,
        host: &HostId,
        content: HandoverContent,
    ) -> Option<(SocketAddrV4, HandoverRequest)> {
        let view = self.agent.view()?;
        let admin = view.roster.members.get(host)?.admin;
        let service = self.settings.service.clone();
        Some((
            admin,
            HandoverRequest {
                service,
                generation: view.generation,
                content,
            },
        ))
    }

    // Sends metrics, and sends the control thread the load that its heartbeats carry.
    fn report(&mut self) {
        let time = now();
        self.next_report = time + REPORT_INTERVAL;
        self.counts.flush(&self.links.metrics);
        let Some(summary) = self.agent.summary(time) else {
            return;
        };
        self.links.metrics.time(&metric::WAIT, summary.wait);
        self.links
            .metrics
            .gauge(&metric::FLOWS, summary.flows as u64);
        self.links
            .metrics
            .gauge(&metric::RECORDS, summary.records as u64);
        self.notify_control(ControlEvent::Load {
            wait: summary.wait,
            weight: summary.weight,
            unsettled: summary.unsettled,
        });
    }

    fn status(&self) -> Value {
        let Some(summary) = self.agent.summary(now()) else {
            return json!({ "burn": self.outcome_windows.windows(now()) });
        };
        json!({
            "flows": summary.flows,
            "wait": summary.wait,
            "weight": summary.weight,
            "records": summary.records,
            "awaiting": summary.unacknowledged,
            "requests": self.ids.len(),
            "burn": self.outcome_windows.windows(now()),
            "counters": self.counts.totals(),
        })
    }

    fn command(&mut self, command: Command) {
        if let Err(refused) = self.links.commands.try_send(command)
            && let Command::Run(request) = refused.into_inner()
            && let Some(id) = self.runs.end(request.run)
        {
            self.feed(Event::Refused(id));
        }
    }

    fn notify_control(&self, event: ControlEvent) {
        // Fails only while the process is ending.
        let _ = self.links.events.try_send(event);
    }
}

// Payload of the messages whose size depends on the caller or the backend server.
fn payload(message: &Message) -> Option<&[u8]> {
    let Message::Agent { message, .. } = message else {
        return None;
    };
    match message {
        AgentMessage::Offer(offer) => Some(&offer.body),
        AgentMessage::OfferOutcome(report) => match &report.outcome {
            Outcome::Answered(payload) | Outcome::Failed(payload) => Some(payload),
            Outcome::NotRun { .. } | Outcome::Unknown => None,
        },
        _ => None,
    }
}
