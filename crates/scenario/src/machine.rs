use std::net::SocketAddrV4;

use usher_config::{Cache, Object, RestoreWait};
use usher_types::{DataCentre, Message, Peer, ServiceName, Time, Version};

use crate::agent_node::AgentNode;
use crate::balancer_node::BalancerNode;
use crate::clock::Clock;
use crate::effect::Effect;

/// Host or instance and the process that runs on it.
#[derive(Debug)]
pub(crate) struct Machine {
    pub(crate) name: String,
    pub(crate) address: SocketAddrV4,
    pub(crate) centre: DataCentre,
    /// Service of a host; `None` for a balancer's instance.
    pub(crate) service: Option<ServiceName>,
    pub(crate) clock: Clock,
    /// Events on the machine are put off until this time.
    pub(crate) frozen_until: Time,
    pub(crate) incarnation: u64,
    pub(crate) process: Option<Process>,
    /// Whether a new process starts when the current one has left.
    pub(crate) restart: bool,
}

/// The running process of a machine.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) role: Role,
    /// Time of the run at which the scheduled timer event is due.
    pub(crate) armed: Option<Time>,
    /// Position up to which the process has read the store.
    pub(crate) since: Version,
    /// Whether the store was reachable at the last poll; `None` before the first one.
    pub(crate) store_up: Option<bool>,
    /// Whether a poll of the store is scheduled.
    pub(crate) polling: bool,
    /// Whether the process writes objects again that the store has lost.
    pub(crate) restoring: bool,
    pub(crate) restore_wait: RestoreWait,
}

/// Kind of a process with its state.
#[derive(Debug)]
pub(crate) enum Role {
    Agent(Box<AgentNode>),
    Balancer(Box<BalancerNode>),
}

impl Machine {
    pub(crate) fn agent(&mut self) -> Option<&mut AgentNode> {
        match &mut self.process.as_mut()?.role {
            Role::Agent(node) => Some(node),
            Role::Balancer(_) => None,
        }
    }

    pub(crate) fn balancer(&mut self) -> Option<&mut BalancerNode> {
        match &mut self.process.as_mut()?.role {
            Role::Balancer(node) => Some(node),
            Role::Agent(_) => None,
        }
    }

    pub(crate) fn peer(&self) -> Peer {
        match &self.service {
            Some(_) => Peer::Host(self.name.parse().expect("name of a host parses as its id")),
            None => Peer::Instance(
                self.name
                    .parse()
                    .expect("name of an instance parses as its id"),
            ),
        }
    }
}

impl Role {
    pub(crate) fn next_timer(&self) -> Option<Time> {
        match self {
            Self::Agent(node) => Some(node.next_timer()),
            Self::Balancer(node) => node.next_timer(),
        }
    }

    pub(crate) fn tick(&mut self, now: Time) {
        match self {
            Self::Agent(node) => node.tick(now),
            Self::Balancer(node) => node.tick(now),
        }
    }

    pub(crate) fn set_store_up(&mut self, now: Time, up: bool) {
        match self {
            Self::Agent(node) => node.set_store_up(now, up),
            Self::Balancer(node) => node.set_store_up(now, up),
        }
    }

    pub(crate) fn adopt_objects(
        &mut self,
        now: Time,
        after: Version,
        through: Version,
        objects: Vec<Object>,
    ) {
        match self {
            Self::Agent(node) => node.adopt_objects(now, after, through, objects),
            Self::Balancer(node) => node.adopt_objects(now, after, through, objects),
        }
    }

    pub(crate) fn handle_message(&mut self, now: Time, from: SocketAddrV4, message: Message) {
        match self {
            Self::Agent(node) => node.handle_message(now, from, message),
            Self::Balancer(node) => node.handle_message(now, from, message),
        }
    }

    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(match self {
            Self::Agent(node) => &mut node.effects,
            Self::Balancer(node) => &mut node.effects,
        })
    }

    /// Configuration revision in force; `None` if the process does not serve.
    pub(crate) fn revision(&self) -> Option<Version> {
        match self {
            Self::Agent(node) => node.revision(),
            Self::Balancer(node) => Some(node.revision()),
        }
    }

    pub(crate) fn cache(&self) -> &Cache {
        match self {
            Self::Agent(node) => &node.cache,
            Self::Balancer(node) => &node.cache,
        }
    }

    /// All configuration objects in the cache of the process.
    pub(crate) fn known(&self) -> Vec<Object> {
        let objects = self.cache().since(Version::default());
        objects.cloned().collect()
    }
}

/// Adds objects to a cache; a poll from the start reads everything that the store holds.
pub(crate) fn apply(
    cache: &mut Cache,
    after: Version,
    through: Version,
    objects: Vec<Object>,
) -> usize {
    if after == Version::default() && through > after {
        return cache.apply_list(through, objects, &[]);
    }
    cache.apply_since(after, through, objects)
}
