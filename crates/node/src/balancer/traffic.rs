use std::net::{SocketAddrV4, UdpSocket};

use arc_swap::ArcSwap;
use usher_forwarding::{BalancerPath, Found, Head, NodeId, Refused, Verdict, View};
use usher_platform::{head, reset};
use usher_types::Time;

use crate::codec::{DATAGRAM_BYTES, HINT_BYTES, read_hint, write_trip};
use crate::event;
use crate::metrics::{Direction, Metrics};
use crate::socket::{receive_all, send};

/// Forwards packets until the process exits.
pub(crate) fn run(
    node: NodeId,
    port: u16,
    socket: &UdpSocket,
    view: &ArcSwap<View>,
    metrics: &Metrics,
) {
    let mut traffic = Traffic {
        path: BalancerPath::new(node),
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
    path: BalancerPath,
    port: u16,
    socket: &'a UdpSocket,
    metrics: &'a Metrics,
    out: [u8; DATAGRAM_BYTES],
}

impl Traffic<'_> {
    fn on_datagram(&mut self, now: Time, bytes: &[u8], view: &View) {
        if bytes.len() == HINT_BYTES {
            let hint = read_hint(bytes);
            if let Some(verdict) = hint.and_then(|hint| self.path.on_hint(now, &hint, view)) {
                self.execute(bytes, None, verdict, view);
            }
            return;
        }
        match head(bytes) {
            Ok(head) => {
                self.metrics.packet(Direction::Inbound, bytes.len());
                let verdict = self.path.on_packet(now, &head, view);
                self.execute(bytes, Some(&head), verdict, view);
            }
            Err(fault) => event::MALFORMED.log(&[("fault", &fault)]),
        }
    }

    fn execute(&mut self, packet: &[u8], head: Option<&Head>, verdict: Verdict, view: &View) {
        match verdict {
            Verdict::Send { to, trip, how } => {
                let length = write_trip(&mut self.out, &trip, packet);
                let to = SocketAddrV4::new(to.address(), self.port);
                send(self.socket, &self.out[..length], to);
                if let Some(head) = head {
                    self.record_sent(head, to, how, view);
                }
            }
            Verdict::Reset {
                flow,
                received,
                reason,
            } => {
                let to = SocketAddrV4::new(*flow.caller.ip(), self.port);
                send(self.socket, &reset(&flow, received), to);
                let event = match reason {
                    Refused::HostGone => event::FLOW_RESET,
                    _ => event::FLOW_REFUSED,
                };
                event.log(&[
                    ("flow", &flow),
                    ("reason", &reason.as_str()),
                    ("version", &view.version()),
                ]);
            }
            Verdict::Drop(reason) => {
                let flow = head.map_or_else(String::new, |head| head.inbound().to_string());
                event::PACKET_DROPPED.log(&[("flow", &flow), ("reason", &reason.as_str())]);
            }
        }
    }

    fn record_sent(&self, head: &Head, to: SocketAddrV4, how: Found, view: &View) {
        let (flow, version) = (head.inbound(), view.version());
        match how {
            Found::Cached => {}
            Found::Searched => event::FLOW_SEARCHED.log(&[
                ("flow", &flow),
                ("first", &to.ip()),
                ("version", &version),
            ]),
            Found::Placed {
                age,
                working,
                among,
            } => {
                self.metrics.age(age);
                event::FLOW_PLACED.log(&[
                    ("flow", &flow),
                    ("host", &to.ip()),
                    ("copy", &head.acknowledged),
                    ("age", &age),
                    ("working", &working),
                    ("among", &among),
                    ("version", &version),
                ]);
            }
        }
    }
}
