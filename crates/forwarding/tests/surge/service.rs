//! A service with its hosts and agents in virtual time: a few numbers, no network.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;

use usher_forwarding::{
    AgentForwarder, FlowKey, ForwardHeader, HostHeartbeat, HostIdentity, Inbound, InboundAction,
    Load, Outbound, PacketHeader,
};
use usher_types::{Sequence, Slots, Span, Time};

use crate::callers::{Flow, FlowState, Kind, Request};
use crate::packets::{DATA, SERVICE, answer, candidates, index, node};

pub const HOSTS: usize = 49;
pub const SLOTS: u16 = 3;
// Requests that a host queues by itself; it sheds what exceeds them. With 5 the order by which packets
// of open flows are delivered at once loses about what was measured on the deployment.
const HOST_QUEUE: usize = 5;
pub const TO_CALLER: Span = Span::from_millis(2);
pub const TO_AGENT: Span = Span::from_millis(1);
const REPORT_INTERVAL: Span = Span::from_millis(100);
// Data of an answer that says that the request has not run.
pub const NOT_RUN: u16 = 1;

/// Something that happens at a time.
#[derive(Debug, Clone, Copy)]
pub enum Job {
    Arrive(Kind, u16),
    ToAgent(usize, PacketHeader, ForwardHeader),
    /// The caller repeats the opening packet of a flow, or abandons the attempt.
    Repeat(usize, PacketHeader),
    Abandon(usize),
    FromHost(usize, PacketHeader),
    /// A request on a flow is done at a host.
    Done(usize, usize),
    ToCaller(PacketHeader),
    Reset(FlowKey),
    Report,
}

#[derive(Debug)]
pub struct Host {
    pub agent: AgentForwarder,
    /// Load by the last report.
    pub load: Load,
    /// Packets that wait at the agent.
    held: Vec<PacketHeader>,
    running: usize,
    /// Flows and their requests that wait at the host.
    queue: VecDeque<(usize, usize)>,
}

/// The service.
#[derive(Debug)]
pub struct Service {
    pub requests: Vec<Request>,
    pub now: Time,
    pub hosts: Vec<Host>,
    pub flows: Vec<Flow>,
    pub by_key: HashMap<FlowKey, usize>,
    /// Long flows of each caller.
    pub by_caller: HashMap<u16, Vec<usize>>,
    /// Agents know the rank of the long flows, and hold their requests.
    pub holds: bool,
    jobs: BTreeMap<(Time, usize), Job>,
    order: usize,
    random: u64,
}

impl Service {
    /// A service without flows; `seed` gives the order of events.
    ///
    /// Without `holds` packets of long flows are delivered at once: their agents have not seen the
    /// opening packets.
    pub fn new(seed: u64, holds: bool) -> Self {
        let mut service = Self {
            requests: Vec::new(),
            now: Time::ZERO,
            hosts: (0..HOSTS).map(Host::new).collect(),
            flows: Vec::new(),
            by_key: HashMap::new(),
            by_caller: HashMap::new(),
            holds,
            jobs: BTreeMap::new(),
            order: 0,
            random: seed,
        };
        service.after(Span::ZERO, Job::Report);
        service
    }

    /// Runs until a time.
    pub fn run(&mut self, until: Span) {
        while let Some(((at, _), job)) = self.jobs.pop_first() {
            if at > Time::ZERO + until {
                return;
            }
            self.now = at;
            self.handle(job);
        }
    }

    fn handle(&mut self, job: Job) {
        match job {
            Job::Arrive(kind, caller) => {
                let request = Request::new(kind, caller, self.now);
                self.requests.push(request);
                self.attempt(self.requests.len() - 1);
            }
            Job::ToAgent(host, packet, header) => {
                let inbound = self.hosts[host].agent.on_packet(self.now, &packet, &header);
                self.apply(host, packet, &inbound);
                self.release(host);
            }
            Job::Repeat(flow, packet) => self.repeat_opening(flow, packet),
            Job::Abandon(flow) => {
                if self.flows[flow].state < FlowState::Open {
                    self.fail(flow);
                }
            }
            Job::FromHost(host, packet) => {
                let agent = &mut self.hosts[host].agent;
                match agent.on_host_packet(self.now, &packet) {
                    Outbound::ToCaller { .. } => self.after(TO_CALLER, Job::ToCaller(packet)),
                    Outbound::Withheld => {}
                    Outbound::Returned(inbound) => {
                        let mut packet = packet;
                        packet.flags.returned = false;
                        self.apply(host, packet, &inbound);
                    }
                }
                self.release(host);
            }
            Job::Done(host, flow) => {
                self.hosts[host].running -= 1;
                if let Some((flow, request)) = self.hosts[host].queue.pop_front() {
                    self.start(host, flow, request);
                }
                let packet = self.flows[flow].data();
                self.handle(Job::FromHost(host, answer(&packet, false, DATA)));
            }
            Job::ToCaller(packet) => self.at_caller(&packet),
            Job::Reset(key) => self.fail(self.by_key[&key]),
            Job::Report => {
                for index in 0..HOSTS {
                    self.release(index);
                    let host = &mut self.hosts[index];
                    host.load = host.agent.load(self.now);
                }
                self.after(REPORT_INTERVAL, Job::Report);
            }
        }
    }

