use usher_agent::Event;
use usher_types::Span;

use super::World;
use crate::due::{Due, Local};
use crate::effect::{Taken, Transfers};

const CALL_TIMEOUT: Span = Span::from_secs(5);
const CALL_RETRY: Span = Span::from_millis(300);

impl World<'_> {
    pub(super) fn hand_over(&mut self, name: &str, to: &str, transfers: Transfers) {
        self.sequence += 1;
        let call = self.sequence;
        let incarnation = self.machines[name].incarnation;
        let entry = (name.to_owned(), incarnation, to.to_owned());
        self.handovers.insert(call, entry);
        self.push(CALL_TIMEOUT, Due::TimedOut(call));
        if !self.network.is_cut(self.now, name, to) {
            let delay = self.network.delay();
            self.push_on(delay, to, Local::Handover(call, name.to_owned(), transfers));
        }
    }

    pub(super) fn take_over(&mut self, name: &str, call: u64, from: &str, transfers: Transfers) {
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        let taken = machine
            .agent()
            .and_then(|agent| agent.take_over(now, transfers));
        if self.network.is_cut(self.now, name, from) {
            return;
        }
        // A sender that gave up takes no answer.
        if let Some((sender, incarnation, to)) = self.handovers.remove(&call) {
            let delay = match taken {
                Some(_) => self.network.delay(),
                None => CALL_RETRY,
            };
            let local = Local::HandedOver(to, taken);
            self.push(delay, Due::On(sender, incarnation, local));
        }
    }

    pub(super) fn handed_over(&mut self, name: &str, to: &str, taken: Option<Taken>) {
        let machine = &mut self.machines[name];
        let now = machine.clock.read(self.now);
        let (Some(agent), Ok(host)) = (machine.agent(), to.parse()) else {
            return;
        };
        let event = match taken {
            Some(Taken::Flows(flows)) => Event::FlowsTaken {
                to: host,
                flows: Some(flows),
            },
            Some(Taken::Records(roster)) => Event::RecordsTaken { from: host, roster },
            None => Event::FlowsTaken {
                to: host,
                flows: None,
            },
        };
        agent.feed(now, event);
    }
}
