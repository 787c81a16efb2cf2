//! Planned restarts: drain, handover, leave, exit and join.

use usher_agent::{Action, Event};
use usher_types::{HostId, HostState, Incarnation, Span, Time};

use super::Agents;
use super::agents::{Step, Transfer};
use super::node::{Life, Node};

// From the end of a process to the start of the next one.
const DOWN: Span = Span::from_secs(2);

impl Agents<'_> {
    pub(super) fn drain(&mut self, now: Time, node: usize) {
        self.nodes[node].state = Some(HostState::Draining);
        self.publish(now);
        self.feed(now, node, Event::Drain);
    }

    pub(super) fn hand_over(&mut self, now: Time, node: usize, to: &HostId, transfer: Transfer) {
        let receiver = self.nodes.iter().position(|other| other.host == *to);
        if let Some(receiver) = receiver {
            let step = Step::Transfer(receiver, node, transfer);
            self.calendar.add(now + self.site.inner, step);
        }
    }

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
        if self.nodes[to].life != Life::Gone {
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
            self.arm(to);
        }
        if let Some(answer) = answer {
            self.calendar
                .add(now + self.site.inner, Step::Reply(from, answer));
        }
    }

    /// Flows and requests have gone: the process leaves the roster.
    pub(super) fn leave(&mut self, now: Time, node: usize) {
        if self.nodes[node].life != Life::Running {
            return;
        }
        self.nodes[node].life = Life::Leaving;
        self.nodes[node].state = None;
        self.publish(now);
        self.feed(now, node, Event::Leave);
    }

    pub(super) fn exit(&mut self, now: Time, node: usize) {
        if self.nodes[node].life == Life::Leaving {
            self.nodes[node].life = Life::Gone;
            self.calendar.add(now + DOWN, Step::Join(node));
        }
    }

    pub(super) fn join(&mut self, now: Time, node: usize) {
        let incarnation = Incarnation::new(self.nodes[node].incarnation.get() + 1);
        self.nodes[node] = Node::new(self.site, self.options, node, incarnation);
        self.publish(now);
    }
}
