use usher_admission::Event as RequestEvent;
use usher_dedupe::{ClaimantAction, ClaimantEvent, LedgerAction, LedgerEvent};
use usher_types::{AgentMessage, RequestId, RequestKey};

use crate::{Action, AgentState};

impl AgentState {
    pub(crate) fn on_claimant_event(&mut self, event: ClaimantEvent) {
        let Some(machines) = &mut self.machines else {
            return;
        };
        for action in machines.claimant.handle(self.now, event) {
            self.on_claimant_action(action);
        }
    }

    fn on_claimant_action(&mut self, action: ClaimantAction) {
        match action {
            ClaimantAction::Claim { to, claim } => self.send(to, AgentMessage::Claim(claim)),
            ClaimantAction::Completion { to, completion } => {
                self.send(to, AgentMessage::Completion(completion));
            }
            ClaimantAction::Permit { key, start_by } => {
                self.resolve(key, |id| RequestEvent::Permit { id, start_by });
            }
            ClaimantAction::Settled { key, outcome } => {
                self.resolve(key, |id| RequestEvent::Settled { id, outcome });
            }
            ClaimantAction::Denied { key } => self.resolve(key, |id| RequestEvent::Denied { id }),
            ClaimantAction::Running { .. } => {}
        }
    }

    // Passes the answer to a claim to the request that last claimed this key.
    fn resolve(&mut self, key: RequestKey, event: impl FnOnce(RequestId) -> RequestEvent) {
        let claims = self.machines.as_mut().map(|machines| &mut machines.claims);
        if let Some(id) = claims.and_then(|claims| claims.remove(&key)) {
            self.on_request_event(event(id));
        }
    }

    pub(crate) fn on_ledger_event(&mut self, event: LedgerEvent) {
        let Some(machines) = &mut self.machines else {
            return;
        };
        for action in machines.ledger.handle(self.now, event) {
            self.on_ledger_action(action);
        }
    }

    fn on_ledger_action(&mut self, action: LedgerAction) {
        match action {
            LedgerAction::ClaimReply { to, claim_reply } => {
                self.send(to, AgentMessage::ClaimReply(claim_reply));
            }
            LedgerAction::CompletionAck { to, completion_ack } => {
                self.send(to, AgentMessage::CompletionAck(completion_ack));
            }
            LedgerAction::Handover { to, transfer } => {
                self.out.push(Action::HandOverRecords { to, transfer });
            }
            LedgerAction::Acknowledge { roster, .. } => {
                self.out.push(Action::TookRecords(roster));
            }
            LedgerAction::Drained => self.out.push(Action::RecordsDrained),
            LedgerAction::Count(counter) => self.count("dedupe", &counter),
        }
    }
}
