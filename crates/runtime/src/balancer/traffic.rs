use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use arc_swap::ArcSwap;
use async_std::channel::Sender;
use usher_routing::{DropReason, Forward, HintTable, Router};
use usher_types::{FlowId, Hint, Message};
use usher_wire::{decode_message, decode_packet};

use crate::control::ControlEvent;
use crate::metrics::Metrics;
use crate::socket::{self, MAX_DATAGRAM_BYTES};
use crate::{BalancerSettings, RuntimeError, event, metric};

// Enough that two traffic threads seldom contend for the lock of one shard of the hints.
const SHARDS: usize = 16;
// Counters go to the metrics client once per this many packets, not for each packet.
const FLUSH_PACKETS: u64 = 256;

/// State that the traffic threads of a balancer share.
#[derive(Debug, Clone)]
pub(crate) struct Traffic {
    router: Arc<ArcSwap<Router>>,
    hints: Arc<[Mutex<HintTable>]>,
    hint_address: SocketAddrV4,
    metrics: Metrics,
}

impl Traffic {
    pub(crate) fn new(
        settings: &BalancerSettings,
        router: Arc<ArcSwap<Router>>,
        metrics: Metrics,
    ) -> Self {
        let capacity = settings.hints.div_ceil(SHARDS);
        let hints = (0..SHARDS)
            .map(|_| Mutex::new(HintTable::new(capacity)))
            .collect();
        Self {
            router,
            hints,
            hint_address: settings.control,
            metrics,
        }
    }

    /// Starts the packet threads and the thread that reads heartbeats and hints.
    pub(crate) fn start(
        &self,
        packets: &UdpSocket,
        control: &UdpSocket,
        events: &Sender<ControlEvent>,
        threads: usize,
    ) -> Result<(), RuntimeError> {
        for number in 0..threads {
            let (traffic, socket) = (self.clone(), clone(packets)?);
            spawn(format!("packets-{number}"), move || {
                traffic.forward_packets(&socket);
            })?;
        }
        let (traffic, socket, events) = (self.clone(), clone(control)?, events.clone());
        spawn("heartbeats".to_owned(), move || {
            traffic.read_control(&socket, &events);
        })
    }

    // All threads block on one socket; the kernel wakes one for each datagram.
    fn forward_packets(&self, socket: &UdpSocket) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut counts = Counts::default();
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            match self.forward(socket, &buffer[..length]) {
                Ok(()) => counts.forwarded += 1,
                Err(reason) => counts.add_dropped(&reason),
            }
            if counts.total() >= FLUSH_PACKETS {
                counts.flush(&self.metrics);
            }
        }
    }

    fn forward(&self, socket: &UdpSocket, bytes: &[u8]) -> Result<(), Dropped> {
        let packet = decode_packet(bytes).map_err(|_fault| Dropped::Malformed)?;
        let router = self.router.load();
        let mut hints = self
            .shard(&packet.flow)
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let forward = router.forward(packet, &mut hints, self.hint_address);
        drop(hints);
        match forward {
            Forward::Send { to, relay } => {
                socket::send(socket, to, &Message::Relay(relay));
                Ok(())
            }
            Forward::Drop(reason) => Err(Dropped::NotRouted(reason)),
        }
    }

    fn read_control(&self, socket: &UdpSocket, events: &Sender<ControlEvent>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, source)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let SocketAddr::V4(source) = source else {
                continue;
            };
            let event = match decode_message(&buffer[..length]) {
                Ok(Message::Hint(hint)) => {
                    self.learn(&hint);
                    continue;
                }
                Ok(Message::Beat(beat)) => ControlEvent::Beat { source, beat },
                Ok(Message::BeatAck(ack)) => ControlEvent::BeatAck(ack),
                Ok(Message::Relay(_) | Message::Agent { .. }) => continue,
                Err(fault) => {
                    event::MALFORMED.log(&[("source", &source), ("fault", &fault)]);
                    self.metrics.count(&metric::MALFORMED, 1);
                    continue;
                }
            };
            if events.send_blocking(event).is_err() {
                return;
            }
        }
    }

    fn learn(&self, hint: &Hint) {
        let mut hints = self
            .shard(&hint.flow)
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        hints.insert(hint.flow, hint.holder);
    }

    fn shard(&self, flow: &FlowId) -> &Mutex<HintTable> {
        &self.hints[usize::from(flow.caller.port()) % SHARDS]
    }
}

enum Dropped {
    Malformed,
    NotRouted(DropReason),
}

#[derive(Debug, Default)]
struct Counts {
    forwarded: u64,
    malformed: u64,
    unknown_service: u64,
    no_members: u64,
    wrong_direction: u64,
}

impl Counts {
    fn add_dropped(&mut self, reason: &Dropped) {
        match reason {
            Dropped::Malformed => self.malformed += 1,
            Dropped::NotRouted(DropReason::UnknownService) => self.unknown_service += 1,
            Dropped::NotRouted(DropReason::NoMembers) => self.no_members += 1,
            Dropped::NotRouted(DropReason::WrongDirection) => self.wrong_direction += 1,
        }
    }

    fn total(&self) -> u64 {
        self.forwarded
            + self.malformed
            + self.unknown_service
            + self.no_members
            + self.wrong_direction
    }

    fn flush(&mut self, metrics: &Metrics) {
        let counts = std::mem::take(self);
        metrics.count(&metric::FORWARDED, counts.forwarded);
        metrics.count(&metric::MALFORMED, counts.malformed);
        metrics.count(&metric::UNKNOWN_SERVICE, counts.unknown_service);
        metrics.count(&metric::NO_MEMBERS, counts.no_members);
        metrics.count(&metric::WRONG_DIRECTION, counts.wrong_direction);
    }
}

fn clone(socket: &UdpSocket) -> Result<UdpSocket, RuntimeError> {
    socket.try_clone().map_err(RuntimeError::Thread)
}

fn spawn(name: String, body: impl FnOnce() + Send + 'static) -> Result<(), RuntimeError> {
    let thread = thread::Builder::new().name(name).spawn(body);
    thread.map(|_| ()).map_err(RuntimeError::Thread)
}
