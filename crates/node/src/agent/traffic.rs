use std::net::{SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use usher_clock::SuspendWatch;
use usher_forwarding::{
    AgentForwarder, Candidates, FlowKey, ForwardHeader, ForwardReason, Hint, Inbound,
    InboundAction, NodeId, Outbound, PacketHeader, Refusal,
};
use usher_platform::{clear_returned, decode_header, encode_reset, set_token};

use super::held_packets::HeldPackets;
use crate::codec::{
    DATAGRAM_BYTES, read_forward_header, write_forward_header, write_hint, write_returned,
};
use crate::event;
use crate::metrics::{Direction, Metrics};
use crate::socket::{is_given_up, receive_all, send};

/// State that the traffic threads and the control thread of an agent share.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    pub(crate) forwarder: Arc<Mutex<AgentForwarder>>,
    /// Packets that wait for a slot. Locked after `forwarder`, and until released packets are sent.
    pub(crate) held: Arc<Mutex<HeldPackets>>,
    /// Packets from nodes, and to callers and other nodes.
    pub(crate) network_socket: Arc<UdpSocket>,
    /// Locked after `forwarder`.
    pub(crate) suspend_watch: Arc<Mutex<SuspendWatch>>,
    /// Packets to and from the backend server.
    pub(crate) backend_socket: Arc<UdpSocket>,
    pub(crate) node: NodeId,
    pub(crate) backend: SocketAddrV4,
    /// Port that callers and nodes use.
    pub(crate) port: u16,
    pub(crate) metrics: Arc<Metrics>,
}

impl Shared {
    pub(crate) fn forwarder(&self) -> MutexGuard<'_, AgentForwarder> {
        self.forwarder
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles packets of callers until the process exits.
    pub(crate) fn run_inbound(&self) {
        let mut buffer = [0; DATAGRAM_BYTES];
        receive_all(&self.network_socket, &mut buffer, |bytes, backlog| {
            let Some((forward_header, packet)) = read_forward_header(bytes) else {
                event::MALFORMED.log(&[("datagram", &"not from a node")]);
                return;
            };
            match decode_header(packet) {
                Ok(packet_header) => {
                    self.metrics.packet(Direction::Inbound, packet.len());
                    if is_given_up(&packet_header, backlog, &self.metrics) {
                        return;
                    }
                    let (decision, due) = self.decide(packet, &packet_header, &forward_header);
                    self.execute(packet, &packet_header, forward_header.hop, &decision);
                    if due {
                        self.release();
                    }
                }
                Err(fault) => event::MALFORMED.log(&[("fault", &fault)]),
            }
        });
    }

    /// Handles packets of the backend server until the process exits.
    pub(crate) fn run_outbound(&self) {
        let mut buffer = [0; DATAGRAM_BYTES];
        receive_all(&self.backend_socket, &mut buffer, |packet, backlog| {
            let packet_header = match decode_header(packet) {
                Ok(packet_header) => packet_header,
                Err(fault) => {
                    event::MALFORMED.log(&[("fault", &fault)]);
                    return;
                }
            };
            self.metrics.packet(Direction::Outbound, packet.len());
            let decision = self
                .forwarder()
                .on_host_packet(usher_clock::now(), &packet_header);
            if packet_header.flags.resetting {
                let withheld = decision == Outbound::Withheld;
                event::BACKEND_RESET.log(&[
                    ("flow", &packet_header.outbound()),
                    ("sequence", &packet_header.sequence),
                    ("withheld", &withheld),
                ]);
            }
            match decision {
                Outbound::ToCaller { work } => {
                    if let Some(work) = work {
                        self.metrics.work(work);
                    }
                    let caller = SocketAddrV4::new(*packet_header.target.ip(), self.port);
                    send(&self.network_socket, packet, caller);
                }
                Outbound::Withheld => {}
                Outbound::Returned(_) if is_given_up(&packet_header, backlog, &self.metrics) => {}
                Outbound::Returned(decision) => {
                    clear_returned(packet);
                    self.execute(packet, &packet_header, 0, &decision);
                }
            }
            self.release();
        });
    }

    /// Delivers queued packets that get a slot, and those of flows that have waited too long.
    pub(crate) fn release(&self) {
        let mut forwarder = self.forwarder();
        let suspended = {
            let watch = self.suspend_watch.lock();
            watch
                .unwrap_or_else(PoisonError::into_inner)
                .check_suspension()
        };
        if let Some(span) = suspended {
            forwarder.on_suspension(span);
        }
        let releases = forwarder.release(usher_clock::now());
        if releases.is_empty() {
            return;
        }
        // Later packets of the flows wait for this lock before they are sent.
        let mut held = self.held();
        drop(forwarder);
        for release in releases {
            for mut packet in held.take(&release.flow) {
                match decode_header(&packet) {
                    Ok(packet_header) => {
                        self.execute(&mut packet, &packet_header, 0, &release.inbound);
                    }
                    Err(fault) => event::MALFORMED.log(&[("fault", &fault)]),
                }
            }
        }
    }

