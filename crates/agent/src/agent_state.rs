use std::collections::{HashMap, VecDeque};
use std::mem;
use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_admission::{self as admission, Scheduler};
use usher_dedupe::{
    Agent, Claimant, ClaimantEvent, Ledger, LedgerEvent, Origin, PACKET_LIFETIME, RosterHistory,
};
use usher_flows::{self as flows, FlowTable};
use usher_types::{
    AgentMessage, Body, Message, Offer, PastRoster, Relay, RequestId, RequestKey, Roster, Time,
};

use crate::counter::Counter;
use crate::peers::Peers;
use crate::{Action, Event, Settings, Summary, View};

/// State of one host's agent: flows, requests and dedupe records.
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
    pub(crate) machines: Option<StateMachines>,
    pub(crate) peers: Peers,
    pub(crate) now: Time,
    pub(crate) out: Vec<Action>,
    pub(crate) flows_drained: bool,
    pub(crate) requests_drained: bool,
    // Messages that this agent sends to itself, for example when it owns the key of its own claim.
    loopback: VecDeque<AgentMessage>,
}

/// State machines of the agent; created with the first view.
#[derive(Debug)]
pub(crate) struct StateMachines {
    pub(crate) flows: FlowTable,
    pub(crate) scheduler: Scheduler,
    pub(crate) ledger: Ledger,
    pub(crate) claimant: Claimant,
    // The request that last claimed each key.
    pub(crate) claims: HashMap<RequestKey, RequestId>,
}

