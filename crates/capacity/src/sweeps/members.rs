use std::io;
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use usher_members::{Event, Identity, Membership};
use usher_types::{Incarnation, Roster, Span};

use crate::{Point, meter, sample};

const SERVICE_HOSTS: usize = 3;
const BEATS: usize = 3_000;
const TICKS: usize = 5;
const SECOND: Span = Span::from_secs(1);

// The only balancer of a data centre gets the heartbeats of all hosts there.
pub(crate) fn measure(members: usize, point: &mut Point) -> io::Result<()> {
    let (mut balancer, bytes) = meter::memory_growth(|| balancer(members))?;
    point.set("membership_bytes", bytes);
    let mut now = sample::START;
    let beat_nanos = meter::time_each(BEATS, |number| {
        let from = number % members;
        let beat = sample::beat(from, now, 0);
        let source = sample::agent(from);
        balancer.handle(now, Event::Beat { source, beat })
    });
    point.set("beat_us", beat_nanos / 1e3);
    let tick = meter::time_each(TICKS, |_| {
        now = now + SECOND;
        balancer.handle(now, Event::Tick)
    });
    point.set("tick_us", tick / 1e3);
    Ok(())
}

fn balancer(members: usize) -> Membership {
    let centre = sample::centre(0);
    let identity = Identity::Balancer {
        instance: sample::instance(0),
        centre: centre.clone(),
        incarnation: Incarnation::new(1),
    };
    let mut balancer = Membership::new(identity, Box::new(Pcg64::seed_from_u64(1)));
    let fleet = Arc::new(sample::fleet(1));
    balancer.handle(
        sample::START,
        Event::Fleet {
            centre: centre.clone(),
            fleet,
        },
    );
    for index in 0..members / SERVICE_HOSTS {
        let mut roster = Roster {
            earlier: Vec::new(),
            ..sample::roster(index * SERVICE_HOSTS, SERVICE_HOSTS)
        };
        for member in roster.members.values_mut() {
            member.centre = centre.clone();
        }
        let service = sample::service_name(index);
        let roster = Arc::new(roster);
        balancer.handle(sample::START, Event::Roster { service, roster });
    }
    balancer
}
