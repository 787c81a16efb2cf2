use std::io;
use std::sync::Arc;

use usher_flows::{Event, FlowTable, Settings};
use usher_routing::{HintTable, Router};
use usher_types::{
    Body, Buckets, Generation, MessageId, Packet, Relay, RelayMode, Roster, Span, Version,
};

use super::service::table;
use crate::{Point, meter, sample};

const PACKETS: usize = 20_000;
const SECOND: Span = Span::from_secs(1);

pub(crate) fn measure(flows: usize, point: &mut Point) -> io::Result<()> {
    let roster = Roster {
        earlier: Vec::new(),
        ..sample::roster(0, 1)
    };
    let mut flow_table = FlowTable::new(settings());
    flow_table.handle(sample::START, Event::Roster(Arc::new(roster)));
    let (nanos, bytes) = meter::memory_growth(|| open_flows(&mut flow_table, flows))?;
    point.set("held_bytes", bytes);
    point.set("open_ns", nanos / flows as f64);
    point.set("held_flows", flow_table.flows() as f64);
    let ack = Body::Ack {
        message: MessageId::new(1),
        index: 0,
    };
    let packet_nanos = meter::time_each(PACKETS, |number| {
        let number = number * 7_919 % flows;
        flow_table.handle(
            sample::START,
            relay(sample::packet(sample::flow(number, 0), ack.clone())),
        )
    });
    point.set("packet_ns", packet_nanos);
    let mut now = sample::START;
    let tick = meter::time_each(100, |_| {
        now = now + SECOND;
        flow_table.handle(now, Event::Tick)
    });
    point.set("idle_tick_us", tick / 1e3);
    measure_hints(flows, point)
}

fn settings() -> Settings {
    Settings::new(
        sample::service_name(0),
        Generation::new(1),
        Buckets::new(4_096),
        sample::host(0),
        sample::agent(0),
        Span::from_millis(5),
    )
}

// Opens all flows and returns the processor time in nanoseconds.
fn open_flows(flow_table: &mut FlowTable, flows: usize) -> f64 {
    let ((), nanos) = meter::time_once(|| {
        for index in 0..flows {
            let packet = sample::packet(sample::flow(index, 0), Body::Open);
            flow_table.handle(sample::START, relay(packet));
        }
    });
    nanos
}

fn relay(packet: Packet) -> Event {
    Event::Relay(Relay {
        service: sample::service_name(0),
        generation: Generation::new(1),
        roster: Version::new(40_000_000),
        route: vec![sample::agent(0)],
        current: 1,
        hop: 0,
        mode: RelayMode::Owner,
        balancer: sample::agent(1),
        packet,
    })
}

fn measure_hints(flows: usize, point: &mut Point) -> io::Result<()> {
    let (mut hints, bytes) = meter::memory_growth(|| {
        let mut hints = HintTable::new(flows);
        for index in 0..flows {
            hints.insert(sample::flow(index, 0), sample::agent(1));
        }
        hints
    })?;
    point.set("hints_bytes", bytes);
    let table = Arc::new(table(&sample::roster(0, 3)));
    let router = Router::new([(sample::service_address(0), table)]);
    let route = meter::time_each(PACKETS, |number| {
        let flow = sample::flow(number * 7_919 % flows, 0);
        router.forward(
            sample::packet(flow, Body::Open),
            &mut hints,
            sample::agent(2),
        )
    });
    point.set("hinted_route_ns", route);
    Ok(())
}
