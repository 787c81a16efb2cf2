use std::io;
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use usher_config::{Kind, Value};
use usher_dedupe::{Agent, Ledger, LedgerEvent, Origin, RosterHistory};
use usher_members::{Event, Identity, Membership};
use usher_routing::{HintTable, Router, Table};
use usher_types::{
    Attempt, Body, Buckets, Claim, Generation, PastRoster, RequestKey, Roster, Span, Time, Version,
};

use crate::{Point, meter, sample};

// Copies of the table; with fewer, other memory of the process would distort the figure.
const SMALL_TABLES: usize = 10_000;
const LARGE_TABLES: usize = 4;
// Least number of hosts for which a table of 4,096 buckets is computed in advance.
const MIN_PRECOMPUTED: usize = 64;
const PACKETS: usize = 20_000;
const BEATS: usize = 2_000;
const SECOND: Span = Span::from_secs(1);

pub(crate) fn measure(hosts: usize, point: &mut Point) -> io::Result<()> {
    let roster = sample::roster(0, hosts);
    let copies = if hosts < MIN_PRECOMPUTED {
        SMALL_TABLES
    } else {
        LARGE_TABLES
    };
    let (tables, bytes) = meter::memory_growth(|| {
        let tables: Vec<Table> = (0..copies).map(|_| table(&roster)).collect();
        tables
    })?;
    point.set("table_bytes", bytes / copies as f64);
    let rebuilds = (2_000 / hosts).max(1);
    point.set(
        "table_build_us",
        meter::time_each(rebuilds, |_| table(&roster)) / 1e3,
    );
    let route = route(&tables[0]);
    point.set("route_ns", route);
    drop(tables);
    measure_encoding(&roster, point)?;
    measure_heartbeats(hosts, &roster, point);
    measure_leases(hosts, &roster, point);
    Ok(())
}

/// A table as a balancer builds it from a roster object.
pub(crate) fn table(roster: &Roster) -> Table {
    let earlier: Vec<Roster> = roster.earlier.iter().map(PastRoster::to_roster).collect();
    let rosters = std::iter::once(roster).chain(&earlier);
    let buckets = Buckets::new(4_096);
    Table::new(
        sample::service_name(0),
        Generation::new(1),
        buckets,
        rosters,
    )
}

fn route(table: &Table) -> f64 {
    let router = Router::new([(sample::service_address(0), Arc::new(table.clone()))]);
    let mut hints = HintTable::new(1_000);
    meter::time_each(PACKETS, |number| {
        let packet = sample::packet(sample::flow(number, 0), Body::Open);
        router.forward(packet, &mut hints, sample::agent(0))
    })
}

fn measure_encoding(roster: &Roster, point: &mut Point) -> io::Result<()> {
    let value: Value = roster.clone().into();
    let json = usher_store::encode(&value)?;
    point.set("roster_json_bytes", json.len() as f64);
    let decode = |_| {
        let json = serde_json::from_slice(&json).ok()?;
        usher_store::decode(Kind::Roster, json).ok()
    };
    let rounds = (2_000 / roster.members.len()).max(1);
    point.set("roster_decode_us", meter::time_each(rounds, decode) / 1e3);
    let mut current = roster.clone();
    current.earlier.clear();
    let json = usher_store::encode(&current.into())?;
    point.set("roster_only_json_bytes", json.len() as f64);
    Ok(())
}

// Each second, an agent gets heartbeats from all other members of its service and sends its own.
fn measure_heartbeats(hosts: usize, roster: &Roster, point: &mut Point) {
    let identity = Identity::Agent {
        host: sample::host(0),
        service: sample::service_name(0),
        centre: sample::centre(0),
        incarnation: roster.members[0].incarnation,
    };
    let mut agent = Membership::new(identity, Box::new(Pcg64::seed_from_u64(1)));
    let mut now = sample::START;
    let service = sample::service_name(0);
    let fleet = Arc::new(sample::fleet(3));
    agent.handle(
        now,
        Event::Fleet {
            centre: sample::centre(0),
            fleet,
        },
    );
    agent.handle(now, Event::Join(roster.members[0].clone()));
    agent.handle(
        now,
        Event::Roster {
            service,
            roster: Arc::new(roster.clone()),
        },
    );
    let mut number = 0;
    let beat_nanos = meter::time_each(BEATS, |_| {
        number = number % (hosts - 1) + 1;
        agent.handle(now, beat_event(number, now))
    });
    point.set("agent_beat_us", beat_nanos / 1e3);
    let tick = meter::time_each((BEATS / hosts).max(2), |_| {
        now = now + SECOND;
        agent.handle(now, Event::Tick)
    });
    point.set("agent_tick_us", tick / 1e3);
}

fn beat_event(from: usize, now: Time) -> Event {
    Event::Beat {
        source: sample::agent(from),
        beat: sample::beat(from, now, 0),
    }
}

fn measure_leases(hosts: usize, roster: &Roster, point: &mut Point) {
    let agent = Agent {
        host: sample::host(0),
        incarnation: roster.members[0].incarnation,
    };
    let mut ledger = Ledger::new(agent, Origin::Created);
    let now = sample::START;
    let history = RosterHistory {
        roster: Arc::new(Roster {
            earlier: Vec::new(),
            ..roster.clone()
        }),
        earlier: Vec::new(),
        complete: true,
    };
    ledger.handle(now, LedgerEvent::Roster(history));
    let mut number = 0;
    let renewal_nanos = meter::time_each(BEATS, |_| {
        number = number % (hosts - 1) + 1;
        ledger.handle(now, LedgerEvent::Ack(sample::beat_ack(number, now)))
    });
    point.set("lease_renewal_us", renewal_nanos / 1e3);
    let claim = meter::time_each(BEATS, |key| {
        ledger.handle(now, LedgerEvent::Claim(claim(key, now)))
    });
    point.set("claim_us", claim / 1e3);
}

/// Builds the first claim of a key.
pub(crate) fn claim(key: usize, now: Time) -> Claim {
    Claim {
        // Callers choose random keys; the multiplication spreads numbers over all values too.
        key: RequestKey::new(
            (key as u128 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835),
        ),
        attempt: Attempt::new(1),
        age: Span::from_millis(4),
        holder: sample::host(0),
        incarnation: usher_types::Incarnation::new(1_790_000_000_000),
        reply: sample::agent(0),
        roster: Version::new(40_000_000),
        sent: now,
    }
}
