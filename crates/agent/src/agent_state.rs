use std::collections::{HashMap, VecDeque};
use std::mem;
use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_admission::{self as admission, Scheduler};
use usher_dedupe::{
    Agent, Claimant, ClaimantEvent, Ledger, LedgerEvent, Lineage, Origin, PACKET_LIFETIME,
};
use usher_flows::{self as flows, FlowTable};
use usher_types::{
    AgentMessage, Body, Message, Offer, PastRoster, Relay, RequestId, RequestKey, Roster, Time,
};

use crate::counter::Counter;
use crate::peers::Peers;
use crate::{Action, Event, Settings, Summary, View};

/// Flows, requests and dedupe records of one host.
///
/// ```
/// use usher_agent::{AgentState, Event, Settings};
/// use usher_types::{Incarnation, Slots, Time};
/// let settings = Settings {
///     host: "booking-desk-1".parse()?,
///     incarnation: Incarnation::new(1),
///     service: "booking-desk".parse()?,
///     address: "127.0.0.1:7001".parse().unwrap(),
///     slots: Slots::new(3),
///     policy: usher_admission::Policy::default(),
/// };
/// let mut agent = AgentState::new(settings);
/// assert!(agent.handle(Time::ZERO, Event::Tick).is_empty());
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug)]
pub struct AgentState {
    pub(crate) settings: Settings,
    pub(crate) view: Option<View>,
    pub(crate) machines: Option<Machines>,
    pub(crate) peers: Peers,
    pub(crate) now: Time,
    pub(crate) out: Vec<Action>,
    pub(crate) flows_drained: bool,
    pub(crate) requests_drained: bool,
    // Messages to this agent itself, for example to the key owner on the same host.
    local: VecDeque<AgentMessage>,
}

// They exist once the service and its roster are known.
#[derive(Debug)]
pub(crate) struct Machines {
    pub(crate) flows: FlowTable,
    pub(crate) scheduler: Scheduler,
    pub(crate) ledger: Ledger,
    pub(crate) claimant: Claimant,
    pub(crate) claims: HashMap<RequestKey, RequestId>,
}

