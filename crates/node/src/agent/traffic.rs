use std::net::{SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use usher_forwarding::{AgentPath, FlowKey, Head, Hint, Inbound, NodeId, Outbound, Step, Trip};
use usher_platform::{clear_returned, head, reset, set_token};

use crate::codec::{DATAGRAM_BYTES, read_trip, write_hint, write_trip};
use crate::event;
use crate::metrics::{Direction, Metrics};
use crate::socket::{receive_all, send};

/// State that the traffic threads and the control thread of an agent share.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    pub(crate) path: Arc<Mutex<AgentPath>>,
    /// Opening packets that wait for a slot. Locked after `path`.
    pub(crate) held: Arc<Mutex<IndexMap<FlowKey, Vec<u8>>>>,
    /// Packets from nodes, and to callers and other nodes.
    pub(crate) network_socket: Arc<UdpSocket>,
    /// Packets to and from the backend server.
    pub(crate) backend_socket: Arc<UdpSocket>,
    pub(crate) node: NodeId,
    pub(crate) backend: SocketAddrV4,
    /// Port that callers and nodes use.
    pub(crate) port: u16,
    pub(crate) metrics: Arc<Metrics>,
}

impl Shared {
    pub(crate) fn path(&self) -> MutexGuard<'_, AgentPath> {
        self.path.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles packets of callers until the process exits.
    pub(crate) fn run_inbound(&self) {
        let mut buffer = [0; DATAGRAM_BYTES];
        receive_all(&self.network_socket, &mut buffer, |bytes| {
            let Some((trip, packet)) = read_trip(bytes) else {
                event::MALFORMED.log(&[("datagram", &"not from a node")]);
                return;
            };
            match head(packet) {
                Ok(head) => {
                    self.metrics.packet(Direction::Inbound, packet.len());
                    let decision = self.decide(packet, &head, &trip);
                    self.execute(packet, &head, trip.hop, &decision);
                }
                Err(fault) => event::MALFORMED.log(&[("fault", &fault)]),
            }
        });
    }

    /// Handles packets of the backend server until the process exits.
    pub(crate) fn run_outbound(&self) {
        let mut buffer = [0; DATAGRAM_BYTES];
        receive_all(&self.backend_socket, &mut buffer, |packet| {
            let head = match head(packet) {
                Ok(head) => head,
                Err(fault) => {
                    event::MALFORMED.log(&[("fault", &fault)]);
                    return;
                }
            };
            self.metrics.packet(Direction::Outbound, packet.len());
            let decision = self.path().on_host_packet(usher_clock::now(), &head);
            match decision {
                Outbound::ToCaller { work } => {
                    if let Some(work) = work {
                        self.metrics.work(work);
                    }
                    let caller = SocketAddrV4::new(*head.target.ip(), self.port);
                    send(&self.network_socket, packet, caller);
                }
                Outbound::Inward(decision) => {
                    clear_returned(packet);
                    self.execute(packet, &head, 0, &decision);
                }
            }
            self.release();
        });
    }

    /// Delivers waiting flows that got a slot, and refuses those whose callers give up.
    pub(crate) fn release(&self) {
        let mut ready = Vec::new();
        {
            let mut path = self.path();
            for release in path.release(usher_clock::now()) {
                if let Some(packet) = self.held().swap_remove(&release.flow) {
                    ready.push((packet, release.inbound));
                }
            }
        }
        for (mut packet, inbound) in ready {
            match head(&packet) {
                Ok(head) => self.execute(&mut packet, &head, 0, &inbound),
                Err(fault) => event::MALFORMED.log(&[("fault", &fault)]),
            }
        }
    }

    fn held(&self) -> MutexGuard<'_, IndexMap<FlowKey, Vec<u8>>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Stores a held packet under the lock of `path`, before another thread can release its flow.
    fn decide(&self, packet: &[u8], head: &Head, trip: &Trip) -> Inbound {
        let mut path = self.path();
        let decision = path.on_packet(usher_clock::now(), head, trip);
        if decision.step == Step::Hold {
            self.held().insert(head.inbound(), packet.to_vec());
        }
        decision
    }

    /// Ends a flow whose backend server is known to be gone.
    pub(crate) fn reset(&self, flow: &FlowKey, received: u32) {
        let caller = SocketAddrV4::new(*flow.caller.ip(), self.port);
        send(&self.network_socket, &reset(flow, received), caller);
    }

    fn execute(&self, packet: &mut [u8], head: &Head, hop: u8, decision: &Inbound) {
        let flow = head.inbound();
        match decision.step {
            Step::Deliver { token, opening } => {
                set_token(packet, token);
                send(&self.backend_socket, packet, self.backend);
                if opening {
                    self.metrics.hops(hop);
                    event::FLOW_ACCEPTED.log(&[
                        ("flow", &flow),
                        ("copy", &head.acknowledged),
                        ("hop", &hop),
                    ]);
                }
            }
            Step::Forward { to, trip, reason } => {
                self.forward(packet, to, &trip);
                event::FLOW_FORWARDED.log(&[
                    ("flow", &flow),
                    ("to", &to),
                    ("hop", &trip.hop),
                    ("reason", &reason.as_str()),
                    ("opening", &head.opens()),
                ]);
            }
            Step::Refuse {
                flow,
                received,
                wait,
            } => {
                self.reset(&flow, received);
                let wait = wait.map_or_else(|| "none".to_owned(), |wait| wait.to_string());
                event::FLOW_REFUSED.log(&[("flow", &flow), ("reason", &"hosts"), ("wait", &wait)]);
            }
            Step::Missing {
                flow,
                origin,
                received,
            } => {
                self.send_hint(origin, &Hint::Missing { flow, received });
                event::FLOW_MISSING.log(&[("flow", &flow), ("balancer", &origin)]);
            }
            Step::Hold => event::FLOW_HELD.log(&[("flow", &flow), ("copy", &head.acknowledged)]),
            Step::Drop => event::PACKET_DROPPED.log(&[("flow", &flow), ("reason", &"unknown")]),
        }
        if let Some(origin) = decision.tell {
            let node = self.node;
            self.send_hint(origin, &Hint::Held { flow, node });
        }
    }

    fn forward(&self, packet: &[u8], to: NodeId, trip: &Trip) {
        let mut out = [0; DATAGRAM_BYTES];
        let length = write_trip(&mut out, trip, packet);
        let to = SocketAddrV4::new(to.address(), self.port);
        send(&self.network_socket, &out[..length], to);
    }

    fn send_hint(&self, to: NodeId, hint: &Hint) {
        let to = SocketAddrV4::new(to.address(), self.port);
        send(&self.network_socket, &write_hint(hint), to);
    }
}
