use usher_forwarding::{
    Flags, FlowKey, Hint, Inbound, InboundAction, NodeId, Outbound, PacketHeader, Verdict,
};
use usher_hedge::Decision;
use usher_types::Span;

use crate::model::{Event, World, balancer_of, caller_of, flow, host_node, index_of};

// A caller repeats a data packet after 200 ms, doubling up to 1.6 s.
const RESEND: [u64; 5] = [200, 400, 800, 1_600, 1_600];
const LOCAL: Span = Span::from_micros(50);

fn caller_packet(caller: u32, opening: bool) -> PacketHeader {
    let FlowKey { caller, address } = flow(caller);
    PacketHeader {
        source: caller,
        target: address,
        flags: Flags {
            opening,
            acknowledging: !opening,
            ..Flags::default()
        },
        sequence: 1,
        acknowledged: 0,
        data: u16::from(!opening) * 100,
        token: 0,
    }
}

impl World {
    pub fn handle(&mut self, event: Event) {
        match event {
            Event::Open(caller) => self.open(caller),
            Event::SendOpening(caller, copy) => {
                if self.callers[caller as usize].open.is_none() {
                    let packet = PacketHeader {
                        acknowledged: copy,
                        ..caller_packet(caller, true)
                    };
                    self.send(2, Event::ToBalancer(balancer_of(caller), packet));
                }
            }
            Event::SendData(caller, attempt) => self.send_data(caller, attempt),
            Event::ToBalancer(index, packet) => {
                let balancer = &mut self.balancers[index];
                let verdict = balancer
                    .forwarder
                    .on_packet(self.now, &packet, &balancer.view);
                self.apply(&verdict, packet);
            }
            Event::Returned(index, packet, visited) => {
                let balancer = &mut self.balancers[index];
                let view = &balancer.view;
                let verdict = balancer
                    .forwarder
                    .on_returned(self.now, &packet, &visited, view);
                self.apply(&verdict, packet);
            }
            Event::Hint(index, hint) => self.balancers[index].forwarder.on_hint(self.now, &hint),
            Event::ToAgent(node, packet, header) => {
                let host = &mut self.hosts[index_of(node)];
                if host.alive {
                    let inbound = host.agent.on_packet(self.now, &packet, &header);
                    if header.is_extra
                        && !matches!(
                            inbound.action,
                            InboundAction::Deliver { .. } | InboundAction::DropExtra
                        )
                    {
                        self.outcome.third += 1;
                    }
                    self.apply_inbound(node, packet, &inbound);
                }
            }
            Event::FromHost(host, process, packet) => self.on_host_packet(host, process, packet),
            Event::ToCaller(packet) => self.receive(&packet),
            Event::Reset(flow) => self.reset(&flow),
            Event::Beat(host) => self.beat(host),
            Event::Report(host) => self.report(host),
            Event::ReportTo(balancer, host, report) => self.on_report(balancer, host, &report),
            Event::Die => self.die(),
            Event::Revive(host) => self.revive(host),
        }
    }

    fn send_data(&mut self, caller: u32, attempt: u32) {
        let state = self.callers[caller as usize];
        let (Some(answer), false) = (state.open, state.done) else {
            return;
        };
        let packet = PacketHeader {
            acknowledged: answer,
            ..caller_packet(caller, false)
        };
        self.send(2, Event::ToBalancer(balancer_of(caller), packet));
        if let Some(millis) = RESEND.get(attempt as usize) {
            self.after(
                Span::from_millis(*millis),
                Event::SendData(caller, attempt + 1),
            );
        }
    }

    fn apply(&mut self, verdict: &Verdict, packet: PacketHeader) {
        match verdict {
            Verdict::Send {
                to,
                forward_header,
                extra,
                ..
            } => {
                self.send(1, Event::ToAgent(*to, packet, *forward_header));
                if let Some((second, header)) = verdict.extra_header() {
                    self.outcome.extra += 1;
                    self.send(1, Event::ToAgent(second, packet, header));
                }
                if matches!(extra, Decision::Withheld { .. }) {
                    self.outcome.withheld += 1;
                }
            }
            Verdict::Reset { flow, .. } => self.send(2, Event::Reset(*flow)),
            Verdict::Drop(_) => {}
        }
    }

