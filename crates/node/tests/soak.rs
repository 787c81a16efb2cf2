//! Fault soak: real processes under faults in series and overlapping, promises checked from what
//! callers see while it runs.
//!
//! `USHER_SOAK_SEEDS=1..50` plays other seeds, `USHER_SOAK_SECONDS` sets how long faults come.

use std::env;
use std::path::Path;

mod soak_run;

use soak_run::Soak;

// A short run in CI, of a seed that failed once. Seeds that failed, and why:
// 15 and 29: a frozen balancer held a copy of a flow's first packet until the flow's route was dropped.
//   Such flows are not protected; the check leaves them out.
// 41: a frozen agent took a copy of a flow's first packet late and reset the flow, which another host
//   held, when its own backend server ended. Mended in the agent.
// 5, once in four runs: a SIGHUP ended a balancer that had just been started. Mended in the node.
const SEEDS: [u64; 1] = [41];
const SECONDS: u64 = 10;

fn seeds() -> Vec<u64> {
    let Ok(range) = env::var("USHER_SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (first, last) = range.split_once("..").expect("FIRST..LAST");
    (first.parse().unwrap()..=last.parse().unwrap()).collect()
}

/// Guards against flows that are lost, moved or reset although their backend server lives, answers of
/// another service, and nodes that do not come back.
#[test]
fn promises_hold_under_faults() {
    let program = Path::new(env!("CARGO_BIN_EXE_marigoldusher-node"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let seconds = env::var("USHER_SOAK_SECONDS").map_or(SECONDS, |text| text.parse().unwrap());
    for seed in seeds() {
        let mut soak = Soak::start(program, folder, seed);
        soak.run(seconds);
        soak.settle();
        println!("seed {seed}: {}", soak.summary());
    }
}
