use usher_outlier::{OutcomeCounts, OutcomeWindow};
use usher_types::{Rank, Span, Time};

use super::cold_limit::ColdLimit;
use super::decision::{ForwardReason, Inbound, InboundAction, Outbound, Release};
use super::entry::{Entry, Phase};
use super::flow_table::FlowTable;
use super::forward::route_established;
use super::host_evacuation::HostEvacuation;
use super::host_monitor::HostMonitor;
use super::lifecycle::HostLifecycle;
use super::openings::EXTRA_REQUESTS_REPEATED;
use super::pending_deliveries::{Delivery, PendingDeliveries};
use super::rank_counts::RankCounts;
use super::requests::Sharing;
use super::wait_queue::WaitQueue;
use crate::{
    Candidates, FlowKey, ForwardHeader, HostIdentity, Load, NodeId, PacketHeader, ServiceKey,
};

/// The forwarding decisions of one agent. Performs no I/O.
#[derive(Debug, Clone)]
pub struct AgentForwarder {
    pub(super) node: NodeId,
    pub(super) service: ServiceKey,
    pub(super) host: HostIdentity,
    pub(super) lifecycle: HostLifecycle,
    /// When the heartbeat in `lifecycle` arrived.
    pub(super) heard_at: Time,
    pub(super) flows: FlowTable,
    pub(super) deliveries: PendingDeliveries,
    pub(super) wait_queue: WaitQueue,
    /// Flows that have left the queue since the last [`Self::release`].
    pub(super) released: Vec<Release>,
    pub(super) sharing: Sharing,
    pub(super) rank_counts: RankCounts,
    pub(super) monitor: HostMonitor,
    pub(super) evacuation: HostEvacuation,
    pub(super) cold_limit: ColdLimit,
    /// What becomes of requests; `None` unless it is observed.
    pub(super) outcomes: Option<OutcomeWindow>,
    pub(super) stopping: bool,
    /// From this time on, all flows of the backend server are in the table.
    pub(super) complete_at: Time,
    /// The first heartbeat of the backend server's running process was heard.
    pub(super) heard_first: bool,
    pub(super) started: Time,
}

