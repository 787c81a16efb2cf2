use std::collections::HashMap;

use indexmap::IndexMap;
use serde_json::{Value, json};
use usher_types::{Attempt, FlowId, HostId, Outcome, Packet, Payload, RequestId, RequestKey, Time};
use usher_wire::{Meta, RequestMessage, ResponseMessage};

use crate::backend::answer_text;
use crate::connection::Connection;
use crate::statement::Load;

/// Request with all its transmissions and runs.
#[derive(Debug)]
pub(crate) struct TrackedRequest {
    pub(crate) load: Load,
    pub(crate) first_sent: Time,
    /// Number of transmissions, of which the two of a doubled request count as one.
    pub(crate) attempts: u16,
    pub(crate) transmissions: IndexMap<RequestId, Transmission>,
    /// Transmission, host and start time of each run.
    pub(crate) runs: Vec<(RequestId, HostId, Time)>,
}

/// One transmission of a request.
#[derive(Debug)]
pub(crate) struct Transmission {
    pub(crate) time: Time,
    /// Outcome in the reply; `None` while there is no reply.
    pub(crate) reply: Option<Outcome>,
}

impl TrackedRequest {
    pub(crate) fn is_answered(&self) -> bool {
        self.transmissions
            .values()
            .any(|transmission| transmission.reply.is_some())
    }

    /// Transmissions whose reply was "not run".
    pub(crate) fn not_run(&self) -> impl Iterator<Item = (&RequestId, &Transmission)> {
        self.transmissions
            .iter()
            .filter(|(_, transmission)| matches!(transmission.reply, Some(Outcome::NotRun { .. })))
    }
}

/// All callers with their flows and requests.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    pub(crate) flows: Vec<Connection>,
    pub(crate) requests: IndexMap<RequestKey, TrackedRequest>,
    /// Answers that came from another service.
    pub(crate) misrouted: u64,
    /// Answers that are incomplete, repeated, or belong to no request or another one.
    pub(crate) damaged: u64,
    // Position of each flow in `flows`.
    index: HashMap<FlowId, usize>,
}

impl Callers {
    pub(crate) fn open(&mut self, connection: Connection) -> usize {
        let position = self.flows.len();
        self.index.insert(connection.flow, position);
        self.flows.push(connection);
        position
    }

    /// Position of a flow in `flows`.
    pub(crate) fn position(&self, flow: &FlowId) -> Option<usize> {
        self.index.get(flow).copied()
    }

    /// Positions of the open flows to the service of a load.
    pub(crate) fn open_flows(&self, load: &Load) -> Vec<usize> {
        let flows = self.flows.iter().enumerate();
        flows
            .filter(|(_, flow)| flow.is_open() && flow.service == load.service)
            .map(|(position, _)| position)
            .collect()
    }

    pub(crate) fn track(&mut self, now: Time, key: RequestKey, load: Load) {
        let tracked = TrackedRequest {
            load,
            first_sent: now,
            attempts: 1,
            transmissions: IndexMap::new(),
            runs: Vec::new(),
        };
        self.requests.insert(key, tracked);
    }

    /// Sends or repeats a request on a flow; returns the packets to send.
    pub(crate) fn send(&mut self, now: Time, key: RequestKey, flow: usize) -> Vec<Packet> {
        let Some(tracked) = self.requests.get_mut(&key) else {
            return Vec::new();
        };
        let request = RequestMessage {
            id: key.to_string().into(),
            method: tracked.load.method.clone(),
            meta: Meta {
                key,
                once: tracked.load.once,
                deadline_ms: Some(tracked.load.deadline.as_millis()),
                attempt: Attempt::new(tracked.attempts),
                age_ms: (now - tracked.first_sent).as_millis(),
                budget: None,
                priority: None,
            },
            body: Payload::from(
                json!({ "takes": tracked.load.takes.as_micros() })
                    .to_string()
                    .into_bytes(),
            ),
        };
        let bytes = request.encode().unwrap_or_default();
        let connection = &mut self.flows[flow];
        let (message, packets) = connection.send(now, bytes);
        let id = RequestId {
            flow: connection.flow,
            message,
        };
        tracked.transmissions.insert(
            id,
            Transmission {
                time: now,
                reply: None,
            },
        );
        packets
    }

    /// Handles a packet and returns the packets to send in answer.
    pub(crate) fn receive(&mut self, now: Time, packet: Packet, length: usize) -> Vec<Packet> {
        let Some(position) = self.position(&packet.flow) else {
            return Vec::new();
        };
        let (packets, message) = self.flows[position].receive(now, packet.body);
        if let Some(bytes) = message {
            self.answer(position, &bytes, length);
        }
        packets
    }

    pub(crate) fn note_run(&mut self, now: Time, id: RequestId, key: RequestKey, host: &HostId) {
        if let Some(tracked) = self.requests.get_mut(&key) {
            tracked.runs.push((id, host.clone(), now));
        }
    }

    fn answer(&mut self, flow: usize, bytes: &[u8], length: usize) {
        let response = ResponseMessage::decode(bytes).ok();
        let key = response.as_ref().and_then(|response| response.id.as_str());
        let key = key.and_then(|text| text.parse::<RequestKey>().ok());
        let (Some(response), Some(key)) = (response, key) else {
            self.damaged += 1;
            return;
        };
        let Some(tracked) = self.requests.get_mut(&key) else {
            self.damaged += 1;
            return;
        };
        if let Outcome::Answered(payload) = &response.outcome {
            let value: Value = serde_json::from_slice(payload).unwrap_or_default();
            self.misrouted += u64::from(value["service"] != tracked.load.service.as_str());
            let is_own = value["key"] == key.to_string();
            let is_whole = value["text"] == answer_text(key, length);
            self.damaged += u64::from(!is_own || !is_whole);
        }
        let flow = self.flows[flow].flow;
        let waiting = tracked
            .transmissions
            .iter_mut()
            .find(|(id, transmission)| id.flow == flow && transmission.reply.is_none());
        match waiting {
            Some((_, transmission)) => transmission.reply = Some(response.outcome),
            None => self.damaged += 1,
        }
    }
}
