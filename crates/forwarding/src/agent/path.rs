use usher_types::{Slots, Span, Time};

use super::decision::{Inbound, Outbound, Passed, Release, Step};
use super::entry::{Entry, Phase};
use super::flow_table::FlowTable;
use super::hunt::{hunt, pass, refuse};
use super::life::{Heard, Life};
use super::meter::Meter;
use super::trips::Trips;
use super::waiting::Waiting;
use crate::trip::Best;
use crate::{FlowKey, Head, HostState, HostWord, Load, NodeId, ServiceKey, Trip};

// Requests beyond its slots that a backend server is given while others may be free: the next one
// then starts without waiting for the caller's side of the handshake.
const AHEAD: u16 = 1;
// The same while all hosts are busy: a slot that is idle for a handshake costs more than a short
// queue at the backend server.
const AHEAD_BUSY: u16 = 2;
// A process of the backend server may have taken flows for this long before its first heartbeat
// is heard: one is lost, and the next one comes 1.2 s later.
const UNHEARD: Span = Span::from_millis(2_500);
// Two heartbeats are missing. They come every 1.2 s.
const SILENT: Span = Span::from_millis(2_700);

/// The decisions of one agent about packets. Performs no I/O.
#[derive(Debug, Clone)]
pub struct AgentPath {
    node: NodeId,
    service: ServiceKey,
    name: String,
    life: Life,
    /// When the word in `life` was heard.
    heard: Time,
    flows: FlowTable,
    trips: Trips,
    waiting: Waiting,
    meter: Meter,
    stopping: bool,
    /// Flows older than this may be missing from the table.
    complete_at: Time,
}

