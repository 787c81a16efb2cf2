use usher_flows::{Action as FlowAction, Event as FlowEvent};
use usher_types::{AgentMessage, Message};

use crate::{Action, AgentState};

impl AgentState {
    pub(crate) fn on_flow_event(&mut self, event: FlowEvent) {
        let Some(machines) = &mut self.machines else {
            return;
        };
        for action in machines.flows.handle(self.now, event) {
            self.on_flow_action(action);
        }
    }

    fn on_flow_action(&mut self, action: FlowAction) {
        match action {
            FlowAction::Forward { to, relay } => {
                self.out.push(Action::Send {
                    to,
                    message: Message::Relay(relay),
                });
            }
            FlowAction::Send(packet) => self.out.push(Action::Packet(packet)),
            FlowAction::Deliver { id, bytes } => self.out.push(Action::Deliver { id, bytes }),
            FlowAction::Hint { balancer, hint } => {
                self.out.push(Action::Send {
                    to: balancer,
                    message: Message::Hint(hint),
                });
            }
            FlowAction::Registration { to, registration } => {
                self.send(to, AgentMessage::Registration(registration));
            }
            FlowAction::RegistrationAck {
                to,
                registration_ack,
            } => {
                self.send(to, AgentMessage::RegistrationAck(registration_ack));
            }
            FlowAction::Handover { host, transfer } => {
                self.out.push(Action::HandOverFlows { to: host, transfer });
            }
            FlowAction::TookOver { flows } => self.out.push(Action::TookFlows(flows)),
            FlowAction::Drained => {
                self.flows_drained = true;
                self.report_drained();
            }
            FlowAction::Count(counter) => self.count("flows", &counter),
        }
    }
}
