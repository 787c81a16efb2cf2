//! Control traffic of a whole fleet, message by message, without a network.

use usher_forwarding::{
    Directory, Exchange, Fleet, Hello, HostState, Load, NodeId, Relayed, Report, ServiceKey,
};
use usher_types::{DataCentre, Sequence, Slots, Span, Time, Version};

const CENTRES: [&str; 3] = ["kolkata", "howrah", "barasat"];
const STEP: u64 = 100;
const GREET: u64 = 300;
const STRENGTH: &str = "0.05";

struct Balancer {
    node: NodeId,
    centre: DataCentre,
    fleet: Fleet,
    directory: Directory,
    exchange: Exchange,
    version: Version,
    up: bool,
}

struct Agent {
    node: NodeId,
    centre: DataCentre,
    fleet: Fleet,
    sequence: Sequence,
    state: HostState,
}

struct World {
    now: Time,
    balancers: Vec<Balancer>,
    agents: Vec<Agent>,
    /// Messages within data centres and between them, since the last count.
    near: usize,
    far: usize,
    /// Most messages that one balancer has sent since the last count.
    sent: Vec<usize>,
}

fn balancer_node(index: usize) -> NodeId {
    NodeId::new([10, 1, (index / 200) as u8, (index % 200) as u8].into())
}

fn agent_node(index: usize) -> NodeId {
    NodeId::new([10, 2, (index / 200) as u8, (index % 200) as u8].into())
}

fn centre(index: usize) -> DataCentre {
    CENTRES[index % CENTRES.len()].parse().unwrap()
}

impl World {
    // All start at once and know from the store which balancers there are.
    fn new(balancers: usize, agents: usize) -> Self {
        let now = Time::ZERO + Span::from_secs(1);
        let mut world = Self {
            now,
            balancers: (0..balancers)
                .map(|index| Balancer {
                    node: balancer_node(index),
                    centre: centre(index),
                    fleet: Fleet::default(),
                    directory: Directory::new(centre(index), now),
                    exchange: Exchange::new(
                        balancer_node(index),
                        STRENGTH.parse().unwrap(),
                        centre(index),
                    ),
                    version: Version::new(1),
                    up: true,
                })
                .collect(),
            agents: (0..agents)
                .map(|index| Agent {
                    node: agent_node(index),
                    centre: centre(index),
                    fleet: Fleet::default(),
                    sequence: Sequence::default(),
                    state: HostState::Serving,
                })
                .collect(),
            near: 0,
            far: 0,
            sent: vec![0; balancers],
        };
        world.list();
        world
    }

    fn list(&mut self) {
        let nodes: Vec<NodeId> = self
            .balancers
            .iter()
            .map(|balancer| balancer.node)
            .collect();
        for balancer in &mut self.balancers {
            for node in nodes.iter().filter(|node| **node != balancer.node) {
                balancer.fleet.learn(self.now, *node);
            }
        }
        for agent in &mut self.agents {
            for node in &nodes {
                agent.fleet.learn(self.now, *node);
            }
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.now = self.now + Span::from_millis(STEP);
            self.report();
            self.relay();
            if self.now.as_micros().is_multiple_of(GREET * 1_000) {
                self.greet();
            }
        }
    }

    fn report(&mut self) {
        for index in 0..self.agents.len() {
            let agent = &mut self.agents[index];
            let report = Report {
                epoch: 1,
                sequence: agent.sequence,
                centre: agent.centre.clone(),
                service: ServiceKey::of("namedesk"),
                state: agent.state,
                born: 1,
                slots: Slots::new(4),
                warmup: Span::ZERO,
                load: Load::default(),
                few: agent.fleet.reports_to_few(),
            };
            agent.sequence = agent.sequence.next();
            let (node, centre) = (agent.node, agent.centre.clone());
            for relay in agent.fleet.relays(self.now, node, &centre) {
                let now = self.now;
                if let Some(balancer) = self.reach(relay, &centre) {
                    balancer.exchange.hear_agent(now, node);
                    balancer.directory.hear_direct(now, node, &report);
                }
            }
        }
    }

    fn relay(&mut self) {
        for index in 0..self.balancers.len() {
            let now = self.now;
            let from = &mut self.balancers[index];
            if !from.up {
                continue;
            }
            let (node, centre) = (from.node, from.centre.clone());
            let digests = from.exchange.digests(now, &from.fleet, &mut from.directory);
            for Relayed { to, reports } in digests {
                if reports.is_empty() {
                    continue;
                }
                self.sent[index] += to.len();
                for receiver in to {
                    if let Some(balancer) = self.reach(receiver, &centre) {
                        let from = balancer.fleet.centre(node).cloned();
                        for (agent, report) in &reports {
                            let directory = &mut balancer.directory;
                            directory.hear_relayed(now, *agent, report, from.as_ref());
                        }
                    }
                }
            }
        }
    }

