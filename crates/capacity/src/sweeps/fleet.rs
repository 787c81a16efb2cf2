use std::io;
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use usher_members::{Event, Identity, Membership};
use usher_types::{Fleet, Incarnation, Span};

use crate::{Point, meter, sample};

const SERVICE_HOSTS: usize = 3;
// Services of one data centre: 100,000 hosts in 16 data centres, three hosts per service.
const SERVICES: usize = 2_083;
const TICKS: usize = 20;
const SECOND: Span = Span::from_secs(1);

pub(crate) fn measure(balancers: usize, point: &mut Point) -> io::Result<()> {
    let fleet = sample::fleet(balancers);
    let json = usher_store::encode(&fleet.clone().into())?;
    point.set("fleet_json_bytes", json.len() as f64);
    let identity = Identity::Balancer {
        instance: sample::instance(0),
        centre: sample::centre(0),
        incarnation: Incarnation::new(1),
    };
    let mut balancer = Membership::new(identity, Box::new(Pcg64::seed_from_u64(1)));
    balancer.handle(sample::START, fleet_event(&fleet));
    for index in 0..SERVICES {
        let mut roster = sample::roster(index * SERVICE_HOSTS, SERVICE_HOSTS);
        for member in roster.members.values_mut() {
            member.centre = sample::centre(0);
        }
        let service = sample::service_name(index);
        let roster = Arc::new(roster);
        balancer.handle(sample::START, Event::Roster { service, roster });
    }
    let ((), nanos) = meter::time_once(|| {
        balancer.handle(sample::START, fleet_event(&fleet));
    });
    point.set("fleet_change_ms", nanos / 1e6);
    let mut now = sample::START;
    let tick = meter::time_each(TICKS, |_| {
        now = now + SECOND;
        balancer.handle(now, Event::Tick)
    });
    point.set("balancer_tick_us", tick / 1e3);
    measure_agent(&fleet, point);
    Ok(())
}

fn fleet_event(fleet: &Fleet) -> Event {
    Event::Fleet {
        centre: sample::centre(0),
        fleet: Arc::new(fleet.clone()),
    }
}

// An agent ranks the balancers of its data centre for each heartbeat.
fn measure_agent(fleet: &Fleet, point: &mut Point) {
    let roster = sample::roster(0, SERVICE_HOSTS);
    let identity = Identity::Agent {
        host: sample::host(0),
        service: sample::service_name(0),
        centre: sample::centre(0),
        incarnation: roster.members[0].incarnation,
    };
    let mut agent = Membership::new(identity, Box::new(Pcg64::seed_from_u64(1)));
    let mut now = sample::START;
    let service = sample::service_name(0);
    agent.handle(now, fleet_event(fleet));
    agent.handle(now, Event::Join(roster.members[0].clone()));
    agent.handle(
        now,
        Event::Roster {
            service,
            roster: Arc::new(roster),
        },
    );
    let tick = meter::time_each(TICKS, |_| {
        now = now + SECOND;
        agent.handle(now, Event::Tick)
    });
    point.set("agent_tick_us", tick / 1e3);
}
