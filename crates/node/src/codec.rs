use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};
use usher_forwarding::{Best, Candidates, FlowKey, Hello, Hint, NodeId, Report, ServiceKey, Trip};
use usher_types::Span;

/// Longest datagram: a packet of 1,231 bytes and the longest trip.
pub(crate) const DATAGRAM_BYTES: usize = 2_048;

/// Length of a hint. A packet of a caller is at least 31 bytes long, so both share a port.
pub(crate) const HINT_BYTES: usize = 21;

const TRIP: u8 = 0xd1;
const HELD: u8 = 0xd2;
const MISSING: u8 = 0xd3;
const LAST: u8 = 1;
// The rank shares a byte with the flag.
const LOWEST_RANK: u8 = 127;
const TRIP_BYTES: usize = 28;
const NO_WAIT: u32 = u32::MAX;

/// A message between nodes that is not on the way of a packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// An agent's report.
    Report(Report),
    /// A balancer's greeting.
    Hello(Hello),
    /// Reports that a balancer relays.
    Digest(Vec<(NodeId, Report)>),
}

/// Writes a trip and its packet; returns the length.
pub(crate) fn write_trip(out: &mut [u8; DATAGRAM_BYTES], trip: &Trip, packet: &[u8]) -> usize {
    let best = trip.best.map_or(NodeId::NONE, |best| best.node);
    let wait = trip.best.map_or(NO_WAIT, |best| millis(best.wait));
    let candidates = trip.candidates.as_slice();
    out[0] = TRIP;
    out[1] = trip.hop;
    out[2] = candidates.len() as u8;
    out[3] = (trip.rank.min(LOWEST_RANK) << 1) | u8::from(trip.last);
    out[4..12].copy_from_slice(&trip.service.bits().to_be_bytes());
    out[12..16].copy_from_slice(&trip.origin.address().octets());
    out[16..20].copy_from_slice(&best.address().octets());
    out[20..24].copy_from_slice(&wait.to_be_bytes());
    out[24..28].copy_from_slice(&millis(trip.budget).to_be_bytes());
    let mut at = TRIP_BYTES;
    for node in candidates {
        out[at..at + 4].copy_from_slice(&node.address().octets());
        at += 4;
    }
    let length = packet.len().min(out.len() - at);
    out[at..at + length].copy_from_slice(&packet[..length]);
    at + length
}

/// Reads a trip; the packet follows it.
pub(crate) fn read_trip(bytes: &mut [u8]) -> Option<(Trip, &mut [u8])> {
    let (head, rest) = bytes.split_at_mut_checked(TRIP_BYTES)?;
    if head[0] != TRIP || usize::from(head[2]) > Candidates::MAX {
        return None;
    }
    let (nodes, packet) = rest.split_at_mut_checked(usize::from(head[2]) * 4)?;
    let mut candidates = Candidates::default();
    for node in nodes.chunks_exact(4) {
        candidates.push(node_at(node, 0)?);
    }
    let wait = number_at(head, 20)?;
    let best = Best {
        node: node_at(head, 16)?,
        wait: Span::from_millis(u64::from(wait)),
    };
    let trip = Trip {
        service: ServiceKey::from_bits(u64::from_be_bytes(*head.get(4..12)?.first_chunk()?)),
        origin: node_at(head, 12)?,
        candidates,
        hop: head[1],
        best: (wait != NO_WAIT).then_some(best),
        budget: Span::from_millis(u64::from(number_at(head, 24)?)),
        rank: head[3] >> 1,
        last: head[3] & LAST != 0,
    };
    Some((trip, packet))
}

/// Writes a hint.
pub(crate) fn write_hint(hint: &Hint) -> [u8; HINT_BYTES] {
    let mut out = [0; HINT_BYTES];
    let (kind, flow, value) = match hint {
        Hint::Held { flow, node } => (HELD, flow, u32::from(node.address())),
        Hint::Missing { flow, received } => (MISSING, flow, *received),
    };
    out[0] = kind;
    out[1..5].copy_from_slice(&flow.caller.ip().octets());
    out[5..7].copy_from_slice(&flow.caller.port().to_be_bytes());
    out[7..11].copy_from_slice(&flow.address.ip().octets());
    out[11..13].copy_from_slice(&flow.address.port().to_be_bytes());
    out[13..17].copy_from_slice(&value.to_be_bytes());
    out
}

/// Reads a hint.
pub(crate) fn read_hint(bytes: &[u8]) -> Option<Hint> {
    if bytes.len() != HINT_BYTES {
        return None;
    }
    let end = |at: usize| {
        let port = u16::from_be_bytes(*bytes.get(at + 4..at + 6)?.first_chunk()?);
        Some(SocketAddrV4::new(
            Ipv4Addr::from(number_at(bytes, at)?),
            port,
        ))
    };
    let flow = FlowKey {
        caller: end(1)?,
        address: end(7)?,
    };
    let value = number_at(bytes, 13)?;
    match bytes[0] {
        HELD => Some(Hint::Held {
            flow,
            node: NodeId::new(Ipv4Addr::from(value)),
        }),
        MISSING => Some(Hint::Missing {
            flow,
            received: value,
        }),
        _ => None,
    }
}

/// Writes a message between nodes.
pub(crate) fn write_message(message: &PeerMessage) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(message)
}

/// Reads a message between nodes.
pub(crate) fn read_message(bytes: &[u8]) -> Option<PeerMessage> {
    postcard::from_bytes(bytes).ok()
}

fn millis(span: Span) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(NO_WAIT - 1)
}

fn number_at(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at + 4)?.first_chunk()?;
    Some(u32::from_be_bytes(*field))
}

fn node_at(bytes: &[u8], at: usize) -> Option<NodeId> {
    number_at(bytes, at).map(|number| NodeId::new(Ipv4Addr::from(number)))
}
