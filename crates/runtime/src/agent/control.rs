use std::mem;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use async_std::channel::{self, Receiver, Sender};
use async_std::{future, task};
use serde_json::{Value, json};
use usher_agent::View;
use usher_members::{Action, Change, Event, Identity, Proposal, Status};
use usher_types::{
    HostId, HostState, Incarnation, Member, Peer, Roster, Span, Time, Version, Weight,
};

use super::phase::Phase;
use super::worker_event::WorkerEvent;
use crate::control::{Call, ControlEvent, Core, edit_roster, log_suspicion};
use crate::{AgentSettings, RuntimeError, event};
use usher_clock::now;

// Longest wait for an event.
const IDLE: Duration = Duration::from_secs(1);
// How long the agent forwards packets still in transit to it after it has left the roster.
const LINGER: Span = Span::from_secs(2);
const REPORT_INTERVAL: Span = Span::from_secs(5);

/// Control state of an agent.
pub(crate) struct Control {
    settings: AgentSettings,
    incarnation: Incarnation,
    core: Core,
    worker: mpsc::Sender<WorkerEvent>,
    status: Status,
    // Earlier rosters that may have an active owner; unknown before the first report.
    unsettled: Option<Vec<Version>>,
    suspected: Vec<HostId>,
    // This process wrote the service's first roster.
    created: bool,
    was_member: bool,
    records_drained: bool,
    phase: Phase,
    next_report: Time,
}

impl Control {
    pub(crate) fn new(
        settings: AgentSettings,
        incarnation: Incarnation,
        socket: UdpSocket,
        worker: mpsc::Sender<WorkerEvent>,
        events: Sender<ControlEvent>,
    ) -> Self {
        let identity = Identity::Agent {
            host: settings.host.clone(),
            service: settings.service.clone(),
            centre: settings.common.centre.clone(),
            incarnation,
        };
        Self {
            core: Core::new(identity, settings.common.clone(), socket, events),
            settings,
            incarnation,
            worker,
            status: Status::default(),
            unsettled: None,
            suspected: Vec::new(),
            created: false,
            was_member: false,
            records_drained: false,
            phase: Phase::default(),
            next_report: Time::ZERO,
        }
    }

    pub(crate) async fn run(
        mut self,
        receiver: Receiver<ControlEvent>,
        stop: Receiver<()>,
    ) -> Result<(), RuntimeError> {
        let _server = self.core.start().await?;
        task::spawn(forward_stop(stop, self.core.events.clone()));
        self.advance(Event::Join(self.member()));
        while !self.is_finished() {
            match future::timeout(self.wait(), receiver.recv()).await {
                Ok(Ok(event)) => self.handle(event),
                Ok(Err(_)) => break,
                Err(_) => {}
            }
            self.tick();
        }
        event::LEFT.log(&[("service", &self.settings.service)]);
        Ok(())
    }

    fn member(&self) -> Member {
        Member {
            incarnation: self.incarnation,
            agent: self.settings.listen,
            admin: self.settings.common.admin,
            centre: self.settings.common.centre.clone(),
            weight: Weight::NOMINAL,
            state: HostState::Serving,
        }
    }

    fn wait(&self) -> Duration {
        let due = self
            .core
            .next_timer()
            .map_or(IDLE, |due| Duration::from_micros((due - now()).as_micros()));
        due.min(IDLE)
    }

    fn is_finished(&self) -> bool {
        self.phase
            .left_at()
            .is_some_and(|left| now() - left >= LINGER)
    }

