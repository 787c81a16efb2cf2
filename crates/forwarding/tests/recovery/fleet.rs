use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use usher_forwarding::{
    AgentForwarder, AllowedRegions, BalancerForwarder, Configuration, ConfigurationVersion, Flags,
    ForwardHeader, HostDirectory, HostHeartbeat, HostIdentity, Inbound, InboundAction, NodeId,
    Outbound, PacketHeader, Report, Route, RoutingView, ServiceKey, SettleWatch, Verdict,
};
use usher_outlier::OutcomeCounts;
use usher_types::{Label, Sequence, Slots, Span, Time, Version};

const SERVICE: &str = "namedesk";
const ADDRESS: &str = "198.18.0.1:443";
const FLOW_LIFE: Span = Span::from_secs(60);
const TICK_MILLIS: u64 = 100;
// Start of the balancer; agents may have started before.
const START_MILLIS: u64 = 200_000;
// A caller repeats its packet after 200 ms, then after twice the time, up to 1.6 s.
const COPIES: [u64; 8] = [0, 200, 600, 1_400, 3_000, 4_600, 6_200, 7_800];
const PLAY_MILLIS: u64 = 10_000;
const LOAD_MILLIS: u64 = 8_000;
/// Port of the flow of a case.
const PORT: u16 = 4_000;
/// Flows from this port on are held by the host of the case, if it names one.
pub const FIRST_LIVING: u16 = PORT;

/// A start; all times are milliseconds after the start of the balancer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// The failure that the case guards against.
    pub guards: String,
    /// The data centres of the settings.
    pub centres: String,
    agents: Vec<Group>,
    /// Index of the agent whose host holds the flow.
    pub holder: Option<usize>,
    /// First packet of the flow at the balancer.
    first: u64,
    /// When the caller is told that its flow is gone; `None` if it must not be.
    pub expect: Option<[u64; 2]>,
    /// Most packets that the balancer may send to agents for the flow.
    pub packets: Option<usize>,
}

/// Agents that start alike.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Group {
    count: usize,
    centre: String,
    started: i64,
    /// Time and sequence of the first heartbeat that the agent hears.
    heartbeat: (i64, u32),
    /// First report at the balancer.
    heard: u64,
    /// Last report at the balancer; later packets are lost too.
    until: Option<u64>,
}

/// What the caller experiences.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The caller gets a reset.
    Reset { at: u64 },
    /// A packet reaches the host of the flow.
    Found,
    /// Neither, until the caller gives up.
    Silence,
}

struct Agent {
    group: Group,
    forwarder: AgentForwarder,
    reports: u32,
    heartbeats: u32,
}

pub struct Fleet {
    case: Case,
    agents: BTreeMap<NodeId, Agent>,
    holder: Option<NodeId>,
    directory: HostDirectory,
    forwarder: BalancerForwarder,
    view: RoutingView,
    settle_watch: SettleWatch,
    /// Packets sent on the search.
    packets: usize,
}

fn at(millis: i64) -> Time {
    Time::ZERO + Span::from_millis(START_MILLIS.saturating_add_signed(millis))
}

fn identity(centre: &str) -> HostIdentity {
    HostIdentity {
        service: SERVICE.to_owned(),
        address: "10.1.0.3:8080".parse().unwrap(),
        centre: centre.parse().unwrap(),
    }
}

fn node(index: usize) -> NodeId {
    NodeId::new([10, 1, 0, index as u8 + 1].into())
}

fn configuration() -> Arc<Configuration> {
    let route = Route {
        name: "r-1".to_owned(),
        services: vec![(ServiceKey::of(SERVICE), 100)],
        timeout: Span::from_millis(2_500),
        target: Span::from_millis(250),
        rank: 2,
        repeatable: false,
        regions: AllowedRegions::All,
    };
    Arc::new(Configuration {
        version: ConfigurationVersion {
            label: Label::new(1),
            stored: Version::new(1),
        },
        routes: [(ADDRESS.parse().unwrap(), route)].into_iter().collect(),
        ..Configuration::default()
    })
}

fn packet(port: u16) -> PacketHeader {
    PacketHeader {
        source: format!("100.64.0.7:{port}").parse().unwrap(),
        target: ADDRESS.parse().unwrap(),
        flags: Flags {
            acknowledging: true,
            ..Flags::default()
        },
        sequence: 1_000,
        acknowledged: 7,
        data: 10,
        token: 0,
    }
}

