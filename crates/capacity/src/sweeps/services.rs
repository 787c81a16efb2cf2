use std::io;
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use usher_config::{Cache, Kind};
use usher_members::{Event, Identity, Membership};
use usher_routing::{HintTable, Router, Table};
use usher_types::{Body, Incarnation, ServiceName, Span};

use super::service::table;
use crate::{Point, meter, sample};

const SERVICE_HOSTS: usize = 3;
const PACKETS: usize = 20_000;
const TICKS: usize = 3;
const ROUNDS: usize = 3;
const SECOND: Span = Span::from_secs(1);
// Balancers of one data centre: 11,000 nodes in 16 data centres.
const CENTRE_BALANCERS: usize = 688;

pub(crate) fn measure(services: usize, point: &mut Point) -> io::Result<()> {
    let (cache, bytes) = meter::memory_growth(|| cache(services))?;
    point.set("cache_bytes", bytes);
    let (tables, bytes) = meter::memory_growth(|| tables(services))?;
    point.set("tables_bytes", bytes);
    let (membership, bytes) = meter::memory_growth(|| membership(services))?;
    point.set("membership_bytes", bytes);
    let (router, bytes) = meter::memory_growth(|| router(&tables))?;
    point.set("router_bytes", bytes);
    point.set(
        "publish_us",
        meter::time_each(ROUNDS, |_| router_from_cache(&cache, &tables)) / 1e3,
    );
    point.set("route_ns", route(services, &router));
    point.set("tick_us", tick(membership) / 1e3);
    let json: usize = cache
        .since(usher_types::Version::default())
        .filter_map(|object| Some(usher_store::encode(object.value.as_ref()?).ok()?.len()))
        .sum();
    point.set("objects_json_bytes", json as f64);
    Ok(())
}

fn cache(services: usize) -> Cache {
    let mut cache = Cache::default();
    for index in 0..services {
        let version = index as u64 * 2 + 1;
        cache.adopt(sample::service_object(index, version));
        let roster = sample::roster(index * SERVICE_HOSTS, SERVICE_HOSTS);
        let name = sample::service_name(index);
        cache.adopt(sample::object(
            Kind::Roster,
            name.as_str(),
            version + 1,
            roster.into(),
        ));
    }
    cache
}

fn tables(services: usize) -> Vec<Arc<Table>> {
    (0..services)
        .map(|index| Arc::new(table(&sample::roster(index * SERVICE_HOSTS, SERVICE_HOSTS))))
        .collect()
}

fn router(tables: &[Arc<Table>]) -> Router {
    let addressed = tables.iter().enumerate();
    Router::new(addressed.map(|(index, table)| (sample::service_address(index), Arc::clone(table))))
}

// Does what the balancer's control thread does after each change: it parses the names of all
// services and shares their tables.
fn router_from_cache(cache: &Cache, tables: &[Arc<Table>]) -> Router {
    let names = cache.list(Kind::Service).enumerate();
    let addressed = names.filter_map(|(index, object)| {
        let _: ServiceName = object.name.as_str().parse().ok()?;
        Some((sample::service_address(index), Arc::clone(&tables[index])))
    });
    Router::new(addressed)
}

fn membership(services: usize) -> Membership {
    let identity = Identity::Balancer {
        instance: sample::instance(0),
        centre: sample::centre(0),
        incarnation: Incarnation::new(1),
    };
    let mut membership = Membership::new(identity, Box::new(Pcg64::seed_from_u64(1)));
    let centre = sample::centre(0);
    let fleet = Arc::new(sample::fleet(CENTRE_BALANCERS));
    membership.handle(sample::START, Event::Fleet { centre, fleet });
    for index in 0..services {
        let roster = Arc::new(sample::roster(index * SERVICE_HOSTS, SERVICE_HOSTS));
        let service = sample::service_name(index);
        membership.handle(sample::START, Event::Roster { service, roster });
    }
    membership
}

fn route(services: usize, router: &Router) -> f64 {
    let mut hints = HintTable::new(1_000);
    meter::time_each(PACKETS, |number| {
        let flow = sample::flow(number, number * 7_919 % services);
        let packet = sample::packet(flow, Body::Open);
        router.forward(packet, &mut hints, sample::agent(0))
    })
}

fn tick(mut membership: Membership) -> f64 {
    let mut now = sample::START;
    meter::time_each(TICKS, |_| {
        now = now + SECOND;
        membership.handle(now, Event::Tick)
    })
}