impl AgentPath {
    /// An agent that starts at `now`; flows that exist by then end within `flow_life`.
    ///
    /// ```
    /// use usher_forwarding::{AgentPath, HostState};
    /// use usher_types::{Span, Time};
    /// let agent = AgentPath::new("10.1.0.13".parse()?, "namedesk", Time::ZERO, Span::from_secs(60));
    /// assert_eq!(agent.state(), HostState::Unheard);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(node: NodeId, service: &str, now: Time, flow_life: Span) -> Self {
        Self {
            node,
            service: ServiceKey::of(service),
            name: service.to_owned(),
            life: Life::default(),
            heard: now,
            flows: FlowTable::default(),
            trips: Trips::new(),
            waiting: Waiting::default(),
            meter: Meter::default(),
            stopping: false,
            complete_at: now + flow_life,
        }
    }

    /// Takes a heartbeat. With `Started`, the flows of earlier processes are returned, each with
    /// the position that its caller received: they are gone.
    pub fn hear(&mut self, now: Time, word: HostWord) -> (Heard, Vec<(FlowKey, u32)>) {
        if word.service != self.name {
            return (Heard::Foreign, Vec::new());
        }
        let first = self.life.word().is_none();
        let heard = self.life.hear(word, now - self.heard > SILENT);
        if heard != Heard::Late {
            self.heard = now;
        }
        let mut gone = Vec::new();
        if heard == Heard::Started && !first {
            self.meter.forget();
            gone = self.flows.clear_before(now - UNHEARD);
        }
        (heard, gone)
    }

    /// Takes the farewell of the backend server; returns its open flows, which are gone.
    pub fn leave(&mut self, now: Time, id: &str) -> Option<Vec<(FlowKey, u32)>> {
        if !self.life.leave(id) {
            return None;
        }
        self.complete_at = now;
        Some(self.flows.clear())
    }

    /// Takes no new flows from now on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Decides on a packet that a balancer or another agent sent.
    pub fn on_packet(&mut self, now: Time, head: &Head, trip: &Trip) -> Inbound {
        let flow = head.inbound();
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.on_caller(now, head);
            let settled = matches!(entry.phase, Phase::Open | Phase::Closed);
            let token = if settled {
                0
            } else {
                self.trips.keep(flow, *trip)
            };
            let step = Step::Deliver {
                token,
                opening: false,
            };
            return self.told(step, trip);
        }
        if head.opens() {
            return self.on_opening(now, flow, trip);
        }
        let known = now >= self.complete_at || self.life.state() == HostState::Ended;
        if known {
            return pass(head, trip, Passed::NotHeld);
        }
        let token = self.trips.keep(flow, *trip);
        let step = Step::Deliver {
            token,
            opening: false,
        };
        Inbound { step, tell: None }
    }

    /// Decides on a packet that the backend server sent.
    pub fn on_host_packet(&mut self, now: Time, head: &Head) -> Outbound {
        if head.flags.returned {
            return Outbound::Inward(self.on_returned(now, head));
        }
        self.meter.heard_host();
        let flow = head.outbound();
        let Some(entry) = self.flows.get_mut(&flow) else {
            let answers_opening = head.flags.opening;
            if !answers_opening && !head.flags.resetting {
                self.flows.insert(flow, Entry::new(now, Phase::Open));
            }
            return Outbound::ToCaller { work: None };
        };
        let answered = entry.on_host(now, head);
        let work = answered
            .filter(|_| !head.flags.resetting)
            .map(|start| now - start);
        if let Some(work) = work {
            self.meter.sample(work);
        }
        Outbound::ToCaller { work }
    }

    /// State that is reported to balancers.
    pub fn state(&self) -> HostState {
        match self.life.state() {
            HostState::Serving if self.stopping => HostState::Draining,
            state => state,
        }
    }

    /// The backend server's latest word.
    pub fn word(&self) -> Option<&HostWord> {
        self.life.word()
    }

    /// Requests at the backend server, and flows that wait for it.
    pub fn load(&self, now: Time) -> Load {
        self.meter
            .load(self.flows.working(now) + self.waiting.len())
    }

    /// Flows that need not wait any longer: a slot is free, or their callers give up.
    pub fn release(&mut self, now: Time) -> Vec<Release> {
        let mut released = Vec::new();
        for waiter in self.waiting.expire(now) {
            released.push(refuse(waiter.flow));
        }
        while self.state() != HostState::Serving || self.has_room(now, AHEAD_BUSY) {
            let Some(waiter) = self.waiting.pop() else {
                break;
            };
            if self.state() != HostState::Serving {
                released.push(refuse(waiter.flow));
                continue;
            }
            released.push(Release {
                flow: waiter.flow,
                inbound: self.admit(now, waiter.flow, &waiter.trip),
            });
        }
        released
    }

    /// Flows that are open at the backend server.
    pub fn open(&self) -> usize {
        self.flows.open()
    }

    /// Flows in memory, those that have just closed included.
    pub fn held(&self) -> usize {
        self.flows.len()
    }

    /// Forgets flows that are over.
    pub fn expire(&mut self, now: Time, idle: Span) {
        self.flows.expire(now, idle);
    }

    fn on_opening(&mut self, now: Time, flow: FlowKey, trip: &Trip) -> Inbound {
        if trip.service != self.service {
            return self.pass_on(now, flow, trip, None, Passed::OtherService);
        }
        if self.state() != HostState::Serving {
            return self.pass_on(now, flow, trip, None, Passed::NotServing);
        }
        if self.waiting.contains(&flow) {
            return Inbound {
                step: Step::Drop,
                tell: None,
            };
        }
        if !trip.last && self.meter.is_silent(now) {
            return self.pass_on(now, flow, trip, None, Passed::Silent);
        }
        if self.waiting.len() == 0 && self.has_room(now, AHEAD) {
            return self.admit(now, flow, trip);
        }
        let wait = self.wait(now, trip.rank);
        if !trip.last {
            return self.pass_on(now, flow, trip, Some(wait), Passed::Busy);
        }
        if self.waiting.len() == 0 && self.has_room(now, AHEAD_BUSY) {
            return self.admit(now, flow, trip);
        }
        let tell = None;
        let limit = self.limit(now, trip);
        if wait > limit || self.waiting.is_full() {
            let step = Step::Refuse {
                flow,
                received: 0,
                wait: Some(wait),
            };
            return Inbound { step, tell };
        }
        self.waiting.push(now, flow, *trip, limit);
        // Copies of the packet have to come here too, or the flow would open twice.
        self.told(Step::Hold, trip)
    }

    // Time until a new flow of a rank gets a slot.
    fn wait(&self, now: Time, rank: u8) -> Span {
        let ahead = self.flows.working(now) + self.waiting.ahead(rank);
        self.meter.load(ahead).wait(self.slots())
    }

    fn pass_on(
        &self,
        now: Time,
        flow: FlowKey,
        trip: &Trip,
        wait: Option<Span>,
        reason: Passed,
    ) -> Inbound {
        let node = self.node;
        let own = wait.map(|wait| Best { node, wait });
        hunt(flow, trip, own, self.limit(now, trip), reason)
    }

    fn limit(&self, now: Time, trip: &Trip) -> Span {
        Waiting::limit(trip, self.load(now).work())
    }

    fn slots(&self) -> Slots {
        self.life.word().map_or(Slots::new(1), |word| word.slots)
    }

    // Whether the backend server has a slot free, or will have one by the end of a handshake.
    fn has_room(&self, now: Time, ahead: u16) -> bool {
        let room = usize::from(self.slots().get() + ahead);
        self.flows.working(now) < room && !self.meter.is_full(now)
    }

    fn admit(&mut self, now: Time, flow: FlowKey, trip: &Trip) -> Inbound {
        self.flows.insert(flow, Entry::new(now, Phase::Opening));
        self.meter.delivered_opening(now);
        let token = self.trips.keep(flow, *trip);
        let step = Step::Deliver {
            token,
            opening: true,
        };
        self.told(step, trip)
    }

    fn on_returned(&mut self, now: Time, head: &Head) -> Inbound {
        let flow = head.inbound();
        let Some(trip) = self.trips.take(&flow, head.token) else {
            // A flow that was open is gone with the process that held it.
            let lost = self
                .flows
                .remove(&flow)
                .filter(|entry| entry.phase == Phase::Open);
            let step = lost.map_or(Step::Drop, |entry| Step::Refuse {
                flow,
                received: entry.received(),
                wait: None,
            });
            return Inbound { step, tell: None };
        };
        self.flows.remove(&flow);
        if head.opens() {
            self.meter.heard_host();
            self.meter.returned_opening(now);
            return self.pass_on(now, flow, &trip, None, Passed::Returned);
        }
        pass(head, &trip, Passed::Returned)
    }

    // A balancer that did not send the packet here first learns where the flow is.
    fn told(&self, step: Step, trip: &Trip) -> Inbound {
        let first = trip.candidates.as_slice().first() == Some(&self.node);
        let tell = (!first && trip.origin != NodeId::NONE).then_some(trip.origin);
        Inbound { step, tell }
    }
}
