use std::io;

use usher_config::{Cache, Kind};
use usher_types::Version;

use crate::{Point, meter, sample};

// Services whose rosters change; all are in the cache before the first measured change.
const SERVICES: usize = 1_000;
const SERVICE_HOSTS: usize = 3;
// Changes that a watcher misses in one second when changes come at 16 times the average rate.
const MISSED_CHANGES: u64 = 10;
const ROUNDS: usize = 200;

pub(crate) fn measure(changes: usize, point: &mut Point) -> io::Result<()> {
    let mut cache = Cache::default();
    let mut adopt = |change: usize| {
        let roster = sample::roster(change % SERVICES * SERVICE_HOSTS, SERVICE_HOSTS);
        let name = sample::service_name(change % SERVICES);
        let version = change as u64 + 1;
        cache.adopt(sample::object(
            Kind::Roster,
            name.as_str(),
            version,
            roster.into(),
        ))
    };
    for change in 0..SERVICES {
        adopt(change);
    }
    let (nanos, bytes) = meter::memory_growth(|| {
        let ((), nanos) = meter::time_once(|| {
            for change in SERVICES..SERVICES + changes {
                adopt(change);
            }
        });
        nanos
    })?;
    point.set("cache_growth_bytes", bytes);
    point.set("build_and_adopt_us", nanos / changes as f64 / 1e3);
    let after = Version::new((SERVICES + changes) as u64 - MISSED_CHANGES);
    let resume = meter::time_each(ROUNDS, |_| cache.since(after).count());
    point.set("resume_us", resume / 1e3);
    Ok(())
}
