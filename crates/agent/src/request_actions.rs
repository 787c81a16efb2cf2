use usher_admission::{Action as RequestAction, Event as RequestEvent};
use usher_dedupe::ClaimantEvent;
use usher_types::AgentMessage;

use crate::{Action, AgentState};

impl AgentState {
    pub(crate) fn on_request_event(&mut self, event: RequestEvent) {
        let Some(machines) = &mut self.machines else {
            return;
        };
        for action in machines.scheduler.handle(self.now, event) {
            self.on_request_action(action);
        }
    }

    fn on_request_action(&mut self, action: RequestAction) {
        match action {
            RequestAction::Claim {
                id,
                key,
                attempt,
                age,
                deadline,
            } => {
                if let Some(machines) = &mut self.machines {
                    machines.claims.insert(key, id);
                }
                self.on_claimant_event(ClaimantEvent::Acquire {
                    key,
                    attempt,
                    age,
                    deadline,
                });
            }
            RequestAction::Dispatch {
                id,
                key,
                method,
                body,
                start_by,
                deadline,
            } => {
                self.out.push(Action::Run {
                    id,
                    key,
                    method,
                    body,
                    start_by,
                    deadline,
                });
            }
            RequestAction::CancelRun { id } => self.out.push(Action::CancelRun(id)),
            RequestAction::Reply { id, outcome } => self.out.push(Action::Answer { id, outcome }),
            RequestAction::Complete { key, outcome } => {
                self.on_claimant_event(ClaimantEvent::Report { key, outcome });
            }
            RequestAction::Offer { to, offer } => self.send(to, AgentMessage::Offer(offer)),
            RequestAction::OfferReply { to, reply } => {
                self.send(to, AgentMessage::OfferReply(reply));
            }
            RequestAction::OfferOutcome { to, outcome } => {
                self.send(to, AgentMessage::OfferOutcome(outcome));
            }
            RequestAction::OfferOutcomeAck { to, outcome_ack } => {
                self.send(to, AgentMessage::OfferOutcomeAck(outcome_ack));
            }
            RequestAction::Drained => {
                self.requests_drained = true;
                self.report_drained();
            }
            RequestAction::Count(counter) => self.count("requests", &counter),
        }
    }
}
