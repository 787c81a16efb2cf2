use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use argh::FromArgs;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use socket2::SockRef;
use usher_types::{
    Body, FlowId, Generation, Message, Packet, Rate, Relay, RelayMode, Sequence, ServiceName, Span,
    Time, Version,
};
use usher_wire::{decode_packet, encode_message, encode_packet};

use crate::clock;

const MAX_DATAGRAM_BYTES: usize = 65_536;
const RECEIVE_BUFFER_BYTES: usize = 8 << 20;
const FLOWS_PER_ADDRESS: usize = 50_000;
const FIRST_PORT: u16 = 10_000;
// 10.2.0.1
const FIRST_ADDRESS: u32 = 0x0a02_0001;
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
// The probe stops receiving after this long without an answer; later answers count as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// packets that open flows, or repeat an opening, at a fixed rate; stands for fabric and callers
#[derive(Debug, Clone, FromArgs)]
#[argh(subcommand, name = "probe")]
pub struct ProbeArgs {
    /// UDP address that packets go to: a balancer, or an agent with --direct
    #[argh(option)]
    target: SocketAddrV4,
    /// UDP address that agents send answers to
    #[argh(option)]
    listen: SocketAddrV4,
    /// address of the service
    #[argh(option)]
    address: SocketAddrV4,
    /// the target is the agent of this service's only host
    #[argh(option)]
    direct: Option<ServiceName>,
    /// number of the first flow
    #[argh(option, default = "0")]
    first: usize,
    /// number of flows
    #[argh(option)]
    flows: usize,
    /// packets a second
    #[argh(option)]
    rate: Rate,
    /// packets to send; the first ones open the flows, the others repeat openings in turn
    #[argh(option)]
    packets: usize,
}

// Time of each flow's latest packet in microseconds; 0 before it is sent and once it is answered.
type SendTimes = Arc<[AtomicU64]>;

impl ProbeArgs {
    /// Sends all packets and prints counts and latencies as JSON.
    ///
    /// False if a packet was not answered.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened or used.
    pub fn run(self) -> io::Result<bool> {
        let socket = UdpSocket::bind(self.listen)?;
        SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let sent: SendTimes = (0..self.flows).map(|_| AtomicU64::new(0)).collect();
        let reader = {
            let (socket, sent, first) = (socket.try_clone()?, Arc::clone(&sent), self.first);
            socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
            thread::spawn(move || collect_latencies(&socket, &sent, first))
        };
        let start = clock::now();
        self.send(&socket, &sent, start)?;
        let elapsed = clock::now() - start;
        let latencies = reader
            .join()
            .map_err(|_panic| io::Error::other("the reader failed"))?;
        println!("{}", self.report(&latencies, elapsed));
        Ok(latencies.len() == self.packets as u64)
    }

    // Open loop: the rate does not depend on the answers.
    fn send(&self, socket: &UdpSocket, sent: &SendTimes, start: Time) -> io::Result<()> {
        for number in 0..self.packets {
            let due = start + Span::from_secs_f64(number as f64 / self.rate.get());
            let remaining = due.since(clock::now());
            if remaining > Span::ZERO {
                thread::sleep(Duration::from_micros(remaining.as_micros()));
            }
            // Flows take turns, so that a flow has its answer before its next packet.
            let index = number % self.flows;
            let bytes = self.datagram(self.first + index)?;
            sent[index].store(clock::now().as_micros(), Ordering::Release);
            // A datagram that cannot be sent counts as not answered.
            let _ = socket.send_to(&bytes, self.target);
        }
        Ok(())
    }

    fn datagram(&self, number: usize) -> io::Result<Vec<u8>> {
        let packet = Packet {
            flow: self.flow(number),
            sequence: Sequence::new(1),
            body: Body::Open,
        };
        match &self.direct {
            None => encode_packet(&packet),
            Some(service) => encode_message(&Message::Relay(Relay {
                service: service.clone(),
                // An agent drops relays of an older generation than its own.
                generation: Generation::new(u64::MAX),
                roster: Version::default(),
                route: vec![self.target],
                current: 1,
                hop: 0,
                mode: RelayMode::Owner,
                balancer: self.listen,
                packet,
            })),
        }
        .map_err(io::Error::other)
    }

    fn flow(&self, number: usize) -> FlowId {
        let address = FIRST_ADDRESS + (number / FLOWS_PER_ADDRESS) as u32;
        let port = FIRST_PORT + (number % FLOWS_PER_ADDRESS) as u16;
        FlowId {
            caller: SocketAddrV4::new(Ipv4Addr::from(address), port),
            service: self.address,
            nonce: number as u32,
        }
    }

    fn report(&self, latencies: &Histogram<u64>, elapsed: Span) -> Value {
        json!({
            "sent": self.packets,
            "answered": latencies.len(),
            "per_second": (self.packets as f64 / elapsed.as_secs_f64()).round(),
            "latency_us": {
                "p50": latencies.value_at_quantile(0.5),
                "p99": latencies.value_at_quantile(0.99),
                "p999": latencies.value_at_quantile(0.999),
                "max": latencies.max(),
            },
        })
    }
}

// Receives answers until none has come for `ANSWER_TIMEOUT`.
fn collect_latencies(socket: &UdpSocket, sent: &SendTimes, first: usize) -> Histogram<u64> {
    let mut latencies = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|error| unreachable!("the bounds are valid: {error}"));
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok((length, _)) = socket.recv_from(&mut buffer) {
        let now = clock::now().as_micros();
        let Ok(packet) = decode_packet(&buffer[..length]) else {
            continue;
        };
        let index = (packet.flow.nonce as usize).checked_sub(first);
        let Some(sent) = index.and_then(|index| sent.get(index)) else {
            continue;
        };
        let sent_at = sent.swap(0, Ordering::AcqRel);
        if packet.body == Body::Accept && sent_at > 0 {
            latencies.saturating_record(now.saturating_sub(sent_at));
        }
    }
    latencies
}
