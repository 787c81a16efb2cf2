use usher_forwarding::{Hello, NodeId};
use usher_types::Time;

use super::state::State;
use crate::codec::PeerMessage;
use crate::event;

// Hello messages to balancers and agents.
impl State {
    /// Handles a balancer's hello message; `true` if it should be answered at once.
    pub(crate) fn on_hello(&mut self, now: Time, node: NodeId, hello: &Hello) -> bool {
        for other in &hello.balancers {
            if *other != self.settings.node {
                self.fleet.add(now, *other);
            }
        }
        let new = self.fleet.on_hello(now, node, hello);
        self.start_up.on_hello(now);
        self.on_evacuations(now, node, hello);
        if new {
            event::BALANCER_FOUND.log(&[
                ("balancer", &node),
                ("epoch", &hello.epoch),
                ("version", &hello.version),
            ]);
        }
        new
    }

    /// Agents listed in a hello message that this balancer does not know.
    pub(crate) fn unknown_agents(&self, now: Time, hello: &Hello) -> Vec<NodeId> {
        let listed = hello.agents.iter().copied();
        listed
            .filter(|agent| self.directory.state(now, *agent).is_none())
            .collect()
    }

    /// Agents that get a hello message at `now`: those that report here or may start to.
    pub(crate) fn agent_receivers(&mut self, now: Time) -> Vec<NodeId> {
        self.targets.hello_agents(now, &self.fleet, &self.directory)
    }

    /// Begins a round of hello messages.
    ///
    /// Returns the balancers that get one at `now`, and whether it asks for one back.
    pub(crate) fn balancer_receivers(&mut self, now: Time) -> Vec<(NodeId, bool)> {
        self.listed_balancers.advance(self.fleet.present(now));
        self.listed_agents.advance(self.directory.agents());
        self.targets.hello_balancers(now, &mut self.fleet)
    }

    /// The hello message to other balancers.
    pub(crate) fn balancer_hello(&self, now: Time, ask: bool) -> PeerMessage {
        let mut hello = self.hello(now);
        hello.ask = ask;
        if !self.fleet.is_large() {
            hello.agents = self.listed_agents.list(self.directory.agents());
        }
        PeerMessage::Hello(hello)
    }

    /// The hello message to agents.
    pub(crate) fn agent_hello(&self, now: Time) -> PeerMessage {
        PeerMessage::Hello(self.hello(now))
    }

    fn hello(&self, now: Time) -> Hello {
        Hello {
            epoch: self.epoch,
            version: self.version(),
            leaving: self.stopping,
            complete: !self.is_starting(now),
            centre: self.settings.centre.clone(),
            capacity: self.settings.capacity,
            balancers: self.listed_balancers.list(self.fleet.present(now)),
            agents: Vec::new(),
            ask: false,
            evacuations: self.evacuations.latest().cloned(),
        }
    }
}
