use usher_forwarding::HeartbeatEffect;
use usher_platform::{Call, decode_heartbeat, heartbeat_reply};

use super::control::Control;
use crate::event;
use crate::http::Answer;

impl Control {
    /// Answers an HTTP call from the platform or from the backend server.
    pub(super) fn on_call(&self, call: Option<Call>, body: &[u8]) -> Answer {
        let status = match call {
            Some(Call::Ready) => {
                let stopping = self.stopping.get().is_some();
                if stopping { 503 } else { 200 }
            }
            Some(Call::Heartbeat { id }) => self.on_heartbeat(&id, body),
            Some(Call::Leave { id }) => {
                self.on_leave(&id);
                200
            }
            None => 404,
        };
        Answer::json(status, heartbeat_reply())
    }

    fn on_heartbeat(&self, id: &str, body: &[u8]) -> u16 {
        let update = match decode_heartbeat(id, body) {
            Ok(update) => update,
            Err(fault) => {
                event::HEARTBEAT_REFUSED.log(&[("id", &id), ("fault", &fault)]);
                return 400;
            }
        };
        let now = usher_clock::now();
        let (born, sequence, slots) = (update.born, update.sequence, update.slots);
        let host = update.host.clone();
        let (effect, lost_flows) = self.shared.forwarder().on_heartbeat(now, update);
        for (flow, received) in &lost_flows {
            self.shared.reset(flow, *received);
            event::FLOW_RESET.log(&[("flow", flow), ("reason", &"backend-restarted")]);
        }
        self.shared.release();
        let state = self.shared.forwarder().state();
        let event = match effect {
            HeartbeatEffect::Started => event::BACKEND_STARTED,
            HeartbeatEffect::Changed => event::BACKEND_CHANGED,
            HeartbeatEffect::Late => event::HEARTBEAT_LATE,
            HeartbeatEffect::Foreign => {
                event::HEARTBEAT_REFUSED.log(&[
                    ("id", &id),
                    ("service", &host.service),
                    ("address", &host.address),
                    ("centre", &host.centre),
                    ("sequence", &sequence),
                ]);
                return 400;
            }
            HeartbeatEffect::Confirmed => return 200,
        };
        event.log(&[
            ("id", &id),
            ("born", &born),
            ("sequence", &sequence),
            ("slots", &slots),
            ("state", &state),
        ]);
        self.report(now);
        200
    }

    fn on_leave(&self, id: &str) {
        let now = usher_clock::now();
        let lost_flows = self.shared.forwarder().on_leave(now, id);
        let Some(lost_flows) = lost_flows else {
            event::HEARTBEAT_LATE.log(&[("id", &id), ("call", &"leave")]);
            return;
        };
        event::BACKEND_LEFT.log(&[("id", &id), ("flows", &lost_flows.len())]);
        for (flow, received) in &lost_flows {
            self.shared.reset(flow, *received);
            event::FLOW_RESET.log(&[("flow", flow), ("reason", &"backend-left")]);
        }
        self.shared.release();
        self.report(now);
    }
}
