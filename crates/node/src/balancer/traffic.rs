use std::net::{SocketAddrV4, UdpSocket};

use arc_swap::ArcSwap;
use usher_forwarding::{
    BalancerForwarder, HostSource, NodeId, PacketHeader, RejectReason, RoutingView, Verdict,
};
use usher_platform::{decode_header, encode_reset};
use usher_types::Time;

use crate::codec::{DATAGRAM_BYTES, HINT_BYTES, read_hint, write_forward_header};
use crate::event;
use crate::metrics::{Direction, Metrics};
use crate::socket::{receive_all, send};

/// Forwards packets until the process exits.
pub(crate) fn run(
    node: NodeId,
    port: u16,
    socket: &UdpSocket,
    view: &ArcSwap<RoutingView>,
    metrics: &Metrics,
) {
    let mut traffic = Traffic {
        forwarder: BalancerForwarder::new(node),
        port,
        socket,
        metrics,
        out: [0; DATAGRAM_BYTES],
    };
    let mut buffer = [0; DATAGRAM_BYTES];
    receive_all(socket, &mut buffer, |bytes| {
        let view = view.load();
        traffic.on_datagram(usher_clock::now(), bytes, &view);
    });
}

#[derive(Debug)]
struct Traffic<'a> {
    forwarder: BalancerForwarder,
    port: u16,
    socket: &'a UdpSocket,
    metrics: &'a Metrics,
    out: [u8; DATAGRAM_BYTES],
}

impl Traffic<'_> {
    fn on_datagram(&mut self, now: Time, bytes: &[u8], view: &RoutingView) {
        if bytes.len() == HINT_BYTES {
            let hint = read_hint(bytes);
            if let Some(verdict) = hint.and_then(|hint| self.forwarder.on_hint(now, &hint, view)) {
                self.execute(bytes, None, verdict, view);
            }
            return;
        }
        match decode_header(bytes) {
            Ok(packet_header) => {
                self.metrics.packet(Direction::Inbound, bytes.len());
                let verdict = self.forwarder.on_packet(now, &packet_header, view);
                self.execute(bytes, Some(&packet_header), verdict, view);
            }
            Err(fault) => event::MALFORMED.log(&[("fault", &fault)]),
        }
    }

    fn execute(
        &mut self,
        packet: &[u8],
        packet_header: Option<&PacketHeader>,
        verdict: Verdict,
        view: &RoutingView,
    ) {
        match verdict {
            Verdict::Send {
                to,
                forward_header,
                how,
            } => {
                let length = write_forward_header(&mut self.out, &forward_header, packet);
                let to = SocketAddrV4::new(to.address(), self.port);
                send(self.socket, &self.out[..length], to);
                if let Some(packet_header) = packet_header {
                    self.record_sent(packet_header, to, how, view);
                }
            }
            Verdict::Reset {
                flow,
                received,
                reason,
            } => {
                let to = SocketAddrV4::new(*flow.caller.ip(), self.port);
                send(self.socket, &encode_reset(&flow, received), to);
                let event = match reason {
                    RejectReason::HostGone => event::FLOW_RESET,
                    _ => event::FLOW_REFUSED,
                };
                event.log(&[
                    ("flow", &flow),
                    ("reason", &reason.as_str()),
                    ("version", &view.version()),
                ]);
            }
            Verdict::Drop(reason) => {
                let flow = packet_header.map_or_else(String::new, |packet_header| {
                    packet_header.inbound().to_string()
                });
                event::PACKET_DROPPED.log(&[("flow", &flow), ("reason", &reason.as_str())]);
            }
        }
    }

    fn record_sent(
        &self,
        packet_header: &PacketHeader,
        to: SocketAddrV4,
        how: HostSource,
        view: &RoutingView,
    ) {
        let (flow, version) = (packet_header.inbound(), view.version());
        match how {
            HostSource::Cached => {}
            HostSource::Searched { round, known } => event::FLOW_SEARCHED.log(&[
                ("flow", &flow),
                ("first", &to.ip()),
                ("round", &round),
                ("known", &known),
                ("version", &version),
            ]),
            HostSource::Placed {
                age,
                working,
                among,
            } => {
                self.metrics.age(age);
                event::FLOW_PLACED.log(&[
                    ("flow", &flow),
                    ("host", &to.ip()),
                    ("copy", &packet_header.acknowledged),
                    ("age", &age),
                    ("working", &working),
                    ("among", &among),
                    ("version", &version),
                ]);
            }
        }
    }
}
