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

const MAX_DATAGRAM: usize = 65_536;
const BUFFER_BYTES: usize = 8 << 20;
const FLOWS_PER_ADDRESS: usize = 50_000;
const FIRST_PORT: u16 = 10_000;
const FIRST_ADDRESS: u32 = 0x0a02_0001;
const MAX_LATENCY_US: u64 = 60_000_000;
const DIGITS: u8 = 3;
// Answers that take longer than this count as lost.
const GRACE: Duration = Duration::from_millis(500);

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

// When each flow's latest packet was sent, in microseconds; 0 when it has been answered.
type Sent = Arc<[AtomicU64]>;

impl ProbeArgs {
    /// Sends all packets, prints counts and latencies as JSON; false if a packet was not answered.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened or used.
    pub fn run(self) -> io::Result<bool> {
        let socket = UdpSocket::bind(self.listen)?;
        SockRef::from(&socket).set_recv_buffer_size(BUFFER_BYTES)?;
        let sent: Sent = (0..self.flows).map(|_| AtomicU64::new(0)).collect();
        let reader = {
            let (socket, sent, first) = (socket.try_clone()?, Arc::clone(&sent), self.first);
            socket.set_read_timeout(Some(GRACE))?;
            thread::spawn(move || collect(&socket, &sent, first))
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

    // The rate holds whether answers come or not.
    fn send(&self, socket: &UdpSocket, sent: &Sent, start: Time) -> io::Result<()> {
        for number in 0..self.packets {
            let due = start + Span::from_secs_f64(number as f64 / self.rate.get());
            let early = due.since(clock::now());
            if early > Span::ZERO {
                thread::sleep(Duration::from_micros(early.as_micros()));
            }
            // In turn, so that a flow has its answer before its next packet.
            let place = number % self.flows;
            let bytes = self.datagram(self.first + place)?;
            sent[place].store(clock::now().as_micros(), Ordering::Release);
            // A refused datagram counts as not answered.
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

// Ends when no answer has come for the time of `GRACE`.
fn collect(socket: &UdpSocket, sent: &Sent, first: usize) -> Histogram<u64> {
    let mut latencies = Histogram::new_with_max(MAX_LATENCY_US, DIGITS)
        .unwrap_or_else(|error| unreachable!("the bounds are valid: {error}"));
    let mut buffer = vec![0; MAX_DATAGRAM];
    while let Ok((length, _)) = socket.recv_from(&mut buffer) {
        let now = clock::now().as_micros();
        let Ok(packet) = decode_packet(&buffer[..length]) else {
            continue;
        };
        let place = (packet.flow.nonce as usize).checked_sub(first);
        let Some(sent) = place.and_then(|place| sent.get(place)) else {
            continue;
        };
        let at = sent.swap(0, Ordering::AcqRel);
        if packet.body == Body::Accept && at > 0 {
            latencies.saturating_record(now.saturating_sub(at));
        }
    }
    latencies
}