    fn apply(&mut self, host: usize, packet: PacketHeader, inbound: &Inbound) {
        match inbound.action {
            InboundAction::Deliver { token, .. } => {
                self.at_host(host, PacketHeader { token, ..packet });
            }
            InboundAction::Forward {
                to, forward_header, ..
            } => self.after(TO_AGENT, Job::ToAgent(index(to), packet, forward_header)),
            InboundAction::Refuse { flow, .. } => self.after(TO_CALLER, Job::Reset(flow)),
            InboundAction::Hold => {
                // Stands for the hint that tells balancers where the flow is.
                let flow = self.by_key[&packet.inbound()];
                self.flows[flow].header.candidates = candidates([host]);
                self.hosts[host].held.push(packet);
            }
            InboundAction::Drop => {}
            action => panic!("a flow is not at its host: {action:?}"),
        }
    }

    fn release(&mut self, host: usize) {
        for release in self.hosts[host].agent.release(self.now) {
            let held = &mut self.hosts[host].held;
            let packets: Vec<PacketHeader> = held
                .extract_if(.., |packet| packet.inbound() == release.flow)
                .collect();
            for packet in packets {
                self.apply(host, packet, &release.inbound);
            }
        }
    }

    // The host answers an opening packet, and serves a request or says that it has not run.
    fn at_host(&mut self, host: usize, packet: PacketHeader) {
        let flow = self.by_key[&packet.inbound()];
        let full = self.hosts[host].queue.len() >= HOST_QUEUE;
        if packet.opens() {
            let mut reply = answer(&packet, true, 0);
            if full && self.flows[flow].state == FlowState::Opening {
                reply = packet;
                reply.flags.returned = true;
            } else {
                let flow = &mut self.flows[flow];
                flow.state = flow.state.max(FlowState::Accepted);
                flow.header.candidates = candidates([host]);
            }
            self.after(Span::ZERO, Job::FromHost(host, reply));
            return;
        }
        let Some(request) = self.flows[flow].request else {
            return;
        };
        if self.hosts[host].running < usize::from(SLOTS) {
            self.start(host, flow, request);
        } else if full {
            self.after(
                Span::ZERO,
                Job::FromHost(host, answer(&packet, false, NOT_RUN)),
            );
        } else {
            self.hosts[host].queue.push_back((flow, request));
        }
    }

    fn start(&mut self, host: usize, flow: usize, request: usize) {
        self.hosts[host].running += 1;
        let kind = self.requests[request].kind;
        let spread = 0.5 + (self.next_random() % 1_000) as f64 / 1_000.0;
        let slow = kind.slow_one_in > 0 && self.next_random().is_multiple_of(kind.slow_one_in);
        let work = kind.work.scale(if slow { 7.0 * spread } else { spread });
        self.after(work, Job::Done(host, flow));
    }

    pub fn after(&mut self, delay: Span, job: Job) {
        self.at(self.now + delay, job);
    }

    pub fn at(&mut self, at: Time, job: Job) {
        self.order += 1;
        self.jobs.insert((at, self.order), job);
    }

    // SplitMix64.
    pub fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

impl Host {
    fn new(index: usize) -> Self {
        let host = HostIdentity {
            service: SERVICE.to_owned(),
            address: SocketAddrV4::new(node(index).address(), 8_080),
            centre: "kolkata".parse().unwrap(),
        };
        let heartbeat = HostHeartbeat {
            id: "i-1".to_owned(),
            host: host.clone(),
            born: 1,
            age: None,
            sequence: Sequence::new(1),
            slots: Slots::new(SLOTS),
            draining: false,
            warmup: Span::ZERO,
        };
        let mut agent = AgentForwarder::new(node(index), host, Time::ZERO, Span::ZERO);
        agent.on_heartbeat(Time::ZERO, heartbeat);
        Self {
            agent,
            load: Load::default(),
            held: Vec::new(),
            running: 0,
            queue: VecDeque::new(),
        }
    }
}
