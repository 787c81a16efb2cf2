use std::net::SocketAddrV4;

use usher_config::Object;
use usher_types::{DataCentre, Message, Peer, ServiceName, Time, Version};

use crate::agent_node::AgentNode;
use crate::balancer_node::BalancerNode;
use crate::clock::Clock;
use crate::effect::Effect;

/// A host or an instance with the process that runs on it.
#[derive(Debug)]
pub(crate) struct Machine {
    pub(crate) name: String,
    pub(crate) address: SocketAddrV4,
    pub(crate) centre: DataCentre,
    /// Service of a host; `None` for a balancer's instance.
    pub(crate) service: Option<ServiceName>,
    pub(crate) clock: Clock,
    /// Nothing happens on the machine before this time.
    pub(crate) frozen: Time,
    pub(crate) incarnation: u64,
    pub(crate) process: Option<Process>,
    /// A new process starts when the present one has left.
    pub(crate) again: bool,
}

/// The running process of a machine.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) role: Role,
    pub(crate) armed: Option<Time>,
    /// Version up to which the store's watch has been read.
    pub(crate) since: Version,
    pub(crate) store_up: Option<bool>,
    pub(crate) polling: bool,
}

/// What a process does.
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
            Some(_) => Peer::Host(self.name.parse().expect("the name was a host's")),
            None => Peer::Instance(self.name.parse().expect("the name was an instance's")),
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

    pub(crate) fn store(&mut self, now: Time, up: bool) {
        match self {
            Self::Agent(node) => node.store(now, up),
            Self::Balancer(node) => node.store(now, up),
        }
    }

    pub(crate) fn objects(
        &mut self,
        now: Time,
        after: Version,
        through: Version,
        objects: Vec<Object>,
    ) {
        match self {
            Self::Agent(node) => node.objects(now, after, through, objects),
            Self::Balancer(node) => node.objects(now, after, through, objects),
        }
    }

    pub(crate) fn message(&mut self, now: Time, from: SocketAddrV4, message: Message) {
        match self {
            Self::Agent(node) => node.message(now, from, message),
            Self::Balancer(node) => node.message(now, from, message),
        }
    }

    pub(crate) fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(match self {
            Self::Agent(node) => &mut node.effects,
            Self::Balancer(node) => &mut node.effects,
        })
    }

    /// Revision in force; `None` if the process does not serve.
    pub(crate) fn revision(&self) -> Option<Version> {
        match self {
            Self::Agent(node) => node.revision(),
            Self::Balancer(node) => Some(node.revision()),
        }
    }

    /// All objects that the process knows.
    pub(crate) fn known(&self) -> Vec<Object> {
        let cache = match self {
            Self::Agent(node) => &node.cache,
            Self::Balancer(node) => &node.cache,
        };
        cache.since(Version::default()).cloned().collect()
    }
}
