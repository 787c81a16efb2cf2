use std::net::{SocketAddrV4, UdpSocket};

use arc_swap::ArcSwap;
use usher_clock::SocketBacklog;
use usher_forwarding::{
    BalancerForwarder, Candidates, FlowKey, ForwardHeader, HostSource, NodeId, PacketHeader,
    RejectReason, RoutingView, Verdict, WakeUp,
};
use usher_hedge::Decision;
use usher_platform::{decode_header, encode_reset};
use usher_types::Time;

use crate::codec::{
    DATAGRAM_BYTES, HINT_BYTES, WAKE_UP_BYTES, read_hint, read_returned, read_wake_up,
    write_forward_header, write_wake_up,
};
use crate::event;
use crate::metrics::{Direction, Metrics};
use crate::socket::{is_given_up, receive_all, send};

/// Forwards packets until the process exits.
pub(crate) fn run(
    node: NodeId,
    forwarder: BalancerForwarder,
    port: u16,
    socket: &UdpSocket,
    view: &ArcSwap<RoutingView>,
    metrics: &Metrics,
) {
    let mut traffic = Traffic {
        forwarder,
        node,
        port,
        socket,
        metrics,
        out: [0; DATAGRAM_BYTES],
    };
    let mut buffer = [0; DATAGRAM_BYTES];
    receive_all(socket, &mut buffer, |bytes, backlog| {
        let view = view.load();
        traffic.on_datagram(usher_clock::now(), bytes, backlog, &view);
    });
}

#[derive(Debug)]
struct Traffic<'a> {
    forwarder: BalancerForwarder,
    node: NodeId,
    port: u16,
    socket: &'a UdpSocket,
    metrics: &'a Metrics,
    out: [u8; DATAGRAM_BYTES],
}

