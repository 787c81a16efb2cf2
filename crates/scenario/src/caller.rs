use std::collections::HashMap;

use indexmap::IndexMap;
use serde_json::{Value, json};
use usher_types::{Attempt, FlowId, HostId, Outcome, Packet, Payload, RequestId, RequestKey, Time};
use usher_wire::{Meta, RequestMessage, ResponseMessage};

use crate::backend::answer_text;
use crate::connection::Connection;
use crate::statement::Load;

/// A request with all its transmissions and all its runs.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) load: Load,
    pub(crate) first: Time,
    pub(crate) attempts: u16,
    pub(crate) sent: IndexMap<RequestId, Sent>,
    pub(crate) runs: Vec<(RequestId, HostId, Time)>,
}

/// One transmission of a request.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) time: Time,
    pub(crate) told: Option<Outcome>,
}

impl Ask {
    pub(crate) fn is_answered(&self) -> bool {
        self.sent.values().any(|sent| sent.told.is_some())
    }

    /// Transmissions that were told "not run".
    pub(crate) fn not_run(&self) -> impl Iterator<Item = (&RequestId, &Sent)> {
        self.sent
            .iter()
            .filter(|(_, sent)| matches!(sent.told, Some(Outcome::NotRun { .. })))
    }
}

/// All callers: their flows and their requests.
#[derive(Debug, Default)]
pub(crate) struct Caller {
    pub(crate) flows: Vec<Connection>,
    pub(crate) asks: IndexMap<RequestKey, Ask>,
    pub(crate) misrouted: u64,
    pub(crate) damaged: u64,
    index: HashMap<FlowId, usize>,
}

impl Caller {
    pub(crate) fn open(&mut self, connection: Connection) -> usize {
        let number = self.flows.len();
        self.index.insert(connection.flow, number);
        self.flows.push(connection);
        number
    }

    /// Number of a flow.
    pub(crate) fn number(&self, flow: &FlowId) -> Option<usize> {
        self.index.get(flow).copied()
    }

    /// Open flows to the service of a load.
    pub(crate) fn usable(&self, load: &Load) -> Vec<usize> {
        let flows = self.flows.iter().enumerate();
        flows
            .filter(|(_, flow)| flow.is_open() && flow.service == load.service)
            .map(|(number, _)| number)
            .collect()
    }

    pub(crate) fn ask(&mut self, now: Time, key: RequestKey, load: Load) {
        let ask = Ask {
            load,
            first: now,
            attempts: 1,
            sent: IndexMap::new(),
            runs: Vec::new(),
        };
        self.asks.insert(key, ask);
    }

    /// Sends a request, or repeats it, on a flow.
    pub(crate) fn send(&mut self, now: Time, key: RequestKey, flow: usize) -> Vec<Packet> {
        let Some(ask) = self.asks.get_mut(&key) else {
            return Vec::new();
        };
        let request = RequestMessage {
            id: key.to_string().into(),
            method: ask.load.method.clone(),
            meta: Meta {
                key,
                once: ask.load.once,
                deadline_ms: Some(ask.load.deadline.as_millis()),
                attempt: Attempt::new(ask.attempts),
                age_ms: (now - ask.first).as_millis(),
                budget: None,
                priority: None,
            },
            body: Payload::from(
                json!({ "takes": ask.load.takes.as_micros() })
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
        ask.sent.insert(
            id,
            Sent {
                time: now,
                told: None,
            },
        );
        packets
    }

    /// Takes a packet and gives the packets to send in answer.
    pub(crate) fn receive(&mut self, now: Time, packet: Packet, length: usize) -> Vec<Packet> {
        let Some(number) = self.number(&packet.flow) else {
            return Vec::new();
        };
        let (packets, message) = self.flows[number].receive(now, packet.body);
        if let Some(bytes) = message {
            self.answer(number, &bytes, length);
        }
        packets
    }

    pub(crate) fn note_run(&mut self, now: Time, id: RequestId, key: RequestKey, host: &HostId) {
        if let Some(ask) = self.asks.get_mut(&key) {
            ask.runs.push((id, host.clone(), now));
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
        let Some(ask) = self.asks.get_mut(&key) else {
            self.damaged += 1;
            return;
        };
        if let Outcome::Answered(payload) = &response.outcome {
            let value: Value = serde_json::from_slice(payload).unwrap_or_default();
            self.misrouted += u64::from(value["service"] != ask.load.service.as_str());
            let is_own = value["key"] == key.to_string();
            let is_whole = value["text"] == answer_text(key, length);
            self.damaged += u64::from(!is_own || !is_whole);
        }
        let flow = self.flows[flow].flow;
        let waiting = ask
            .sent
            .iter_mut()
            .find(|(id, sent)| id.flow == flow && sent.told.is_none());
        match waiting {
            Some((_, sent)) => sent.told = Some(response.outcome),
            None => self.damaged += 1,
        }
    }
}
