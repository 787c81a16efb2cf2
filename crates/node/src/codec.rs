use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};
use usher_forwarding::{
    Candidates, FlowKey, ForwardHeader, Hello, Hint, NodeId, Report, ServiceKey, ShortestQueue,
    WakeUp,
};
use usher_types::{ColdRate, Span};

/// Buffer size for the longest datagram: a packet of 1,231 bytes and the longest forward header.
pub(crate) const DATAGRAM_BYTES: usize = 2_048;

/// Buffer size for the longest message between control threads: a hello message that lists 64 balancers,
/// 256 agents and 64 evacuated data centres.
pub(crate) const MESSAGE_BYTES: usize = 8_192;

/// Length of a hint. Packets of callers on the same port have at least 31 bytes.
pub(crate) const HINT_BYTES: usize = 21;

/// Length of a wake-up.
pub(crate) const WAKE_UP_BYTES: usize = 3;

const FORWARD_HEADER_KIND: u8 = 0xd1;
const HELD_KIND: u8 = 0xd2;
const RETURNED_KIND: u8 = 0xd4;
const WAKE_UP_KIND: u8 = 0xd5;
// Number of agents and kind, after the agents.
const RETURNED_BYTES: usize = 2;
const FINAL_FLAG: u8 = 1;
// The rank has seven bits of a byte; the eighth is `FINAL_FLAG`.
const LOWEST_RANK: u8 = 127;
// Set in the number of agents, which is 16 at most.
const EXTRA_FLAG: u8 = 0x80;
const FORWARD_HEADER_BYTES: usize = 30;
const NO_QUEUE: u32 = u32::MAX;

/// A message between the control threads of nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// An agent's report.
    Report(Report),
    /// A balancer's hello message.
    Hello(Hello),
    /// Reports that a balancer relays.
    Digest(Vec<(NodeId, Report)>),
}

/// Encodes a forward header and then its packet; returns the length.
pub(crate) fn write_forward_header(
    out: &mut [u8; DATAGRAM_BYTES],
    header: &ForwardHeader,
    packet: &[u8],
) -> usize {
    let shortest = header
        .shortest
        .map_or(NodeId::NONE, |shortest| shortest.node);
    let wait = header
        .shortest
        .map_or(NO_QUEUE, |shortest| millis(shortest.wait));
    let candidates = header.candidates.as_slice();
    out[0] = FORWARD_HEADER_KIND;
    out[1] = header.hop;
    out[2] = candidates.len() as u8 | if header.is_extra { EXTRA_FLAG } else { 0 };
    out[3] = (header.rank.min(LOWEST_RANK) << 1) | u8::from(header.is_final);
    out[4..12].copy_from_slice(&header.service.bits().to_be_bytes());
    out[12..16].copy_from_slice(&header.origin.address().octets());
    out[16..20].copy_from_slice(&shortest.address().octets());
    out[20..24].copy_from_slice(&wait.to_be_bytes());
    out[24..28].copy_from_slice(&millis(header.budget).to_be_bytes());
    out[28..30].copy_from_slice(&header.cold_rate.get().to_be_bytes());
    let mut offset = FORWARD_HEADER_BYTES;
    for node in candidates {
        out[offset..offset + 4].copy_from_slice(&node.address().octets());
        offset += 4;
    }
    let length = packet.len().min(out.len() - offset);
    out[offset..offset + length].copy_from_slice(&packet[..length]);
    offset + length
}

/// Decodes a forward header; returns it with the packet that follows.
pub(crate) fn read_forward_header(bytes: &mut [u8]) -> Option<(ForwardHeader, &mut [u8])> {
    let (fixed, rest) = bytes.split_at_mut_checked(FORWARD_HEADER_BYTES)?;
    let count = usize::from(fixed[2] & !EXTRA_FLAG);
    if fixed[0] != FORWARD_HEADER_KIND || count > Candidates::MAX {
        return None;
    }
    let (nodes, packet) = rest.split_at_mut_checked(count * 4)?;
    let mut candidates = Candidates::default();
    for node in nodes.chunks_exact(4) {
        candidates.push(node_at(node, 0)?);
    }
    let wait = number_at(fixed, 20)?;
    let shortest = ShortestQueue {
        node: node_at(fixed, 16)?,
        wait: Span::from_millis(u64::from(wait)),
    };
    let header = ForwardHeader {
        service: ServiceKey::from_bits(u64::from_be_bytes(*fixed.get(4..12)?.first_chunk()?)),
        origin: node_at(fixed, 12)?,
        candidates,
        hop: fixed[1],
        shortest: (wait != NO_QUEUE).then_some(shortest),
        budget: Span::from_millis(u64::from(number_at(fixed, 24)?)),
        rank: fixed[3] >> 1,
        cold_rate: ColdRate::new(u16::from_be_bytes(*fixed.get(28..30)?.first_chunk()?)),
        is_final: fixed[3] & FINAL_FLAG != 0,
        is_extra: fixed[2] & EXTRA_FLAG != 0,
    };
    Some((header, packet))
}