    fn apply_inbound(&mut self, node: NodeId, packet: PacketHeader, inbound: &Inbound) {
        let host = index_of(node);
        match inbound.action {
            InboundAction::Deliver { token, .. } => {
                self.receive_at_host(host, PacketHeader { token, ..packet });
            }
            InboundAction::DeliverAndForward {
                token,
                to,
                forward_header,
            } => {
                self.receive_at_host(host, PacketHeader { token, ..packet });
                self.send(1, Event::ToAgent(to, packet, forward_header));
            }
            InboundAction::Forward {
                to, forward_header, ..
            } => self.send(1, Event::ToAgent(to, packet, forward_header)),
            InboundAction::Refuse { flow, .. } => self.send(2, Event::Reset(flow)),
            InboundAction::Missing { origin, visited } => {
                self.send(1, Event::Returned(index_of(origin), packet, visited));
            }
            InboundAction::Hold | InboundAction::Drop | InboundAction::DropExtra => {}
        }
        if let Some(origin) = inbound.notify {
            let hint = Hint {
                flow: packet.inbound(),
                node,
            };
            self.send(1, Event::Hint(index_of(origin), hint));
        }
    }

    // The backend server answers an opening packet with a sequence of its own, runs the request of a
    // packet that acknowledges it, and returns any other packet.
    fn receive_at_host(&mut self, index: usize, packet: PacketHeader) {
        let drawn = self.next_random() as u32;
        let work = self.plan.work.scale(0.5)
            + Span::from_micros(self.next_random() % self.plan.work.as_micros());
        let now = self.now;
        let host = &mut self.hosts[index];
        let process = host.process;
        let flow = packet.inbound();
        let mut reply = PacketHeader {
            source: packet.target,
            target: packet.source,
            flags: Flags {
                opening: packet.opens(),
                acknowledging: true,
                ..Flags::default()
            },
            sequence: 0,
            acknowledged: 1,
            data: 0,
            token: 0,
        };
        if packet.opens() {
            reply.sequence = host.flows.entry(flow).or_insert((drawn, None)).0;
            self.after(LOCAL, Event::FromHost(index, process, reply));
            return;
        }
        let state = host.flows.get_mut(&flow);
        let Some((first, end)) = state.filter(|(first, _)| *first == packet.acknowledged) else {
            let mut returned = packet;
            returned.flags.returned = true;
            self.after(LOCAL, Event::FromHost(index, process, returned));
            return;
        };
        reply.sequence = *first;
        reply.data = 100;
        let end = *end.get_or_insert_with(|| {
            self.callers[caller_of(&flow) as usize].runs += 1;
            let slot = host.slots.iter_mut().min().expect("a host has slots");
            *slot = now.max(*slot) + work;
            *slot
        });
        let wait = (end - now).max(LOCAL);
        self.after(wait, Event::FromHost(index, process, reply));
    }

    fn on_host_packet(&mut self, index: usize, process: u64, packet: PacketHeader) {
        let host = &mut self.hosts[index];
        if !host.alive || host.process != process {
            return;
        }
        match host.agent.on_host_packet(self.now, &packet) {
            Outbound::ToCaller { .. } => {
                if self.next_random() % 1_000 >= self.plan.bad_permille {
                    self.send(2, Event::ToCaller(packet));
                }
            }
            Outbound::Withheld => {}
            Outbound::Returned(inbound) => {
                let mut packet = packet;
                packet.flags.returned = false;
                self.apply_inbound(host_node(index), packet, &inbound);
            }
        }
        for release in self.hosts[index].agent.release(self.now) {
            let packet = caller_packet(caller_of(&release.flow), true);
            self.apply_inbound(host_node(index), packet, &release.inbound);
        }
    }

    fn receive(&mut self, packet: &PacketHeader) {
        let number = caller_of(&packet.outbound());
        let caller = &mut self.callers[number as usize];
        let elapsed = self.now - caller.started;
        if packet.flags.opening {
            if caller.open.is_none() && !caller.done && elapsed < Span::from_millis(1_400) {
                caller.open = Some(packet.sequence);
                self.outcome.opened.push(elapsed);
                self.after(Span::ZERO, Event::SendData(number, 0));
            }
        } else if caller.open == Some(packet.sequence) && !caller.done {
            caller.done = true;
            if elapsed < Span::from_secs(3) {
                self.outcome.answered.push(elapsed);
            }
        }
    }

    fn reset(&mut self, flow: &FlowKey) {
        let caller = &mut self.callers[caller_of(flow) as usize];
        if caller.done {
            return;
        }
        caller.done = true;
        let Some(answer) = caller.open else {
            self.outcome.refused += 1;
            return;
        };
        let holds = |host: &crate::model::Host| {
            host.alive
                && host
                    .flows
                    .get(flow)
                    .is_some_and(|(first, _)| *first == answer)
        };
        if self.hosts.iter().any(holds) {
            self.outcome.broken += 1;
        }
    }
}