    fn greet(&mut self) {
        for index in 0..self.balancers.len() {
            let now = self.now;
            let from = &mut self.balancers[index];
            if !from.up {
                continue;
            }
            let (node, centre) = (from.node, from.centre.clone());
            let mut hello = Hello {
                epoch: 1,
                version: from.version,
                leaving: false,
                centre: centre.clone(),
                strength: STRENGTH.parse().unwrap(),
                balancers: Vec::new(),
                agents: Vec::new(),
                ask: false,
            };
            let agents = from.exchange.agents(now, &from.fleet, &from.directory);
            let greeted = from.exchange.balancers(now, &mut from.fleet);
            self.sent[index] += agents.len() + greeted.len();
            for agent in agents {
                let agent = self.agents.iter_mut().find(|other| other.node == agent);
                let agent = agent.unwrap();
                let near = agent.centre == centre;
                agent.fleet.hear(now, node, &hello);
                self.near += usize::from(near);
                self.far += usize::from(!near);
            }
            for (receiver, ask) in greeted {
                hello.ask = ask;
                if let Some(balancer) = self.reach(receiver, &centre) {
                    balancer.fleet.hear(now, node, &hello);
                    // As the feed does with a newer version.
                    balancer.version = balancer.version.max(hello.version);
                }
            }
        }
    }

    fn reach(&mut self, node: NodeId, from: &DataCentre) -> Option<&mut Balancer> {
        let mut balancers = self.balancers.iter_mut();
        let balancer = balancers.find(|balancer| balancer.node == node)?;
        if balancer.centre == *from {
            self.near += 1;
        } else {
            self.far += 1;
        }
        balancer.up.then_some(balancer)
    }

    // Whether every balancer that is up knows every agent, and none has a report older than this.
    fn assert_known(&self, oldest: u64) {
        for balancer in self.balancers.iter().filter(|balancer| balancer.up) {
            for agent in &self.agents {
                let known = balancer.directory.state(self.now, agent.node);
                let (state, age) = known.unwrap_or_else(|| {
                    panic!("{} does not know {}", balancer.node, agent.node);
                });
                assert_eq!(state, agent.state, "{} at {}", agent.node, balancer.node);
                assert!(
                    age <= Span::from_millis(oldest),
                    "{} at {}: {age}",
                    agent.node,
                    balancer.node
                );
            }
        }
    }

    fn reset_counts(&mut self) {
        (self.near, self.far) = (0, 0);
        self.sent.fill(0);
    }
}

/// Guards against control traffic that grows with the product of balancers and nodes, and against
/// hosts that some balancers do not know.
#[test]
fn traffic_stays_bounded_as_the_fleet_grows() {
    let measure = |balancers: usize, agents: usize| {
        let mut world = World::new(balancers, agents);
        world.run(5_000);
        world.assert_known(1_200);
        world.reset_counts();
        world.run(3_000);
        world.assert_known(1_200);
        let sent = world.sent.iter().max().copied().unwrap();
        println!(
            "{balancers} balancers, {agents} agents: {} far, {sent} by one",
            world.far
        );
        (world.far, sent)
    };
    // The largest fleet in which everybody hears everybody is not cheaper than a larger one.
    let (small, _) = measure(8, 24);
    let (far, sent) = measure(15, 45);
    assert!(far <= small, "{far} messages between data centres");
    let (far_large, sent_large) = measure(60, 180);
    assert!(far_large <= 5 * far, "{far_large} after {far}");
    assert!(sent_large <= 5 * sent, "{sent_large} after {sent}");
}

/// Guards against hosts that are lost with their relays, and against agents that do not find the
/// balancers that remain.
#[test]
fn agents_outlive_their_balancers() {
    let mut world = World::new(15, 30);
    world.run(5_000);
    // Two thirds of a data centre, and all of another one.
    for (index, balancer) in world.balancers.iter_mut().enumerate() {
        balancer.up = index % 3 != 0 && (index % 3 != 1 || index < 6);
    }
    world.run(4_000);
    world.assert_known(1_200);
    for balancer in &mut world.balancers {
        balancer.up = true;
    }
    world.list();
    world.run(4_000);
    world.assert_known(1_200);
}

/// Guards against a host whose change of state waits for the slow digests between data centres.
#[test]
fn a_change_of_state_is_known_everywhere_at_once() {
    let mut world = World::new(15, 30);
    world.run(5_000);
    world.agents[4].state = HostState::Draining;
    world.run(300);
    world.assert_known(1_500);
}

/// Guards against a configuration that stays within one data centre when the store does not serve
/// the others.
#[test]
fn a_version_reaches_all_data_centres() {
    for balancers in [4, 15, 60] {
        let mut world = World::new(balancers, 3);
        world.run(5_000);
        world.balancers[0].version = Version::new(9);
        world.run(1_500);
        for balancer in &world.balancers {
            assert_eq!(balancer.version, Version::new(9), "{}", balancer.node);
        }
    }
}