impl AgentState {
    /// An agent without control state.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            view: None,
            machines: None,
            peers: Peers::default(),
            now: Time::ZERO,
            out: Vec::new(),
            flows_drained: false,
            requests_drained: false,
            local: VecDeque::new(),
        }
    }

    /// Reacts to one event; `now` must be read after the event's message was received.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.now = now;
        self.apply(event);
        while let Some(message) = self.local.pop_front() {
            self.on_agent_message(self.settings.address, message);
        }
        mem::take(&mut self.out)
    }

    /// When the next `Event::Tick` is due.
    pub fn next_timer(&self) -> Option<Time> {
        let machines = self.machines.as_ref()?;
        let timers = [
            machines.flows.next_timer(),
            machines.scheduler.next_timer(),
            machines.ledger.next_timer(),
            machines.claimant.next_timer(),
        ];
        timers.into_iter().flatten().min()
    }

    /// What the agent measures and holds; `None` before the first view.
    pub fn summary(&self, now: Time) -> Option<Summary> {
        let machines = self.machines.as_ref()?;
        Some(Summary {
            flows: machines.flows.flows(),
            wait: machines.scheduler.wait(now),
            weight: machines.scheduler.weight(),
            records: machines.ledger.len(),
            unsettled: machines.ledger.unsettled(now),
            awaiting: machines.ledger.awaiting(),
        })
    }

    /// The view in force; `None` before the first one.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Message { from, message } => self.on_message(from, message),
            Event::View(view) => self.on_view(view),
            Event::Request(request) => self.scheduler(admission::Event::Arrive(request)),
            Event::Reply { id, bytes } => self.flows(flows::Event::Reply { id, bytes }),
            Event::Finished { id, outcome } => {
                self.scheduler(admission::Event::Finished { id, outcome });
            }
            Event::Refused(id) => self.scheduler(admission::Event::Refused { id }),
            Event::Lost(id) => self.scheduler(admission::Event::Lost { id }),
            Event::Slots(slots) => {
                self.settings.slots = slots;
                self.scheduler(admission::Event::Slots(slots));
            }
            Event::Cancel(id) => self.scheduler(admission::Event::Cancel { id }),
            Event::TakeFlows(transfer) => self.flows(flows::Event::Handover(transfer)),
            Event::TakeRecords(transfer) => self.ledger(LedgerEvent::Takeover(transfer)),
            Event::FlowsTaken {
                to,
                flows: Some(flows),
            } => {
                self.flows(flows::Event::HandedOver { to, flows });
            }
            Event::FlowsTaken { to, flows: None } => {
                self.flows(flows::Event::HandoverFailed { to });
            }
            Event::RecordsTaken { from, roster } => {
                self.ledger(LedgerEvent::TakeoverAcked { from, roster });
            }
            Event::Drain => {
                self.scheduler(admission::Event::Drain);
                self.flows(flows::Event::Drain);
            }
            Event::Leave => self.ledger(LedgerEvent::Drain),
            Event::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let Some(machines) = &self.machines else {
            return;
        };
        let is_due = |timer: Option<Time>| timer.is_some_and(|due| due <= self.now);
        let flows = is_due(machines.flows.next_timer());
        let scheduler = is_due(machines.scheduler.next_timer());
        let ledger = is_due(machines.ledger.next_timer());
        let claimant = is_due(machines.claimant.next_timer());
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

    fn on_view(&mut self, view: View) {
        if self.machines.is_none() {
            self.machines = Some(self.machines_for(&view));
        }
        let roster = Arc::clone(&view.roster);
        let revision = view.revision;
        self.scheduler(admission::Event::Profile(Arc::clone(&view.profile)));
        self.peers.retain(&roster);
        self.flows(flows::Event::Generation(view.generation));
        self.view = Some(view);
        self.flows(flows::Event::Roster(Arc::clone(&roster)));
        self.claimant(ClaimantEvent::Roster(Arc::clone(&roster)));
        self.ledger(LedgerEvent::Roster(lineage(&roster)));
        self.note_adoption();
        self.out.push(Action::InForce(revision));
    }

    fn machines_for(&self, view: &View) -> Machines {
        let Settings {
            host,
            incarnation,
            service,
            address,
            slots,
            policy,
        } = self.settings.clone();
        let agent = Agent {
            host: host.clone(),
            incarnation,
        };
        let profile = Arc::clone(&view.profile);
        let (buckets, hunt) = (profile.buckets, profile.hunt);
        let settings = flows::Settings::new(service, view.generation, buckets, host, address, hunt);
        let origin = if view.created {
            Origin::Created
        } else {
            Origin::Joined
        };
        Machines {
            flows: FlowTable::new(settings),
            scheduler: Scheduler::new(profile, slots, policy, address),
            ledger: Ledger::new(agent.clone(), origin),
            claimant: Claimant::new(agent, address),
            claims: HashMap::new(),
        }
    }

    fn on_message(&mut self, from: SocketAddrV4, message: Message) {
        match message {
            Message::Relay(relay) => self.on_relay(relay),
            Message::Beat(beat) => self.on_beat(from, &beat),
            Message::BeatAck(ack) => self.on_beat_ack(ack),
            Message::Agent {
                service,
                generation,
                message,
            } => {
                let oldest = self.view.as_ref().map(|view| view.generation);
                if service == self.settings.service && oldest.is_some_and(|own| generation >= own) {
                    self.on_agent_message(from, message);
                } else {
                    self.count("agent", &Counter::WrongService);
                }
            }
            Message::Hint(_) => {}
        }
    }

    // The choice of a host for a new flow needs the current wait.
    fn on_relay(&mut self, relay: Relay) {
        if relay.packet.body == Body::Open
            && let Some(machines) = &self.machines
        {
            let wait = machines.scheduler.wait(self.now);
            self.flows(flows::Event::Wait(wait));
        }
        self.flows(flows::Event::Relay(relay));
    }

    fn on_agent_message(&mut self, from: SocketAddrV4, message: AgentMessage) {
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
            AgentMessage::Offer(offer) => self.on_offer(offer),
            AgentMessage::OfferReply(reply) => {
                self.scheduler(admission::Event::OfferReply { from, reply });
            }
            AgentMessage::OfferOutcome(outcome) => {
                self.scheduler(admission::Event::OfferOutcome(outcome));
            }
            AgentMessage::OfferDone(done) => self.scheduler(admission::Event::OfferDone(done)),
        }
    }

    // An offer may arrive as late as any packet, and the age of a claim must not be understated.
    fn on_offer(&mut self, mut offer: Offer) {
        offer.age = offer.age + PACKET_LIFETIME;
        self.scheduler(admission::Event::Offered(offer));
    }

    pub(crate) fn send(&mut self, to: SocketAddrV4, message: AgentMessage) {
        if to == self.settings.address {
            self.local.push_back(message);
            return;
        }
        let Some(view) = &self.view else { return };
        let service = self.settings.service.clone();
        let message = Message::Agent {
            service,
            generation: view.generation,
            message,
        };
        self.out.push(Action::Send { to, message });
    }

    pub(crate) fn count(&mut self, part: &'static str, counter: &impl std::fmt::Debug) {
        self.out.push(Action::Count {
            part,
            name: format!("{counter:?}"),
        });
    }

    pub(crate) fn check_drained(&mut self) {
        if self.flows_drained && self.requests_drained {
            self.out.push(Action::Drained);
        }
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