    fn held(&self) -> MutexGuard<'_, HeldPackets> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Stores a held packet under the lock of `forwarder`, before another thread can release its
    // flow. Also returns whether a release is due at once.
    fn decide(
        &self,
        packet: &[u8],
        packet_header: &PacketHeader,
        forward_header: &ForwardHeader,
    ) -> (Inbound, bool) {
        let mut forwarder = self.forwarder();
        let decision = forwarder.on_packet(usher_clock::now(), packet_header, forward_header);
        let due = forwarder.has_released();
        if decision.action == InboundAction::Hold {
            self.held().push(packet_header.inbound(), packet);
            return (decision, due);
        }
        drop(forwarder);
        // Another thread may still be sending earlier packets of the flow, which were held.
        drop(self.held());
        (decision, due)
    }

    /// Ends a flow whose backend server is known to be gone.
    pub(crate) fn reset(&self, flow: &FlowKey, received: u32) {
        let caller = SocketAddrV4::new(*flow.caller.ip(), self.port);
        send(&self.network_socket, &encode_reset(flow, received), caller);
    }

    fn execute(
        &self,
        packet: &mut [u8],
        packet_header: &PacketHeader,
        hop: u8,
        decision: &Inbound,
    ) {
        let flow = packet_header.inbound();
        match decision.action {
            InboundAction::Deliver { token, opening } => {
                set_token(packet, token);
                send(&self.backend_socket, packet, self.backend);
                if opening {
                    self.metrics.hops(hop);
                    event::FLOW_ACCEPTED.log(&[
                        ("flow", &flow),
                        ("copy", &packet_header.acknowledged),
                        ("hop", &hop),
                    ]);
                }
            }
            InboundAction::DeliverAndForward {
                token,
                to,
                forward_header,
            } => {
                self.forward(packet, to, &forward_header);
                set_token(packet, token);
                send(&self.backend_socket, packet, self.backend);
                event::FLOW_FORWARDED.log(&[
                    ("flow", &flow),
                    ("to", &to),
                    ("hop", &forward_header.hop),
                    ("reason", &"unresponsive"),
                    ("opening", &false),
                ]);
            }
            InboundAction::Forward {
                to,
                forward_header,
                reason,
            } => {
                self.forward(packet, to, &forward_header);
                if reason == ForwardReason::Cold {
                    self.metrics.cold_limited();
                }
                event::FLOW_FORWARDED.log(&[
                    ("flow", &flow),
                    ("to", &to),
                    ("hop", &forward_header.hop),
                    ("reason", &reason.as_str()),
                    ("opening", &packet_header.opens()),
                ]);
            }
            InboundAction::Refuse {
                flow,
                received,
                wait,
                refusal,
            } => {
                self.reset(&flow, received);
                if let Some(refusal) = refusal {
                    self.report_refusal(&flow, &refusal);
                }
                let wait = wait.map_or_else(|| "none".to_owned(), |wait| wait.to_string());
                event::FLOW_REFUSED.log(&[("flow", &flow), ("reason", &"hosts"), ("wait", &wait)]);
            }
            InboundAction::Missing { origin, visited } => {
                self.return_packet(packet, origin, &visited);
                event::FLOW_MISSING.log(&[("flow", &flow), ("balancer", &origin)]);
            }
            InboundAction::Hold => {
                if packet_header.opens() {
                    event::FLOW_HELD.log(&[("flow", &flow), ("copy", &packet_header.acknowledged)]);
                } else {
                    event::REQUEST_HELD.log(&[("flow", &flow), ("data", &packet_header.data)]);
                }
            }
            InboundAction::Drop => {
                event::PACKET_DROPPED.log(&[("flow", &flow), ("reason", &"unknown")]);
            }
            InboundAction::DropExtra => event::EXTRA_DROPPED.log(&[("flow", &flow)]),
        }
        if let Some(origin) = decision.notify {
            let node = self.node;
            self.send_hint(origin, &Hint { flow, node });
        }
    }

    fn report_refusal(&self, flow: &FlowKey, refusal: &Refusal) {
        event::REQUEST_REFUSED.log(&[
            ("flow", flow),
            ("rank", &refusal.rank),
            ("share", &refusal.share),
            ("total", &refusal.total),
        ]);
    }

    fn forward(&self, packet: &[u8], to: NodeId, forward_header: &ForwardHeader) {
        let mut out = [0; DATAGRAM_BYTES];
        let length = write_forward_header(&mut out, forward_header, packet);
        let to = SocketAddrV4::new(to.address(), self.port);
        send(&self.network_socket, &out[..length], to);
    }

    fn return_packet(&self, packet: &[u8], to: NodeId, visited: &Candidates) {
        let mut out = [0; DATAGRAM_BYTES];
        let length = write_returned(&mut out, packet, visited);
        let to = SocketAddrV4::new(to.address(), self.port);
        send(&self.network_socket, &out[..length], to);
    }

    fn send_hint(&self, to: NodeId, hint: &Hint) {
        let to = SocketAddrV4::new(to.address(), self.port);
        send(&self.network_socket, &write_hint(hint), to);
    }
}
