//! Packets as the platform's clients and servers exchange them.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEADER: usize = 31;
pub const MAX_DATA: usize = 1_200;

pub const RETURNED: u8 = 1;
pub const FIN: u8 = 2;
pub const RST: u8 = 4;
pub const SYN: u8 = 8;
pub const ACK: u8 = 64;

/// Client end and route of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    pub client: SocketAddrV4,
    pub route: SocketAddrV4,
}

impl std::fmt::Display for Flow {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}>{}", self.client, self.route)
    }
}

#[derive(Debug, Clone)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub echo: u32,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Whether a client opens a flow with this packet.
    pub fn opens(&self) -> bool {
        self.has(SYN) && !self.has(ACK)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEADER + self.data.len());
        out.extend(self.from.port().to_be_bytes());
        out.extend(self.to.port().to_be_bytes());
        out.extend(self.from.ip().octets());
        out.extend(self.to.ip().octets());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(self.echo.to_be_bytes());
        out.push(self.flags);
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(self.sum().to_be_bytes());
        out.extend(&self.data);
        out
    }

    /// Decodes a packet; also returns whether its sum is that of its sender.
    pub fn decode(bytes: &[u8]) -> Option<(Self, bool)> {
        if bytes.len() < HEADER {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let end = |ip: usize, port: usize| {
            SocketAddrV4::new(Ipv4Addr::from(u32_at(ip)), u16_at(port))
        };
        if usize::from(u16_at(12)) != bytes.len() - HEADER {
            return None;
        }
        let packet = Self {
            from: end(4, 0),
            to: end(8, 2),
            echo: u32_at(14),
            flags: bytes[18],
            seq: u32_at(19),
            ack: u32_at(23),
            data: bytes[HEADER..].to_vec(),
        };
        let intact = packet.sum() == u32_at(27);
        Some((packet, intact))
    }

    // A sum over all fields except `echo` and the returned flag.
    fn sum(&self) -> u32 {
        let mut sum: u32 = 0x811c_9dc5;
        let mut add = |byte: u8| sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        for end in [self.from, self.to] {
            end.ip().octets().into_iter().for_each(&mut add);
            end.port().to_be_bytes().into_iter().for_each(&mut add);
        }
        add(self.flags & !RETURNED);
        self.seq.to_be_bytes().into_iter().for_each(&mut add);
        self.ack.to_be_bytes().into_iter().for_each(&mut add);
        self.data.iter().copied().for_each(&mut add);
        sum
    }
}