/// Encodes a hint.
pub(crate) fn write_hint(hint: &Hint) -> [u8; HINT_BYTES] {
    let mut out = [0; HINT_BYTES];
    let Hint { flow, node } = hint;
    out[0] = HELD_KIND;
    out[1..5].copy_from_slice(&flow.caller.ip().octets());
    out[5..7].copy_from_slice(&flow.caller.port().to_be_bytes());
    out[7..11].copy_from_slice(&flow.address.ip().octets());
    out[11..13].copy_from_slice(&flow.address.port().to_be_bytes());
    out[13..17].copy_from_slice(&node.address().octets());
    out
}

/// Decodes a hint.
pub(crate) fn read_hint(bytes: &[u8]) -> Option<Hint> {
    if bytes.len() != HINT_BYTES || bytes[0] != HELD_KIND {
        return None;
    }
    let endpoint = |offset: usize| {
        let port = u16::from_be_bytes(*bytes.get(offset + 4..offset + 6)?.first_chunk()?);
        Some(SocketAddrV4::new(
            Ipv4Addr::from(number_at(bytes, offset)?),
            port,
        ))
    };
    let flow = FlowKey {
        caller: endpoint(1)?,
        address: endpoint(7)?,
    };
    let node = node_at(bytes, 13)?;
    Some(Hint { flow, node })
}

/// Encodes a wake-up.
pub(crate) fn write_wake_up(wake_up: WakeUp) -> [u8; WAKE_UP_BYTES] {
    let [high, low] = wake_up.remaining.to_be_bytes();
    [WAKE_UP_KIND, high, low]
}

/// Decodes a wake-up.
pub(crate) fn read_wake_up(bytes: &[u8]) -> Option<WakeUp> {
    let [WAKE_UP_KIND, high, low] = bytes else {
        return None;
    };
    let remaining = u16::from_be_bytes([*high, *low]);
    Some(WakeUp { remaining })
}

/// Encodes a packet that agents return to a balancer, with these agents; returns the length.
///
/// The agents follow the packet, whose own length field then differs from the datagram's length.
/// This tells it from a packet of a caller.
pub(crate) fn write_returned(
    out: &mut [u8; DATAGRAM_BYTES],
    packet: &[u8],
    visited: &Candidates,
) -> usize {
    let nodes = visited.as_slice();
    let trailer = nodes.len() * 4 + RETURNED_BYTES;
    let mut offset = packet.len().min(out.len() - trailer);
    out[..offset].copy_from_slice(&packet[..offset]);
    for node in nodes {
        out[offset..offset + 4].copy_from_slice(&node.address().octets());
        offset += 4;
    }
    out[offset] = nodes.len() as u8;
    out[offset + 1] = RETURNED_KIND;
    offset + RETURNED_BYTES
}

/// Decodes a returned packet and the agents that it visited.
pub(crate) fn read_returned(bytes: &[u8]) -> Option<(&[u8], Candidates)> {
    let (rest, [count, RETURNED_KIND]) = bytes.split_last_chunk()? else {
        return None;
    };
    let count = usize::from(*count);
    if count > Candidates::MAX {
        return None;
    }
    let (packet, nodes) = rest.split_at_checked(rest.len().checked_sub(count * 4)?)?;
    let mut visited = Candidates::default();
    for node in nodes.chunks_exact(4) {
        visited.push(node_at(node, 0)?);
    }
    Some((packet, visited))
}

/// Encodes a message between nodes.
pub(crate) fn write_message(message: &PeerMessage) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(message)
}

/// Decodes a message between nodes.
pub(crate) fn read_message(bytes: &[u8]) -> Option<PeerMessage> {
    postcard::from_bytes(bytes).ok()
}

fn millis(span: Span) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(NO_QUEUE - 1)
}

fn number_at(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?.first_chunk()?;
    Some(u32::from_be_bytes(*field))
}

fn node_at(bytes: &[u8], offset: usize) -> Option<NodeId> {
    number_at(bytes, offset).map(|number| NodeId::new(Ipv4Addr::from(number)))
}