impl AgentState {
    /// Creates an agent without control state.
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
            loopback: VecDeque::new(),
        }
    }

    /// Handles one event and returns the resulting actions.
    ///
    /// `now` must be read after the event's message was received.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.now = now;
        self.apply(event);
        while let Some(message) = self.loopback.pop_front() {
            self.on_agent_message(self.settings.address, message);
        }
        mem::take(&mut self.out)
    }

    /// Returns when the next `Event::Tick` is due.
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

    /// Returns measurements and contents of the agent; `None` before the first view.
    pub fn summary(&self, now: Time) -> Option<Summary> {
        let machines = self.machines.as_ref()?;
        Some(Summary {
            flows: machines.flows.flows(),
            wait: machines.scheduler.wait(now),
            weight: machines.scheduler.weight(),
            records: machines.ledger.len(),
            unsettled: machines.ledger.unsettled(now),
            unacknowledged: machines.ledger.unacknowledged(),
        })
    }

    /// Returns the view in force; `None` before the first one.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Message { from, message } => self.on_message(from, message),
            Event::View(view) => self.on_view(view),
            Event::Request(request) => self.on_request_event(admission::Event::Arrive(request)),
            Event::Reply { id, bytes } => self.on_flow_event(flows::Event::Reply { id, bytes }),
            Event::Finished { id, outcome } => {
                self.on_request_event(admission::Event::Finished { id, outcome });
            }
            Event::Refused(id) => self.on_request_event(admission::Event::Refused { id }),
            Event::Lost(id) => self.on_request_event(admission::Event::Lost { id }),
            Event::Slots(slots) => {
                self.settings.slots = slots;
                self.on_request_event(admission::Event::Slots(slots));
            }
            Event::Cancel(id) => self.on_request_event(admission::Event::Cancel { id }),
            Event::TakeFlows(transfer) => self.on_flow_event(flows::Event::Handover(transfer)),
            Event::TakeRecords(transfer) => self.on_ledger_event(LedgerEvent::Takeover(transfer)),
            Event::FlowsTaken {
                to,
                flows: Some(flows),
            } => {
                self.on_flow_event(flows::Event::HandedOver { to, flows });
            }
            Event::FlowsTaken { to, flows: None } => {
                self.on_flow_event(flows::Event::HandoverFailed { to });
            }
            Event::RecordsTaken { from, roster } => {
                self.on_ledger_event(LedgerEvent::TakeoverAcked { from, roster });
            }
            Event::Drain => {
                self.on_request_event(admission::Event::Drain);
                self.on_flow_event(flows::Event::Drain);
            }
            Event::Leave => self.on_ledger_event(LedgerEvent::Drain),
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
            self.on_flow_event(flows::Event::Tick);
        }
        if scheduler {
            self.on_request_event(admission::Event::Tick);
        }
        if ledger {
            self.on_ledger_event(LedgerEvent::Tick);
        }
        if claimant {
            self.on_claimant_event(ClaimantEvent::Tick);
        }
    }

    fn on_view(&mut self, view: View) {
        if self.machines.is_none() {
            self.machines = Some(self.create_machines(&view));
        }
        let roster = Arc::clone(&view.roster);
        let revision = view.revision;
        self.on_request_event(admission::Event::Profile(Arc::clone(&view.profile)));
        self.peers.retain(&roster);
        self.on_flow_event(flows::Event::Generation(view.generation));
        self.view = Some(view);
        self.on_flow_event(flows::Event::Roster(Arc::clone(&roster)));
        self.on_claimant_event(ClaimantEvent::Roster(Arc::clone(&roster)));
        self.on_ledger_event(LedgerEvent::Roster(roster_history(&roster)));
        self.report_adoption();
        self.out.push(Action::InForce(revision));
    }

    fn create_machines(&self, view: &View) -> StateMachines {
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
        StateMachines {
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

    // The flow table needs the current wait to choose a host for a new flow.
    fn on_relay(&mut self, relay: Relay) {
        if relay.packet.body == Body::Open
            && let Some(machines) = &self.machines
        {
            let wait = machines.scheduler.wait(self.now);
            self.on_flow_event(flows::Event::Wait(wait));
        }
        self.on_flow_event(flows::Event::Relay(relay));
    }

    fn on_agent_message(&mut self, from: SocketAddrV4, message: AgentMessage) {
        match message {
            AgentMessage::Registration(registration) => {
                self.on_flow_event(flows::Event::Registration { from, registration });
            }
            AgentMessage::RegistrationAck(registration_ack) => {
                self.on_flow_event(flows::Event::RegistrationAck {
                    from,
                    registration_ack,
                });
            }
            AgentMessage::Claim(claim) => self.on_ledger_event(LedgerEvent::Claim(claim)),
            AgentMessage::ClaimReply(claim_reply) => {
                self.on_claimant_event(ClaimantEvent::ClaimReply(claim_reply));
            }
            AgentMessage::Completion(completion) => {
                self.on_ledger_event(LedgerEvent::Completion(completion));
            }
            AgentMessage::CompletionAck(completion_ack) => {
                self.on_claimant_event(ClaimantEvent::CompletionAck(completion_ack));
            }
            AgentMessage::Offer(offer) => self.on_offer(offer),
            AgentMessage::OfferReply(reply) => {
                self.on_request_event(admission::Event::OfferReply { from, reply });
            }
            AgentMessage::OfferOutcome(outcome) => {
                self.on_request_event(admission::Event::OfferOutcome(outcome));
            }
            AgentMessage::OfferOutcomeAck(outcome_ack) => {
                self.on_request_event(admission::Event::OfferOutcomeAck(outcome_ack));
            }
        }
    }

    // An offer may have been in the network for a packet's whole lifetime; the age that a claim
    // carries must not be too low.
    fn on_offer(&mut self, mut offer: Offer) {
        offer.age = offer.age + PACKET_LIFETIME;
        self.on_request_event(admission::Event::Offered(offer));
    }

    pub(crate) fn send(&mut self, to: SocketAddrV4, message: AgentMessage) {
        if to == self.settings.address {
            self.loopback.push_back(message);
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

    pub(crate) fn report_drained(&mut self) {
        if self.flows_drained && self.requests_drained {
            self.out.push(Action::Drained);
        }
    }
}

fn roster_history(roster: &Arc<Roster>) -> RosterHistory {
    let earlier = roster
        .earlier
        .iter()
        .map(PastRoster::to_roster)
        .map(Arc::new)
        .collect();
    // The history is complete: every writer of a roster keeps the earlier ones that are not settled.
    RosterHistory {
        roster: Arc::clone(roster),
        earlier,
        complete: true,
    }
}
