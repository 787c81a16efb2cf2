use usher_types::{Slots, Span, Time};

use super::decision::{ForwardReason, Inbound, Outbound, Release, Step};
use super::entry::{Entry, Phase};
use super::flow_table::FlowTable;
use super::forward::{refuse_queued, route_established, route_opening};
use super::host_monitor::HostMonitor;
use super::lifecycle::{Heard, HostLifecycle};
use super::pending_deliveries::PendingDeliveries;
use super::wait_queue::WaitQueue;
use crate::trip::Best;
use crate::{FlowKey, Head, HostState, HostWord, Load, NodeId, ServiceKey, Trip};

// Requests beyond the slots that a backend server gets while other hosts may be free. The next
// request then starts without waiting for the caller's part of the handshake.
const EXTRA_REQUESTS: u16 = 1;
// The same while all hosts are busy. A slot that is idle during a handshake costs more than a short
// queue at the backend server.
const EXTRA_REQUESTS_BUSY: u16 = 2;
// Longest time that a backend server takes flows before its first heartbeat arrives: one heartbeat
// is lost, and the next one comes 1.2 s later.
const FIRST_HEARTBEAT_DELAY: Span = Span::from_millis(2_500);
// Two missed heartbeats; they come every 1.2 s.
const HEARTBEAT_TIMEOUT: Span = Span::from_millis(2_700);

/// The forwarding decisions of one agent. Performs no I/O.
#[derive(Debug, Clone)]
pub struct AgentPath {
    node: NodeId,
    service: ServiceKey,
    service_name: String,
    lifecycle: HostLifecycle,
    /// When the heartbeat in `lifecycle` arrived.
    heard_at: Time,
    flows: FlowTable,
    deliveries: PendingDeliveries,
    wait_queue: WaitQueue,
    monitor: HostMonitor,
    stopping: bool,
    /// From this time on, all flows of the backend server are in the table.
    complete_at: Time,
}

