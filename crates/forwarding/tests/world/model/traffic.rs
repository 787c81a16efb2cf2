//! Delivery of each message to the node that it is for.

use usher_forwarding::{
    Flags, FlowKey, Hint, Inbound, InboundAction, NodeId, Outbound, PacketHeader, Verdict,
};

use super::{
    LOSS_ONE_IN, Message, SERVICES, SLOTS, World, first_sequence, host_node, host_of, packet_header,
};

impl World {
    // Delivers messages in the order in which they were sent, until none is left.
    pub(super) fn run(&mut self) {
        let mut remaining = 10_000;
        while let Some(message) = self.queue.pop_front() {
            remaining -= 1;
            if remaining == 0 {
                self.violations
                    .push("packets are forwarded without end".to_owned());
                return;
            }
            if self.lossy && self.next_random().is_multiple_of(LOSS_ONE_IN) {
                continue;
            }
            self.deliver(&message);
        }
    }

    fn deliver(&mut self, message: &Message) {
        match *message {
            Message::ToBalancer(index, packet_header) => {
                let balancer = &mut self.balancers[index];
                let verdict =
                    balancer
                        .forwarder
                        .on_packet(self.now, &packet_header, &balancer.view);
                self.apply_verdict(&verdict, packet_header);
                self.search_further(index, packet_header);
            }
            Message::HintTo(node, hint) => {
                let balancer = &mut self.balancers[host_of(node)];
                balancer.forwarder.on_hint(self.now, &hint);
            }
            Message::ReturnTo(node, packet_header, visited) => {
                let balancer = &mut self.balancers[host_of(node)];
                let view = &balancer.view;
                let verdict =
                    balancer
                        .forwarder
                        .on_returned(self.now, &packet_header, &visited, view);
                self.apply_verdict(&verdict, packet_header);
                self.search_further(host_of(node), packet_header);
            }
            Message::ToAgent(node, packet_header, forward_header) => {
                let agent = &mut self.hosts[host_of(node)].agent;
                let inbound = agent.on_packet(self.now, &packet_header, &forward_header);
                self.on_inbound(node, packet_header, &inbound);
            }
            Message::ToHost(node, packet_header) => self.receive_at_host(node, packet_header),
            Message::FromHost(node, packet_header) => {
                let agent = &mut self.hosts[host_of(node)].agent;
                match agent.on_host_packet(self.now, &packet_header) {
                    Outbound::ToCaller { .. } => {
                        self.queue.push_back(Message::ToCaller(packet_header));
                    }
                    Outbound::Withheld => {}
                    Outbound::Returned(inbound) => {
                        let mut packet_header = packet_header;
                        packet_header.flags.returned = false;
                        packet_header.token = 0;
                        self.on_inbound(node, packet_header, &inbound);
                    }
                }
                self.release(host_of(node));
            }
            Message::ToCaller(packet_header) => {
                self.receive_at_caller(flow_of(&packet_header), &packet_header);
            }
            Message::Reset(flow) => {
                if self.is_held(&flow) {
                    self.violations
                        .push(format!("{flow} was reset while its host holds it"));
                }
            }
        }
    }

    fn apply_verdict(&mut self, verdict: &Verdict, packet_header: PacketHeader) {
        match verdict {
            Verdict::Send {
                to, forward_header, ..
            } => {
                self.queue
                    .push_back(Message::ToAgent(*to, packet_header, *forward_header));
                if let Some((second, header)) = verdict.extra_header() {
                    self.queue
                        .push_back(Message::ToAgent(second, packet_header, header));
                }
            }
            Verdict::Reset { flow, .. } => self.queue.push_back(Message::Reset(*flow)),
            Verdict::Drop(_) => {}
        }
    }

    fn search_further(&mut self, index: usize, packet_header: PacketHeader) {
        loop {
            let balancer = &mut self.balancers[index];
            let view = &balancer.view;
            let further = balancer.forwarder.further(&packet_header, view);
            let Some(verdict) = further else {
                return;
            };
            self.apply_verdict(&verdict, packet_header);
        }
    }

    fn on_inbound(&mut self, node: NodeId, packet_header: PacketHeader, inbound: &Inbound) {
        let flow = packet_header.inbound();
        match inbound.action {
            InboundAction::Deliver { token, .. } => {
                let packet_header = PacketHeader {
                    token,
                    ..packet_header
                };
                self.queue.push_back(Message::ToHost(node, packet_header));
            }
            InboundAction::DeliverAndForward {
                token,
                to,
                forward_header,
            } => {
                let delivered = PacketHeader {
                    token,
                    ..packet_header
                };
                self.queue.push_back(Message::ToHost(node, delivered));
                self.queue
                    .push_back(Message::ToAgent(to, packet_header, forward_header));
            }
            InboundAction::Forward {
                to, forward_header, ..
            } => {
                self.queue
                    .push_back(Message::ToAgent(to, packet_header, forward_header));
            }
            InboundAction::Refuse { flow, .. } => self.queue.push_back(Message::Reset(flow)),
            InboundAction::Missing { origin, visited } => {
                self.queue
                    .push_back(Message::ReturnTo(origin, packet_header, visited));
            }
            InboundAction::Hold | InboundAction::Drop | InboundAction::DropExtra => {}
        }
        if let Some(origin) = inbound.notify {
            let hint = Hint { flow, node };
            self.queue.push_back(Message::HintTo(origin, hint));
        }
    }

    pub(super) fn release(&mut self, host: usize) {
        for release in self.hosts[host].agent.release(self.now) {
            let packet_header = packet_header(&release.flow, true);
            self.on_inbound(host_node(host), packet_header, &release.inbound);
        }
    }

    // The backend server: takes a packet of a flow or returns it.
    fn receive_at_host(&mut self, node: NodeId, packet: PacketHeader) {
        let host = &mut self.hosts[host_of(node)];
        let flow = packet.inbound();
        let service = self.callers[&flow].service;
        // A packet that acknowledges the answer of another host is of a flow that opened there.
        let first = first_sequence(host_of(node), host.processes);
        let held = host.flows.contains(&flow) && (packet.opens() || packet.acknowledged == first);
        if packet.opens() && host.service != service {
            let violation = format!("{flow} reached service {}", SERVICES[host.service]);
            self.violations.push(violation);
        }
        let full = host.flows.len() >= usize::from(SLOTS) * 20;
        if !held && (!packet.opens() || full) {
            let mut returned = packet;
            returned.flags.returned = true;
            self.queue.push_back(Message::FromHost(node, returned));
            return;
        }
        host.flows.insert(flow);
        if !packet.opens() {
            self.reached.insert(flow);
        }
        let answer = PacketHeader {
            source: packet.target,
            target: packet.source,
            flags: Flags {
                opening: packet.opens(),
                acknowledging: true,
                ..Flags::default()
            },
            // Instead of random positions, these fields carry the host and its process.
            sequence: first,
            acknowledged: host.processes as u32,
            data: u16::from(!packet.opens()),
            token: 0,
        };
        self.queue.push_back(Message::FromHost(node, answer));
    }

    // The caller: a flow is open at the host whose answer comes first.
    fn receive_at_caller(&mut self, flow: FlowKey, answer: &PacketHeader) {
        let Some(caller) = self.callers.get_mut(&flow) else {
            return;
        };
        if answer.flags.opening && caller.open.is_none() {
            let process = u64::from(answer.acknowledged);
            caller.open = Some(((answer.sequence >> 26) as usize, process));
        }
    }
}

fn flow_of(answer: &PacketHeader) -> FlowKey {
    answer.outbound()
}