impl AgentForwarder {
    /// Creates an agent; flows that exist at `now` end within `flow_life`.
    ///
    /// ```
    /// use usher_forwarding::{AgentForwarder, HostIdentity, HostState};
    /// use usher_types::{Span, Time};
    /// let host = HostIdentity {
    ///     service: "namedesk".to_owned(),
    ///     address: "10.1.0.13:8080".parse().unwrap(),
    ///     centre: "kolkata".parse().unwrap(),
    /// };
    /// let life = Span::from_secs(60);
    /// let agent = AgentForwarder::new("10.1.0.13".parse()?, host, Time::ZERO, life);
    /// assert_eq!(agent.state(), HostState::Unheard);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(node: NodeId, host: HostIdentity, now: Time, flow_life: Span) -> Self {
        Self {
            node,
            service: ServiceKey::of(&host.service),
            host,
            lifecycle: HostLifecycle::default(),
            heard_at: now,
            flows: FlowTable::default(),
            deliveries: PendingDeliveries::new(),
            wait_queue: WaitQueue::new(),
            released: Vec::new(),
            sharing: Sharing::default(),
            rank_counts: RankCounts::default(),
            monitor: HostMonitor::default(),
            evacuation: HostEvacuation::default(),
            cold_limit: ColdLimit::new(now),
            outcomes: None,
            stopping: false,
            complete_at: now + flow_life,
            heard_first: false,
            started: now,
        }
    }

    /// Makes the agent observe what becomes of requests.
    pub fn observe_outcomes(&mut self) {
        self.outcomes = Some(OutcomeWindow::default());
    }

    /// What has become of the requests of the last seconds; to be called several times a second.
    pub fn outcomes(&mut self, now: Time) -> OutcomeCounts {
        let Some(window) = &mut self.outcomes else {
            return OutcomeCounts::default();
        };
        for sent in self.flows.take_late(now) {
            window.record_late(now, sent);
        }
        window.counts(now)
    }

    /// Decides on a packet from a balancer or another agent.
    pub fn on_packet(
        &mut self,
        now: Time,
        packet_header: &PacketHeader,
        forward_header: &ForwardHeader,
    ) -> Inbound {
        let flow = packet_header.inbound();
        // A caller uses the port of an ended flow again: this is a new flow, perhaps of another host.
        let entry = self.flows.get(&flow);
        if let Some(entry) = entry.filter(|entry| entry.is_of(now, packet_header)) {
            // The balancer knows of another host; no need to let the backend server return the packet.
            if entry.is_elsewhere(packet_header) && forward_header.next().is_some() {
                return route_established(forward_header, ForwardReason::NotHeld);
            }
            let obstacle = self.evacuation.obstacle(now);
            if let Some(reason) = obstacle.filter(|_| packet_header.opens()) {
                // The backend server needs no copy for a flow that is open.
                return match entry.phase {
                    Phase::Open | Phase::Closed => Inbound::of(InboundAction::Drop),
                    Phase::Opening | Phase::Answered => {
                        self.pass_evacuated(now, flow, forward_header, reason)
                    }
                };
            }
            if let Some(inbound) = self.on_open_flow(now, packet_header, forward_header) {
                return inbound;
            }
            let phase = self.flows.update(&flow, |entry| {
                // The packet may be of a later flow of the port, at another host.
                if entry.phase == Phase::Open && entry.is_idle(now) {
                    entry.become_uncertain();
                }
                entry.on_caller(now, packet_header);
                entry.phase
            });
            if matches!(phase, Some(Phase::Open | Phase::Closed)) {
                let action = InboundAction::Deliver {
                    token: 0,
                    opening: false,
                };
                return self.with_notice(action, forward_header);
            }
            if packet_header.opens() && !self.takes_copy(now, forward_header) {
                return Inbound::of(InboundAction::Drop);
            }
            let may_copy = phase != Some(Phase::Answered) && !packet_header.opens();
            let inbound = self.deliver_unsettled(now, flow, forward_header, may_copy);
            return self.with_notice(inbound.action, forward_header);
        }
        if packet_header.opens() {
            if !forward_header.is_extra {
                return self.on_opening(now, packet_header, forward_header);
            }
            if !self.has_room(now, Rank::new(forward_header.rank), EXTRA_REQUESTS_REPEATED) {
                return Inbound::of(InboundAction::DropExtra);
            }
            let inbound = self.on_opening(now, packet_header, forward_header);
            return inbound.only_deliver();
        }
        if self.is_complete(now) {
            return route_established(forward_header, ForwardReason::NotHeld);
        }
        let inbound = self.deliver_unsettled(now, flow, forward_header, true);
        self.monitor.delivered_unknown(now);
        inbound
    }

    /// Decides on a packet from the backend server.
    pub fn on_host_packet(&mut self, now: Time, packet_header: &PacketHeader) -> Outbound {
        if packet_header.flags.returned {
            return Outbound::Returned(self.on_returned(now, packet_header));
        }
        self.monitor.host_responded();
        let flow = packet_header.outbound();
        let observed = self.flows.update(&flow, |entry| {
            let (broken, late) = (entry.is_broken_off(now, packet_header), entry.is_late());
            (broken, late, entry.on_host(now, packet_header))
        });
        let Some((broken, late, answered)) = observed else {
            // Until its first heartbeat a backend server gets packets of flows that others may hold, and
            // answers data with a reset while it starts.
            if packet_header.flags.resetting && self.heartbeat().is_none() {
                return Outbound::Withheld;
            }
            if !packet_header.flags.resetting {
                let phase = if packet_header.flags.opening {
                    Phase::Answered
                } else {
                    Phase::Open
                };
                self.flows.insert(flow, Entry::new(now, phase));
            }
            return Outbound::ToCaller { work: None };
        };
        if let Some(window) = self.outcomes.as_mut().filter(|_| !late) {
            if broken {
                window.record_failed(now);
            } else if answered.is_some() && !packet_header.flags.resetting {
                window.record_answered(now);
            }
        }
        if packet_header.flags.resetting {
            self.release_request(now, &flow);
        }
        let work = answered
            .filter(|_| !packet_header.flags.resetting)
            .map(|start| now - start);
        if let Some(work) = work {
            self.monitor.record_work(work);
        }
        Outbound::ToCaller { work }
    }

    /// Load of the backend server, including queued flows.
    pub fn load(&self, now: Time) -> Load {
        self.monitor
            .load(self.flows.working(now) + self.wait_queue.len())
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

    // Delivers a packet of a flow that the backend server may not hold.
    //
    // A silent backend server returns nothing, so the next candidate gets a copy, and this agent
    // does not count as one that returned the packet. Copies of opening packets are not passed on:
    // the flow would open twice.
    pub(super) fn deliver_unsettled(
        &mut self,
        now: Time,
        flow: FlowKey,
        forward_header: &ForwardHeader,
        may_copy: bool,
    ) -> Inbound {
        let silent = self.monitor.may_be_silent(now, self.is_overdue(now));
        let copy = forward_header.next_without_current();
        let copy = copy.filter(|_| silent && may_copy);
        let delivery = Delivery {
            forward_header: *forward_header,
            copied: copy.is_some(),
        };
        let token = self.deliveries.issue_token(flow, delivery);
        Inbound::of(match copy {
            Some((to, forward_header)) => InboundAction::DeliverAndForward {
                token,
                to,
                forward_header,
            },
            None => InboundAction::Deliver {
                token,
                opening: false,
            },
        })
    }

    fn on_returned(&mut self, now: Time, packet_header: &PacketHeader) -> Inbound {
        let flow = packet_header.inbound();
        self.monitor.host_responded();
        let Some(delivery) = self.deliveries.take(&flow, packet_header.token) else {
            self.release_request(now, &flow);
            // An open flow is lost with the process that held it.
            let lost = self
                .flows
                .remove(&flow)
                .filter(|entry| entry.phase == Phase::Open);
            let action = lost.map_or(InboundAction::Drop, |entry| InboundAction::Refuse {
                flow,
                received: entry.received(),
                wait: None,
                refusal: None,
            });
            return Inbound::of(action);
        };
        let forward_header = delivery.forward_header;
        self.flows.remove(&flow);
        self.release_request(now, &flow);
        if packet_header.opens() {
            self.monitor.returned_opening(now);
            if forward_header.is_extra {
                return Inbound::of(InboundAction::DropExtra);
            }
            return self.forward_opening(now, flow, &forward_header, None, ForwardReason::Returned);
        }
        if delivery.copied {
            let mut visited = Candidates::default();
            visited.push(self.node);
            return Inbound::of(InboundAction::Missing {
                origin: forward_header.origin,
                visited,
            });
        }
        route_established(&forward_header, ForwardReason::Returned)
    }

    // Notifies the balancer where the flow is, unless it has placed the flow here or knows it.
    pub(super) fn with_notice(
        &self,
        action: InboundAction,
        forward_header: &ForwardHeader,
    ) -> Inbound {
        let candidates = forward_header.candidates.as_slice();
        let searched = forward_header.service == ServiceKey::NONE
            && (candidates.len() > 1 || forward_header.is_final);
        let known = candidates.first() == Some(&self.node) && !searched;
        let notify =
            (!known && forward_header.origin != NodeId::NONE).then_some(forward_header.origin);
        Inbound {
            notify,
            ..Inbound::of(action)
        }
    }
}