impl AgentPath {
    /// Creates an agent; flows that exist at `now` end within `flow_life`.
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
            service_name: service.to_owned(),
            lifecycle: HostLifecycle::default(),
            heard_at: now,
            flows: FlowTable::default(),
            deliveries: PendingDeliveries::new(),
            wait_queue: WaitQueue::default(),
            monitor: HostMonitor::default(),
            stopping: false,
            complete_at: now + flow_life,
        }
    }

    /// Applies a heartbeat. With `Started`, also returns the flows that were lost with earlier
    /// processes, each with the position up to which its caller has received.
    pub fn hear(&mut self, now: Time, word: HostWord) -> (Heard, Vec<(FlowKey, u32)>) {
        if word.service != self.service_name {
            return (Heard::Foreign, Vec::new());
        }
        let first = self.lifecycle.word().is_none();
        let heard = self
            .lifecycle
            .on_heartbeat(word, now - self.heard_at > HEARTBEAT_TIMEOUT);
        if heard != Heard::Late {
            self.heard_at = now;
        }
        let mut lost_flows = Vec::new();
        if heard == Heard::Started && !first {
            self.monitor.reset();
            lost_flows = self.flows.clear_before(now - FIRST_HEARTBEAT_DELAY);
        }
        (heard, lost_flows)
    }

    /// Ends the backend server `id`; returns its lost flows as `hear` does.
    pub fn leave(&mut self, now: Time, id: &str) -> Option<Vec<(FlowKey, u32)>> {
        if !self.lifecycle.on_leave(id) {
            return None;
        }
        self.complete_at = now;
        Some(self.flows.clear())
    }

    /// Makes the agent take no new flows.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Decides on a packet from a balancer or another agent.
    pub fn on_packet(&mut self, now: Time, head: &Head, trip: &Trip) -> Inbound {
        let flow = head.inbound();
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.on_caller(now, head);
            let settled = matches!(entry.phase, Phase::Open | Phase::Closed);
            let token = if settled {
                0
            } else {
                self.deliveries.issue_token(flow, *trip)
            };
            let step = Step::Deliver {
                token,
                opening: false,
            };
            return self.with_notice(step, trip);
        }
        if head.opens() {
            return self.on_opening(now, flow, trip);
        }
        let known = now >= self.complete_at || self.lifecycle.state() == HostState::Ended;
        if known {
            return route_established(head, trip, ForwardReason::NotHeld);
        }
        let token = self.deliveries.issue_token(flow, *trip);
        let step = Step::Deliver {
            token,
            opening: false,
        };
        Inbound { step, tell: None }
    }

    /// Decides on a packet from the backend server.
    pub fn on_host_packet(&mut self, now: Time, head: &Head) -> Outbound {
        if head.flags.returned {
            return Outbound::Inward(self.on_returned(now, head));
        }
        self.monitor.host_responded();
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
            self.monitor.record_work(work);
        }
        Outbound::ToCaller { work }
    }

    /// State of the host as reported to balancers.
    pub fn state(&self) -> HostState {
        match self.lifecycle.state() {
            HostState::Serving if self.stopping => HostState::Draining,
            state => state,
        }
    }

    /// The latest heartbeat of the backend server.
    pub fn word(&self) -> Option<&HostWord> {
        self.lifecycle.word()
    }

    /// Load of the backend server, including queued flows.
    pub fn load(&self, now: Time) -> Load {
        self.monitor
            .load(self.flows.working(now) + self.wait_queue.len())
    }

    /// Removes flows from the queue that get a slot or have waited too long.
    pub fn release(&mut self, now: Time) -> Vec<Release> {
        let mut released = Vec::new();
        for queued in self.wait_queue.expire(now) {
            released.push(refuse_queued(queued.flow));
        }
        while self.state() != HostState::Serving || self.has_room(now, EXTRA_REQUESTS_BUSY) {
            let Some(queued) = self.wait_queue.pop() else {
                break;
            };
            if self.state() != HostState::Serving {
                released.push(refuse_queued(queued.flow));
                continue;
            }
            released.push(Release {
                flow: queued.flow,
                inbound: self.admit(now, queued.flow, &queued.trip),
            });
        }
        released
    }

    /// Number of flows that are open at the backend server.
    pub fn open(&self) -> usize {
        self.flows.open()
    }

    /// Number of flows in memory, including recently closed ones.
    pub fn held(&self) -> usize {
        self.flows.len()
    }

    /// Removes flows that have ended; an open flow ends after `idle` without packets.
    pub fn expire(&mut self, now: Time, idle: Span) {
        self.flows.expire(now, idle);
    }

    fn on_opening(&mut self, now: Time, flow: FlowKey, trip: &Trip) -> Inbound {
        if trip.service != self.service {
            return self.forward_opening(now, flow, trip, None, ForwardReason::OtherService);
        }
        if self.state() != HostState::Serving {
            return self.forward_opening(now, flow, trip, None, ForwardReason::NotServing);
        }
        if self.wait_queue.contains(&flow) {
            return Inbound {
                step: Step::Drop,
                tell: None,
            };
        }
        if !trip.last && self.monitor.is_silent(now) {
            return self.forward_opening(now, flow, trip, None, ForwardReason::Silent);
        }
        if self.wait_queue.len() == 0 && self.has_room(now, EXTRA_REQUESTS) {
            return self.admit(now, flow, trip);
        }
        let wait = self.wait(now, trip.rank);
        if !trip.last {
            return self.forward_opening(now, flow, trip, Some(wait), ForwardReason::Busy);
        }
        if self.wait_queue.len() == 0 && self.has_room(now, EXTRA_REQUESTS_BUSY) {
            return self.admit(now, flow, trip);
        }
        let tell = None;
        let max_wait = self.max_wait(now, trip);
        if wait > max_wait || self.wait_queue.is_full() {
            let step = Step::Refuse {
                flow,
                received: 0,
                wait: Some(wait),
            };
            return Inbound { step, tell };
        }
        self.wait_queue.push(now, flow, *trip, max_wait);
        // Copies of the packet have to be sent here too, or the flow would open twice.
        self.with_notice(Step::Hold, trip)
    }

    // Expected time until a new flow of this rank gets a slot.
    fn wait(&self, now: Time, rank: u8) -> Span {
        let ahead = self.flows.working(now) + self.wait_queue.ahead(rank);
        self.monitor.load(ahead).wait(self.slots())
    }

    fn forward_opening(
        &self,
        now: Time,
        flow: FlowKey,
        trip: &Trip,
        wait: Option<Span>,
        reason: ForwardReason,
    ) -> Inbound {
        let node = self.node;
        let own = wait.map(|wait| Best { node, wait });
        route_opening(flow, trip, own, self.max_wait(now, trip), reason)
    }

    fn max_wait(&self, now: Time, trip: &Trip) -> Span {
        WaitQueue::max_wait(trip, self.load(now).work())
    }

    fn slots(&self) -> Slots {
        self.lifecycle
            .word()
            .map_or(Slots::new(1), |word| word.slots)
    }

    // Whether the backend server has a slot free, or will have one by the end of a handshake.
    fn has_room(&self, now: Time, ahead: u16) -> bool {
        let room = usize::from(self.slots().get() + ahead);
        self.flows.working(now) < room && !self.monitor.is_full(now)
    }

    fn admit(&mut self, now: Time, flow: FlowKey, trip: &Trip) -> Inbound {
        self.flows.insert(flow, Entry::new(now, Phase::Opening));
        self.monitor.delivered_opening(now);
        let token = self.deliveries.issue_token(flow, *trip);
        let step = Step::Deliver {
            token,
            opening: true,
        };
        self.with_notice(step, trip)
    }

    fn on_returned(&mut self, now: Time, head: &Head) -> Inbound {
        let flow = head.inbound();
        let Some(trip) = self.deliveries.take_trip(&flow, head.token) else {
            // An open flow is lost with the process that held it.
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
            self.monitor.host_responded();
            self.monitor.returned_opening(now);
            return self.forward_opening(now, flow, &trip, None, ForwardReason::Returned);
        }
        route_established(head, &trip, ForwardReason::Returned)
    }

    // Notifies the balancer where the flow is, unless this agent is the first candidate.
    fn with_notice(&self, step: Step, trip: &Trip) -> Inbound {
        let first = trip.candidates.as_slice().first() == Some(&self.node);
        let tell = (!first && trip.origin != NodeId::NONE).then_some(trip.origin);
        Inbound { step, tell }
    }
}