    fn tick(&mut self) {
        if self.core.next_timer().is_some_and(|due| due <= now()) {
            self.advance(Event::Tick);
        }
        if !self.phase.is_running() && now() >= self.next_report {
            self.next_report = now() + REPORT_INTERVAL;
            event::WAITING.log(&[("phase", &self.phase)]);
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Objects(update) => {
                let before = self.core.state.complete();
                let changed = self.core.adopt(update);
                if !changed.is_empty() || self.core.state.complete() > before {
                    self.apply();
                }
            }
            ControlEvent::WriteAgain => self.core.write_again(),
            // Membership proposes to join until the roster lists this host.
            ControlEvent::Restored => {}
            ControlEvent::Store(true) => self.advance(Event::StoreUp),
            ControlEvent::Store(false) => self.advance(Event::StoreDown),
            ControlEvent::Beat { source, beat } => {
                self.compare_revision(&beat.from, beat.revision);
                self.advance(Event::Beat { source, beat });
            }
            ControlEvent::BeatAck(ack) => {
                self.compare_revision(&ack.from, ack.revision);
                self.advance(Event::BeatAck(ack));
            }
            ControlEvent::Load {
                wait,
                weight,
                unsettled,
            } => {
                self.unsettled = Some(unsettled);
                self.status = Status {
                    wait,
                    weight,
                    ..self.status
                };
                self.advance(Event::Status(self.status));
            }
            ControlEvent::InForce(revision) => {
                self.status.revision = revision;
                self.advance(Event::Status(self.status));
            }
            ControlEvent::Drained => self.on_drained(),
            ControlEvent::RecordsDrained => {
                self.records_drained = true;
                self.check_left();
            }
            ControlEvent::Leaving => self.begin_drain(false),
            ControlEvent::Written(roster) => Self::on_written(roster),
            ControlEvent::Call(call) => self.answer(call),
            ControlEvent::Stop => self.begin_drain(true),
        }
    }

    // Peers may hold newer configuration while the store is down or serves stale objects.
    fn compare_revision(&mut self, peer: &Peer, revision: Version) {
        let service = Some(&self.settings.service);
        self.core.compare_revision(peer, service, revision);
    }

    fn advance(&mut self, event: Event) {
        for action in self.core.advance(event) {
            match action {
                Action::Suspected { service, hosts } => {
                    log_suspicion(&service, &self.suspected, &hosts);
                    self.suspected = hosts;
                }
                Action::Propose(proposal) => self.propose(proposal),
                // The core sends heartbeats, and balancers write fleets.
                Action::Beat { .. }
                | Action::Ack { .. }
                | Action::Distrusted { .. }
                | Action::ProposeFleet(_) => {}
            }
        }
    }

    // Passes the current configuration to membership and to the traffic thread.
    fn apply(&mut self) {
        let service = self.settings.service.clone();
        let centre = self.settings.common.centre.clone();
        if let Some(fleet) = self.core.state.fleet(centre.as_str()) {
            self.advance(Event::Fleet { centre, fleet });
        }
        let roster = self.core.state.roster(&service).unwrap_or_default();
        if let Some(view) = self.view(&roster) {
            let _ = self.worker.send(WorkerEvent::View(view));
        }
        self.advance(Event::Roster { service, roster });
        self.check_left();
    }

    // A process that has left the roster still needs newer rosters to hand its records over.
    fn view(&mut self, roster: &Arc<Roster>) -> Option<View> {
        let entry = self.core.state.service(&self.settings.service)?;
        let own = roster.members.get(&self.settings.host);
        let is_own = own.is_some_and(|member| member.incarnation == self.incarnation);
        self.was_member |= is_own;
        // Taken from the roster: the watch may deliver it before the reply to its write arrives.
        self.created |= is_own && roster.earlier.is_empty() && roster.members.len() == 1;
        self.was_member.then(|| View {
            generation: entry.service.generation,
            profile: Arc::new(entry.profile.clone()),
            roster: Arc::clone(roster),
            revision: self.core.state.complete(),
            created: self.created,
        })
    }

