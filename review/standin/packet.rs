//! The packets of clients and hosts, as PROTOCOL.md describes them.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 8;
pub const ACK: u8 = 64;
pub const FIN: u8 = 2;
pub const RST: u8 = 4;
pub const BOUNCED: u8 = 1;
const HEAD: usize = 31;
// Known to clients and hosts only.
const KEY: u32 = 0x5bd1_e995;

/// The two ends of a flow: a client's address and the address of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowId {
    pub client: SocketAddrV4,
    pub route: SocketAddrV4,
}

impl fmt::Display for FlowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.client, self.route)
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub echo: u32,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    /// A packet of a client or a host, with its sum.
    pub fn new(from: SocketAddrV4, to: SocketAddrV4, flags: u8, seq: u32, ack: u32, data: &[u8]) -> Self {
        let mut packet = Self { from, to, echo: 0, flags, seq, ack, sum: 0, data: data.to_vec() };
        packet.sum = packet.expected_sum();
        packet
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Whether the packet is as its sender wrote it.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.expected_sum()
    }

    /// A reset of the system's own.
    pub fn is_system_reset(&self) -> bool {
        self.has(RST) && self.data.is_empty() && self.sum == 0
    }

    fn expected_sum(&self) -> u32 {
        let mut plain = self.clone();
        plain.flags &= !BOUNCED;
        plain.echo = 0;
        plain.sum = 0;
        let hash = |sum: u32, byte: &u8| (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
        plain.encode().iter().fold(KEY, hash).max(1)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD + self.data.len());
        out.extend(self.from.port().to_be_bytes());
        out.extend(self.to.port().to_be_bytes());
        out.extend(self.from.ip().octets());
        out.extend(self.to.ip().octets());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(self.echo.to_be_bytes());
        out.push(self.flags);
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(self.sum.to_be_bytes());
        out.extend(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let word = |at: usize| Some(u32::from_be_bytes(*bytes.get(at..at + 4)?.first_chunk()?));
        let half = |at: usize| Some(u16::from_be_bytes(*bytes.get(at..at + 2)?.first_chunk()?));
        let data = bytes.get(HEAD..)?;
        if usize::from(half(12)?) != data.len() {
            return None;
        }
        Some(Self {
            from: SocketAddrV4::new(Ipv4Addr::from(word(4)?), half(0)?),
            to: SocketAddrV4::new(Ipv4Addr::from(word(8)?), half(2)?),
            echo: word(14)?,
            flags: bytes[18],
            seq: word(19)?,
            ack: word(23)?,
            sum: word(27)?,
            data: data.to_vec(),
        })
    }
}
