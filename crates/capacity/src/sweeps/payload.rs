use std::io;

use usher_types::{
    AgentMessage, Attempt, AttemptBudget, Body, ClaimReply, Decision, Generation, Hint, Message,
    MessageId, Offer, Outcome, Packet, Payload, Priority, Registration, Relay, RelayMode,
    RequestId, RequestKey, Segment, Span, Version,
};
use usher_wire::{decode_message, decode_packet, encode_message, encode_packet};

use super::service::claim;
use crate::{Point, meter, sample};

const ROUNDS: usize = 20_000;
const MAX_SUSPECTS: usize = 32;

pub(crate) fn measure(bytes: usize, point: &mut Point) -> io::Result<()> {
    let payload = Payload::from(vec![b'x'; bytes]);
    let packet = segment(payload.clone());
    let datagram = encode_packet(&packet).map_err(io::Error::other)?;
    point.set("packet_bytes", datagram.len() as f64);
    point.set(
        "packet_decode_ns",
        meter::time_each(ROUNDS, |_| decode_packet(&datagram)),
    );
    let relay = relay(packet);
    let datagram = encode_message(&relay).map_err(io::Error::other)?;
    point.set(
        "relay_encode_ns",
        meter::time_each(ROUNDS, |_| encode_message(&relay)),
    );
    point.set(
        "relay_decode_ns",
        meter::time_each(ROUNDS, |_| decode_message(&datagram)),
    );
    let messages = [
        ("relay_bytes", relay),
        ("offer_bytes", offer(payload.clone())),
        (
            "verdict_answer_bytes",
            claim_reply(Decision::Finished(Outcome::Answered(payload))),
        ),
        (
            "verdict_grant_bytes",
            claim_reply(Decision::Granted(Span::from_millis(2_900))),
        ),
        (
            "claim_bytes",
            agent_message(AgentMessage::Claim(claim(7, sample::START))),
        ),
        (
            "register_bytes",
            agent_message(AgentMessage::Registration(registration())),
        ),
        (
            "hint_bytes",
            Message::Hint(Hint {
                flow: sample::flow(7, 0),
                holder: sample::agent(1),
            }),
        ),
        (
            "beat_bytes",
            Message::Beat(sample::beat(7, sample::START, 0)),
        ),
        (
            "beat_suspects_bytes",
            Message::Beat(sample::beat(7, sample::START, MAX_SUSPECTS)),
        ),
        (
            "beat_ack_bytes",
            Message::BeatAck(sample::beat_ack(7, sample::START)),
        ),
    ];
    for (name, message) in messages {
        let datagram = encode_message(&message).map_err(io::Error::other)?;
        point.set(name, datagram.len() as f64);
    }
    // No message carries a single member; the figure is the size of its content if one did.
    let change = postcard::to_stdvec(&sample::member_change()).map_err(io::Error::other)?;
    point.set("member_change_bytes", change.len() as f64);
    Ok(())
}

fn segment(bytes: Payload) -> Packet {
    let segment = Segment {
        message: MessageId::new(3),
        index: 0,
        count: 1,
        length: bytes.len() as u32,
        checksum: 0x89ab_cdef,
        bytes,
    };
    sample::packet(sample::flow(7, 0), Body::Segment(segment))
}

fn relay(packet: Packet) -> Message {
    Message::Relay(Relay {
        service: sample::service_name(0),
        generation: Generation::new(1),
        roster: Version::new(40_000_000),
        route: (0..4).map(sample::agent).collect(),
        current: 3,
        hop: 0,
        mode: RelayMode::Owner,
        balancer: sample::agent(9),
        packet,
    })
}

fn offer(body: Payload) -> Message {
    agent_message(AgentMessage::Offer(Offer {
        id: RequestId {
            flow: sample::flow(7, 0),
            message: MessageId::new(3),
        },
        key: RequestKey::new(u128::MAX / 3),
        once: true,
        method: "book".to_owned(),
        left: Span::from_secs(2),
        attempt: Attempt::new(1),
        age: Span::from_millis(4),
        budget: AttemptBudget::new(3),
        priority: Priority::new(200),
        body,
        wait: Span::from_millis(20),
        reply: sample::agent(1),
    }))
}

fn claim_reply(decision: Decision) -> Message {
    agent_message(AgentMessage::ClaimReply(ClaimReply {
        key: RequestKey::new(u128::MAX / 3),
        sent: sample::START,
        decision,
    }))
}

fn registration() -> Registration {
    Registration {
        flow: sample::flow(7, 0),
        holder: sample::agent(1),
        roster: Version::new(40_000_000),
    }
}

fn agent_message(message: AgentMessage) -> Message {
    Message::Agent {
        service: sample::service_name(0),
        generation: Generation::new(1),
        message,
    }
}