impl Traffic<'_> {
    fn on_datagram(
        &mut self,
        now: Time,
        bytes: &[u8],
        backlog: &SocketBacklog,
        view: &RoutingView,
    ) {
        if bytes.len() == HINT_BYTES {
            match read_hint(bytes) {
                Some(hint) => self.forwarder.on_hint(now, &hint),
                None => event::MALFORMED.log(&[("datagram", &"not a hint")]),
            }
            return;
        }
        if bytes.len() == WAKE_UP_BYTES {
            match read_wake_up(bytes) {
                Some(wake_up) => self.on_wake_up(now, wake_up, view),
                None => event::MALFORMED.log(&[("datagram", &"not a wake-up")]),
            }
            return;
        }
        match decode_header(bytes) {
            Ok(packet_header) => {
                self.metrics.packet(Direction::Inbound, bytes.len());
                if is_given_up(&packet_header, backlog, self.metrics) {
                    return;
                }
                let verdict = self.forwarder.on_packet(now, &packet_header, view);
                self.execute(bytes, &packet_header, verdict, view);
                self.search_further(bytes, &packet_header, verdict, view);
            }
            Err(fault) => match read_returned(bytes) {
                Some((packet, visited)) => self.on_returned(now, packet, &visited, view),
                None => event::MALFORMED.log(&[("fault", &fault)]),
            },
        }
    }

    // The rest is left to a further wake-up, so that packets do not wait for all of it.
    fn on_wake_up(&mut self, now: Time, wake_up: WakeUp, view: &RoutingView) {
        let (resets, next) = self.forwarder.on_wake_up(now, wake_up, view);
        for reset in &resets {
            if let Verdict::Reset {
                flow,
                received,
                reason,
            } = reset
            {
                self.reset(flow, *received, *reason, view);
                self.metrics.flow_reset("wake-up");
            }
        }
        let left = next.map_or(0, |next| next.remaining);
        event::FLOWS_JUDGED.log(&[("reset", &resets.len()), ("left", &left)]);
        if let Some(next) = next {
            let to = SocketAddrV4::new(self.node.address(), self.port);
            send(self.socket, &write_wake_up(next), to);
        }
    }

    fn reset(&self, flow: &FlowKey, received: u32, reason: RejectReason, view: &RoutingView) {
        let to = SocketAddrV4::new(*flow.caller.ip(), self.port);
        send(self.socket, &encode_reset(flow, received), to);
        let event = match reason {
            RejectReason::HostGone => event::FLOW_RESET,
            RejectReason::NoRegion => event::NO_ALLOWED_HOST,
            _ => event::FLOW_REFUSED,
        };
        event.log(&[
            ("flow", flow),
            ("reason", &reason.as_str()),
            ("version", &view.version()),
        ]);
    }

    fn on_returned(&mut self, now: Time, packet: &[u8], visited: &Candidates, view: &RoutingView) {
        match decode_header(packet) {
            Ok(packet_header) => {
                let forwarder = &mut self.forwarder;
                let verdict = forwarder.on_returned(now, &packet_header, visited, view);
                self.execute(packet, &packet_header, verdict, view);
                self.search_further(packet, &packet_header, verdict, view);
            }
            Err(fault) => event::MALFORMED.log(&[("fault", &fault)]),
        }
    }

    // Sends the further copies of a packet that searches for its flow.
    fn search_further(
        &mut self,
        packet: &[u8],
        packet_header: &PacketHeader,
        sent: Verdict,
        view: &RoutingView,
    ) {
        let searched = |verdict: &Verdict| {
            matches!(
                verdict,
                Verdict::Send {
                    how: HostSource::Searched { .. },
                    ..
                }
            )
        };
        let mut sent = Some(sent).filter(searched);
        while sent.is_some() {
            sent = self.forwarder.further(packet_header, view);
            if let Some(verdict) = sent {
                self.execute(packet, packet_header, verdict, view);
            }
        }
    }

    fn execute(
        &mut self,
        packet: &[u8],
        packet_header: &PacketHeader,
        verdict: Verdict,
        view: &RoutingView,
    ) {
        match verdict {
            Verdict::Send {
                to,
                forward_header,
                how,
                extra,
            } => {
                let to = self.send(to, &forward_header, packet);
                self.record_sent(packet_header, to, how, view);
                if let Some((second, header)) = verdict.extra_header() {
                    self.send(second, &header, packet);
                }
                self.record_extra(packet_header, to, &extra);
            }
            Verdict::Reset {
                flow,
                received,
                reason,
            } => {
                self.reset(&flow, received, reason, view);
                if reason == RejectReason::HostGone {
                    self.metrics.flow_reset("packet");
                }
            }
            // Copies of the packet are on their way.
            Verdict::Drop(RejectReason::Searching) => {}
            Verdict::Drop(reason) => {
                let flow = packet_header.inbound();
                event::PACKET_DROPPED.log(&[("flow", &flow), ("reason", &reason.as_str())]);
            }
        }
    }

    fn send(&mut self, to: NodeId, header: &ForwardHeader, packet: &[u8]) -> SocketAddrV4 {
        let length = write_forward_header(&mut self.out, header, packet);
        let to = SocketAddrV4::new(to.address(), self.port);
        send(self.socket, &self.out[..length], to);
        to
    }

    fn record_extra(
        &self,
        packet_header: &PacketHeader,
        first: SocketAddrV4,
        extra: &Decision<NodeId>,
    ) {
        let (flow, copy) = (packet_header.inbound(), packet_header.acknowledged);
        match extra {
            Decision::NotDue => {}
            Decision::Repeat { to, cause } => {
                self.metrics.extra_opening(cause.as_str());
                event::OPENING_REPEATED.log(&[
                    ("flow", &flow),
                    ("first", &first.ip()),
                    ("second", to),
                    ("cause", &cause.as_str()),
                    ("copy", &copy),
                ]);
            }
            Decision::Withheld { cause, shortage } => {
                self.metrics.extra_withheld(shortage.as_str());
                event::OPENING_NOT_REPEATED.log(&[
                    ("flow", &flow),
                    ("first", &first.ip()),
                    ("cause", &cause.as_str()),
                    ("reason", &shortage.as_str()),
                    ("copy", &copy),
                ]);
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
            HostSource::Searched { visited, known } => {
                self.metrics.search_packet();
                event::FLOW_SEARCHED.log(&[
                    ("flow", &flow),
                    ("first", &to.ip()),
                    ("visited", &visited),
                    ("known", &known),
                    ("version", &version),
                ]);
            }
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
