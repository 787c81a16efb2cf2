use usher_agent::Event;
use usher_types::Span;

use super::Simulation;
use crate::effect::{HandoverReply, HandoverRequest};
use crate::scheduled_event::{MachineEvent, ScheduledEvent};

const CALL_TIMEOUT: Span = Span::from_secs(5);
const CALL_RETRY_DELAY: Span = Span::from_millis(300);

impl Simulation<'_> {
    pub(super) fn hand_over(&mut self, name: &str, to: &str, handover: HandoverRequest) {
        self.sequence += 1;
        let call = self.sequence;
        let incarnation = self.machines[name].incarnation;
        let entry = (name.to_owned(), incarnation, to.to_owned());
        self.handovers.insert(call, entry);
        self.push(CALL_TIMEOUT, ScheduledEvent::HandoverTimeout(call));
        if !self.network.is_cut(self.now, name, to) {
            let delay = self.network.delay();
            self.push_on(
                delay,
                to,
                MachineEvent::Handover(call, name.to_owned(), handover),
            );
        }
    }

    pub(super) fn take_over(
        &mut self,
        name: &str,
        call: u64,
        from: &str,
        handover: HandoverRequest,
    ) {
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        let reply = machine
            .agent()
            .and_then(|agent| agent.take_over(now, handover));
        if self.network.is_cut(self.now, name, from) {
            return;
        }
        // After the time-out, the sender ignores the answer.
        if let Some((sender, incarnation, to)) = self.handovers.remove(&call) {
            let delay = match reply {
                Some(_) => self.network.delay(),
                None => CALL_RETRY_DELAY,
            };
            let machine_event = MachineEvent::HandedOver(to, reply);
            self.push(
                delay,
                ScheduledEvent::Machine(sender, incarnation, machine_event),
            );
        }
    }

    pub(super) fn handed_over(&mut self, name: &str, to: &str, reply: Option<HandoverReply>) {
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        let (Some(agent), Ok(host)) = (machine.agent(), to.parse()) else {
            return;
        };
        let event = match reply {
            Some(HandoverReply::Flows(flows)) => Event::FlowsTaken {
                to: host,
                flows: Some(flows),
            },
            Some(HandoverReply::Records(roster)) => Event::RecordsTaken { from: host, roster },
            None => Event::FlowsTaken {
                to: host,
                flows: None,
            },
        };
        agent.handle_event(now, event);
    }
}