fn answer(packet: &PacketHeader) -> PacketHeader {
    PacketHeader {
        source: packet.target,
        target: packet.source,
        sequence: packet.acknowledged,
        acknowledged: packet.sequence,
        ..*packet
    }
}

fn returned(port: u16, token: u32) -> PacketHeader {
    let mut returned = packet(port);
    returned.flags.returned = true;
    returned.token = token;
    returned
}

impl Group {
    fn reaches(&self, millis: u64) -> bool {
        self.until.is_none_or(|until| millis <= until)
    }
}

impl Agent {
    fn new(index: usize, group: &Group) -> Self {
        let identity = identity(&group.centre);
        let forwarder = AgentForwarder::new(node(index), identity, at(group.started), FLOW_LIFE);
        Self {
            group: group.clone(),
            forwarder,
            reports: 0,
            heartbeats: 0,
        }
    }

    // A heartbeat comes each second after the first.
    fn beat(&mut self, millis: i64, holds: bool) {
        let (first, sequence) = self.group.heartbeat;
        let due = (millis - first).div_euclid(1_000) + 1;
        while i64::from(self.heartbeats) < due {
            let heartbeat = HostHeartbeat {
                id: "i-1".to_owned(),
                host: identity(&self.group.centre),
                born: 100,
                age: None,
                sequence: Sequence::new(sequence + self.heartbeats),
                slots: Slots::new(2),
                draining: false,
                warmup: Span::ZERO,
            };
            let now = at(first + i64::from(self.heartbeats) * 1_000);
            self.forwarder.on_heartbeat(now, heartbeat);
            if holds && self.heartbeats == 0 && sequence == 1 {
                // The flow was opened through this agent.
                self.forwarder.on_host_packet(now, &answer(&packet(PORT)));
            }
            self.heartbeats += 1;
        }
    }

    fn report(&mut self, now: Time) -> Report {
        self.reports += 1;
        Report {
            epoch: 1,
            sequence: Sequence::new(self.reports),
            centre: self.group.centre.parse().unwrap(),
            service: ServiceKey::of(SERVICE),
            state: self.forwarder.state(),
            born: 100,
            slots: Slots::new(2),
            warmup: Span::ZERO,
            load: self.forwarder.load(now),
            outcomes: OutcomeCounts::default(),
            relayed: false,
            complete: self.forwarder.reports_complete(now),
            uptime: self.forwarder.uptime(now),
        }
    }
}

impl Fleet {
    pub fn new(case: &Case) -> Self {
        let groups = case.agents.iter();
        let groups = groups.flat_map(|group| std::iter::repeat_n(group, group.count));
        let agents = groups
            .enumerate()
            .map(|(index, group)| (node(index), Agent::new(index, group)));
        let directory = HostDirectory::new("kolkata".parse().unwrap(), at(0))
            .expecting(case.centres.parse().unwrap());
        Self {
            agents: agents.collect(),
            holder: case.holder.map(node),
            view: directory.view(configuration(), &RoutingView::default()),
            directory,
            forwarder: BalancerForwarder::new("10.2.0.1".parse().unwrap()),
            settle_watch: SettleWatch::default(),
            packets: 0,
            case: case.clone(),
        }
    }

    /// Plays the flow's packets until its caller knows, or gives up.
    ///
    /// Also returns the number of packets that the balancer has sent to agents.
    pub fn play(mut self) -> (Outcome, usize) {
        let outcome = self.outcome();
        (outcome, self.packets)
    }

    fn outcome(&mut self) -> Outcome {
        for millis in (0..=self.case.first + PLAY_MILLIS).step_by(TICK_MILLIS as usize) {
            self.tick(millis);
            if self.wake(millis).contains(&PORT) {
                return Outcome::Reset { at: millis };
            }
            let sent = millis.checked_sub(self.case.first);
            if sent.is_some_and(|sent| COPIES.contains(&sent))
                && let Some(outcome) = self.send(millis, PORT)
            {
                return outcome;
            }
        }
        Outcome::Silence
    }

    fn tick(&mut self, millis: u64) {
        let now = at(millis.cast_signed());
        for (node, agent) in &mut self.agents {
            if now < at(agent.group.started) {
                continue;
            }
            agent.beat(millis.cast_signed(), self.holder == Some(*node));
            if agent.group.heard <= millis && agent.group.reaches(millis) {
                let report = agent.report(now);
                self.directory.on_direct_report(now, *node, &report);
            }
        }
        self.view = self.directory.view(configuration(), &self.view);
    }

