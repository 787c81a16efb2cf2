//! Planned restarts: a host drains, hands over, leaves the roster, exits and joins again.

use usher_agent::{Action, Event};
use usher_types::{HostId, HostState, Incarnation, Span, Time};

use super::Agents;
use super::agents::{Step, Transfer};
use super::node::{Node, Phase};

// Time between the exit of a process and the start of its successor.
const RESTART_DELAY: Span = Span::from_secs(2);

impl Agents<'_> {
    pub(super) fn drain(&mut self, now: Time, node: usize) {
        self.nodes[node].state = Some(HostState::Draining);
        self.publish(now);
        self.handle_event(now, node, Event::Drain);
    }

    pub(super) fn hand_over(&mut self, now: Time, node: usize, to: &HostId, transfer: Transfer) {
        let receiver = self.nodes.iter().position(|other| other.host == *to);
        if let Some(receiver) = receiver {
            let step = Step::Transfer(receiver, node, transfer);
            self.events.add(now + self.site.centre_latency, step);
        }
    }

    /// Passes handed-over flows or records to their new host.
    ///
    /// The answer goes back to the old host.
    pub(super) fn take_transfer(&mut self, now: Time, to: usize, from: usize, transfer: Transfer) {
        let is_flows = matches!(transfer, Transfer::Flows(_));
        let event = match transfer {
            Transfer::Flows(transfer) => Event::TakeFlows(transfer),
            Transfer::Records(transfer) => Event::TakeRecords(transfer),
        };
        let host = self.nodes[to].host.clone();
        let mut answer = is_flows.then(|| Event::FlowsTaken {
            to: host.clone(),
            flows: None,
        });
        if self.nodes[to].phase != Phase::Exited {
            for action in self.nodes[to].agent.handle(now, event) {
                match action {
                    Action::TookFlows(flows) => {
                        answer = Some(Event::FlowsTaken {
                            to: host.clone(),
                            flows: Some(flows),
                        });
                    }
                    Action::TookRecords(roster) => {
                        answer = Some(Event::RecordsTaken {
                            from: host.clone(),
                            roster,
                        });
                    }
                    action => self.carry_out(now, to, action),
                }
            }
            self.schedule_tick(to);
        }
        if let Some(answer) = answer {
            self.events
                .add(now + self.site.centre_latency, Step::Reply(from, answer));
        }
    }

    /// Takes a process without flows and requests out of the roster.
    pub(super) fn leave(&mut self, now: Time, node: usize) {
        if self.nodes[node].phase != Phase::Running {
            return;
        }
        self.nodes[node].phase = Phase::Leaving;
        self.nodes[node].state = None;
        self.publish(now);
        self.handle_event(now, node, Event::Leave);
    }

    pub(super) fn exit(&mut self, now: Time, node: usize) {
        if self.nodes[node].phase == Phase::Leaving {
            self.nodes[node].phase = Phase::Exited;
            self.events.add(now + RESTART_DELAY, Step::Join(node));
        }
    }

    pub(super) fn join(&mut self, now: Time, node: usize) {
        let incarnation = Incarnation::new(self.nodes[node].incarnation.get() + 1);
        self.nodes[node] = Node::new(self.site, self.options, node, incarnation);
        self.publish(now);
    }
}
