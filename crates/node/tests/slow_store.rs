//! A store whose answers arrive slowly, with real processes.

use std::path::Path;
use std::time::{Duration, Instant};
use std::{fs, thread};

use usher_platform_standin::store::Faults;
use usher_platform_standin::{Deployment, SECOND_BALANCER, SERVICE, UNUSED_HOST};

// About 450 KB of configuration, which take 1.8 s at this rate.
const ROUTES: u16 = 3_000;
const BYTES_PER_S: u64 = 250_000;
// The platform's bound for a change of the configuration.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Guards against a configuration that no read ever brings, since it takes longer than a call may wait
/// for an answer to begin.
#[test]
fn a_configuration_that_arrives_slowly_is_read() {
    let program = Path::new(env!("CARGO_BIN_EXE_marigoldusher-node"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut deployment = Deployment::start(46, program, folder);
    let addresses: Vec<String> = (0..ROUTES)
        .map(|index| format!("198.18.{}.{}", 1 + index / 250, 1 + index % 250))
        .collect();
    let routes = addresses
        .iter()
        .map(|address| (address.as_str(), 443, SERVICE));
    deployment
        .store
        .configure_routes(&routes.collect::<Vec<_>>());
    // The other balancer has to read the configuration, and has no balancer to fetch it from.
    deployment.balancer.kill();
    deployment.store.set_faults(Faults {
        bytes_per_s: BYTES_PER_S,
        ..Faults::default()
    });
    let started = Instant::now();
    let _balancer = deployment.second_balancer(&[UNUSED_HOST]);
    let log = folder.join(format!("node-46-{SECOND_BALANCER}.log"));
    while started.elapsed() < APPLY_LIMIT {
        let text = fs::read_to_string(&log).unwrap_or_default();
        let since_start = text.rsplit_once("MU-E2001");
        if since_start.is_some_and(|(_, lines)| lines.contains(&format!("routes={ROUTES}"))) {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("the configuration is not in force after {APPLY_LIMIT:?}");
}