    /// Plays flows that begin to send at these times, for eight seconds after the start.
    ///
    /// Returns what each caller experiences, as far as it does.
    pub fn play_flows(&mut self, flows: &BTreeMap<u16, i64>) -> BTreeMap<u16, Outcome> {
        let mut outcomes = BTreeMap::new();
        for millis in (0..=LOAD_MILLIS).step_by(TICK_MILLIS as usize) {
            self.tick(millis);
            for port in self.wake(millis) {
                outcomes.insert(port, Outcome::Reset { at: millis });
            }
            for (port, first) in flows {
                let sent = u64::try_from(millis.cast_signed() - first);
                let copy = sent.is_ok_and(|sent| COPIES.contains(&sent));
                if copy
                    && !outcomes.contains_key(port)
                    && let Some(outcome) = self.send(millis, *port)
                {
                    outcomes.insert(*port, outcome);
                }
            }
        }
        outcomes
    }

    // The ports of the flows that the traffic thread resets when it is woken.
    fn wake(&mut self, millis: u64) -> Vec<u16> {
        let now = at(millis.cast_signed());
        let mut ports = Vec::new();
        let mut next = self.settle_watch.observe(now, &self.view);
        while let Some(wake_up) = next {
            let (resets, left) = self.forwarder.on_wake_up(now, wake_up, &self.view);
            for reset in resets {
                let Verdict::Reset { flow, received, .. } = reset else {
                    panic!("{reset:?}");
                };
                assert_eq!(received, packet(PORT).acknowledged);
                ports.push(flow.caller.port());
            }
            next = left;
        }
        ports
    }

    fn send(&mut self, millis: u64, port: u16) -> Option<Outcome> {
        let now = at(millis.cast_signed());
        let packet = packet(port);
        let mut verdicts = vec![self.forwarder.on_packet(now, &packet, &self.view)];
        while let Some(verdict) = verdicts.pop() {
            match verdict {
                Verdict::Send {
                    to, forward_header, ..
                } => {
                    self.packets += 1;
                    verdicts.extend(self.forwarder.further(&packet, &self.view));
                    let visited = self.visit(millis, &packet, to, forward_header);
                    if visited == Some(Visit::Held) {
                        return Some(Outcome::Found);
                    }
                    if visited == Some(Visit::Missing) {
                        let candidates = forward_header.candidates;
                        let forwarder = &mut self.forwarder;
                        let next = forwarder.on_returned(now, &packet, &candidates, &self.view);
                        verdicts.insert(0, next);
                    }
                }
                Verdict::Reset { received, .. } => {
                    assert_eq!(received, packet.acknowledged);
                    return Some(Outcome::Reset { at: millis });
                }
                Verdict::Drop(_) => {}
            }
        }
        None
    }

    // Passes a packet along its agents; `None` if it is lost on the way.
    fn visit(
        &mut self,
        millis: u64,
        packet: &PacketHeader,
        to: NodeId,
        forward_header: ForwardHeader,
    ) -> Option<Visit> {
        let now = at(millis.cast_signed());
        let (mut to, mut forward_header) = (to, forward_header);
        loop {
            let agent = self.agents.get_mut(&to)?;
            if !agent.group.reaches(millis) {
                return None;
            }
            let mut inbound = agent.forwarder.on_packet(now, packet, &forward_header);
            if let InboundAction::Deliver { token, .. } = inbound.action {
                let port = packet.source.port();
                if self.holder == Some(to) && port >= FIRST_LIVING {
                    agent.forwarder.on_host_packet(now, &answer(packet));
                    return Some(Visit::Held);
                }
                let outbound = agent.forwarder.on_host_packet(now, &returned(port, token));
                let Outbound::Returned(next) = outbound else {
                    return None;
                };
                inbound = next;
            }
            match inbound {
                Inbound {
                    action:
                        InboundAction::Forward {
                            to: next,
                            forward_header: header,
                            ..
                        },
                    ..
                } => (to, forward_header) = (next, header),
                Inbound {
                    action: InboundAction::Missing { .. },
                    ..
                } => return Some(Visit::Missing),
                _ => return None,
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Visit {
    Held,
    Missing,
}