    // The conditional write runs in a task of its own; its result returns as an event.
    fn propose(&mut self, proposal: Proposal) {
        let (store, events) = (self.core.store.clone(), self.core.events.clone());
        let service = self.settings.service.clone();
        let unsettled = self.unsettled.clone();
        let delay = self.core.edit_delay(proposal.base);
        let era = store.era();
        task::spawn(async move {
            task::sleep(Duration::from_micros(delay.as_micros())).await;
            // The read before the edit can be the first that shows a restore.
            let edit = |current: &Roster| {
                let known = (store.era() == era).then_some(current)?;
                proposal.apply_with_history(known, unsettled.as_deref())
            };
            let written = edit_roster(&store, &service, edit).await;
            match (&written, &proposal.change) {
                (Ok(Some(_)), Change::Remove { hosts }) => {
                    for (host, _) in hosts {
                        event::REMOVED.log(&[("service", &service), ("host", host)]);
                    }
                }
                (Ok(_), _) => {}
                (Err(fault), _) => event::ROSTER_WRITE.log(&[("fault", fault)]),
            }
            let _ = events
                .send(ControlEvent::Written(written.unwrap_or_default()))
                .await;
        });
    }

    fn on_written(roster: Option<Arc<Roster>>) {
        let Some(roster) = roster else { return };
        event::ROSTER.log(&[
            ("version", &roster.version),
            ("members", &roster.members.len()),
        ]);
    }

    // A planned stop ends when the roster no longer lists this agent and other hosts hold its
    // records.
    fn check_left(&mut self) {
        let roster = self
            .core
            .state
            .roster(&self.settings.service)
            .unwrap_or_default();
        let own = roster.members.get(&self.settings.host);
        let is_listed = own.is_some_and(|member| member.incarnation == self.incarnation);
        if !is_listed && self.records_drained {
            self.phase = mem::take(&mut self.phase).left(now());
        }
    }

    fn begin_drain(&mut self, stop: bool) {
        event::STOPPING.log(&[("stop", &stop)]);
        let was_running = self.phase.is_running();
        self.phase = mem::take(&mut self.phase).drain(stop);
        if was_running {
            self.advance(Event::Drain);
            let _ = self.worker.send(WorkerEvent::Drain);
        }
        if !self.was_member {
            // A process that never served holds neither flows nor records.
            self.records_drained = true;
            self.phase = mem::take(&mut self.phase).finish();
        }
        self.leave_if_ready();
    }

    fn on_drained(&mut self) {
        self.phase = mem::take(&mut self.phase).finish();
        self.leave_if_ready();
    }

    fn leave_if_ready(&mut self) {
        if self.phase.may_leave() {
            self.phase = mem::take(&mut self.phase).leave();
            let _ = self.worker.send(WorkerEvent::Leave);
            self.advance(Event::Leave);
            self.check_left();
        }
    }

    fn answer(&mut self, call: Call) {
        match call {
            Call::Status(reply) => self.answer_status(reply),
            Call::Since(version, reply) => {
                let _ = reply.try_send(self.core.state.since(version));
            }
            Call::Drain(reply) => {
                self.begin_drain(false);
                let _ = reply.try_send(true);
            }
            Call::TakeOver(request, reply) => {
                let own = self.core.state.service(&self.settings.service);
                let is_current =
                    own.is_some_and(|entry| request.generation >= entry.service.generation);
                if request.service == self.settings.service && is_current {
                    let content = request.content;
                    let _ = self.worker.send(WorkerEvent::Handover { content, reply });
                } else {
                    let _ = reply.try_send(None);
                }
            }
        }
    }

    // The traffic thread adds the fields that describe its state.
    fn answer_status(&self, reply: Sender<Value>) {
        let own = json!({
            "role": "agent",
            "name": self.settings.host,
            "service": self.settings.service,
            "centre": self.settings.common.centre,
            "incarnation": self.incarnation,
            "revision": self.status.revision,
            "state": self.phase.to_string(),
        });
        let (sender, receiver) = channel::bounded(1);
        if self.worker.send(WorkerEvent::Status(sender)).is_err() {
            return;
        }
        task::spawn(async move {
            let mut status = own;
            if let (Ok(Value::Object(more)), Value::Object(fields)) =
                (receiver.recv().await, &mut status)
            {
                fields.extend(more);
            }
            let _ = reply.send(status).await;
        });
    }
}

async fn forward_stop(stop: Receiver<()>, events: Sender<ControlEvent>) {
    while stop.recv().await.is_ok() {
        if events.send(ControlEvent::Stop).await.is_err() {
            return;
        }
    }
}
