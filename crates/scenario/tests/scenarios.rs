//! Runs every file of `scenarios/` and checks the expectations that it states.

use std::fs;
use std::path::{Path, PathBuf};
use std::thread;

use usher_scenario::Scenario;

/// Environment variable with a seed that replaces those of all files, to repeat one run.
const SEED_VARIABLE: &str = "SCENARIO_SEED";
/// Environment variable with a text that the path of a file must contain to be run.
const PATTERN_VARIABLE: &str = "SCENARIO_ONLY";
const SEEDS_PER_FILE: u64 = 2;
const WORKERS: usize = 5;

fn files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let pattern = std::env::var(PATTERN_VARIABLE).unwrap_or_default();
    let entries = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let mut files: Vec<_> = entries
        .filter(|path| path.to_string_lossy().contains(&pattern))
        .collect();
    files.sort();
    files
}

fn name(path: &Path) -> &str {
    path.file_name().unwrap().to_str().unwrap()
}

fn read(path: &Path) -> Scenario {
    let text = fs::read_to_string(path).unwrap();
    Scenario::parse(name(path), &text).unwrap_or_else(|error| panic!("{error}"))
}

fn seeds(scenario: &Scenario) -> Vec<u64> {
    match std::env::var(SEED_VARIABLE) {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (0..SEEDS_PER_FILE)
            .map(|number| scenario.seed() + number)
            .collect(),
    }
}

/// Runs a file with each seed and repeats the last run; returns the missed expectations.
fn check(path: &Path) -> Vec<String> {
    let scenario = read(path);
    let mut missed = Vec::new();
    let mut last = None;
    for seed in seeds(&scenario) {
        let report = scenario.run(seed);
        println!("{} {report}", name(path));
        if !report.failures.is_empty() {
            missed.push(format!("{} {report}\n  {:?}", name(path), report.counts));
        }
        last = Some(report);
    }
    if let Some(report) = last
        && scenario.run(report.seed) != report
    {
        missed.push(format!(
            "{} seed {}: two runs differ",
            name(path),
            report.seed
        ));
    }
    missed
}

/// Guards against decision crates that, used together, break a property under the faults of a file.
#[test]
fn every_scenario_has_the_expected_outcome() {
    let files = files();
    let files = &files;
    let part = |number| files.iter().skip(number).step_by(WORKERS);
    let missed: Vec<String> = thread::scope(|scope| {
        let workers: Vec<_> = (0..WORKERS)
            .map(|number| scope.spawn(move || part(number).flat_map(|path| check(path)).collect()))
            .collect();
        let results = workers.into_iter().map(|worker| worker.join().unwrap());
        results.collect::<Vec<Vec<String>>>().concat()
    });
    assert!(missed.is_empty(), "\n{}", missed.join("\n"));
}
