//! Delivery of each message to the node that it is for.

use usher_forwarding::{Flags, FlowKey, Head, Hint, Inbound, NodeId, Outbound, Step, Verdict};

use super::{LOSS_ONE_IN, Message, SERVICES, SLOTS, World, head, host_node, host_of};

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
            Message::ToBalancer(index, head) => {
                let balancer = &mut self.balancers[index];
                let verdict = balancer.path.on_packet(self.now, &head, &balancer.view);
                self.carry_out(&verdict, Some(head));
            }
            Message::HintTo(node, hint) => {
                let balancer = &mut self.balancers[host_of(node)];
                let verdict = balancer.path.on_hint(self.now, &hint, &balancer.view);
                if let Some(verdict) = verdict {
                    self.carry_out(&verdict, None);
                }
            }
            Message::ToAgent(node, head, trip) => {
                let agent = &mut self.hosts[host_of(node)].agent;
                let inbound = agent.on_packet(self.now, &head, &trip);
                self.on_inbound(node, head, &inbound);
            }
            Message::ToHost(node, head) => self.receive_at_host(node, head),
            Message::FromHost(node, head) => {
                let agent = &mut self.hosts[host_of(node)].agent;
                match agent.on_host_packet(self.now, &head) {
                    Outbound::ToCaller { .. } => self.queue.push_back(Message::ToCaller(head)),
                    Outbound::Inward(inbound) => {
                        let mut head = head;
                        head.flags.returned = false;
                        head.token = 0;
                        self.on_inbound(node, head, &inbound);
                    }
                }
                self.release(host_of(node));
            }
            Message::ToCaller(head) => self.receive_at_caller(flow_of(&head), &head),
            Message::Reset(flow) => {
                if self.is_held(&flow) {
                    self.violations
                        .push(format!("{flow} was reset while its host holds it"));
                }
            }
        }
    }

    fn carry_out(&mut self, verdict: &Verdict, head: Option<Head>) {
        match (verdict, head) {
            (Verdict::Send { to, trip, .. }, Some(head)) => {
                self.queue.push_back(Message::ToAgent(*to, head, *trip));
            }
            (Verdict::Reset { flow, .. }, _) => self.queue.push_back(Message::Reset(*flow)),
            _ => {}
        }
    }

    fn on_inbound(&mut self, node: NodeId, head: Head, inbound: &Inbound) {
        let flow = head.inbound();
        match inbound.step {
            Step::Deliver { token, .. } => {
                let head = Head { token, ..head };
                self.queue.push_back(Message::ToHost(node, head));
            }
            Step::Forward { to, trip, .. } => {
                self.queue.push_back(Message::ToAgent(to, head, trip));
            }
            Step::Refuse { flow, .. } => self.queue.push_back(Message::Reset(flow)),
            Step::Missing {
                flow,
                origin,
                received,
            } => {
                let hint = Hint::Missing { flow, received };
                self.queue.push_back(Message::HintTo(origin, hint));
            }
            Step::Hold | Step::Drop => {}
        }
        if let Some(origin) = inbound.tell {
            let hint = Hint::Held { flow, node };
            self.queue.push_back(Message::HintTo(origin, hint));
        }
    }

    pub(super) fn release(&mut self, host: usize) {
        for release in self.hosts[host].agent.release(self.now) {
            let head = head(&release.flow, true);
            self.on_inbound(host_node(host), head, &release.inbound);
        }
    }

    // The backend server: takes a packet of a flow or returns it.
    fn receive_at_host(&mut self, node: NodeId, packet: Head) {
        let host = &mut self.hosts[host_of(node)];
        let flow = packet.inbound();
        let service = self.callers[&flow].service;
        let held = host.flows.contains(&flow);
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
        let answer = Head {
            source: packet.target,
            target: packet.source,
            flags: Flags {
                opening: packet.opens(),
                acknowledging: true,
                ..Flags::default()
            },
            // Instead of random positions, these fields carry the host and its process.
            sequence: host_of(node) as u32,
            acknowledged: host.processes as u32,
            data: u16::from(!packet.opens()),
            token: 0,
        };
        self.queue.push_back(Message::FromHost(node, answer));
    }

    // The caller: a flow is open at the host whose answer comes first.
    fn receive_at_caller(&mut self, flow: FlowKey, answer: &Head) {
        let Some(caller) = self.callers.get_mut(&flow) else {
            return;
        };
        if answer.flags.opening && caller.open.is_none() {
            let process = u64::from(answer.acknowledged);
            caller.open = Some((answer.sequence as usize, process));
        }
    }
}

fn flow_of(answer: &Head) -> FlowKey {
    answer.outbound()
}
