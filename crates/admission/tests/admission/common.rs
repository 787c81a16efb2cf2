//! Addresses, request ids and outcomes used by all tests.

use std::net::{Ipv4Addr, SocketAddrV4};

use usher_types::{FlowId, MessageId, Outcome, Payload, Refusal, RequestId, Span};

pub const OWN_PORT: u16 = 7_000;

pub fn peer(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

pub fn id(number: u32) -> RequestId {
    let flow = FlowId {
        caller: peer(1),
        service: peer(2),
        nonce: 0,
    };
    let message = MessageId::new(number);
    RequestId { flow, message }
}

pub fn answer() -> Outcome {
    Outcome::Answered(Payload::default())
}

pub fn not_run() -> Outcome {
    Outcome::NotRun {
        refusal: Refusal::Shed,
        retry: Span::ZERO,
    }
}
