//! Entry point of the measuring tool.

use argh::FromArgs;
use usher_bench::experiment::Experiment;

/// Measures the system and its baselines in virtual time.
#[derive(FromArgs)]
struct Args {
    /// imbalance, crest, blocking, retries, churn or all
    #[argh(positional)]
    experiment: Experiment,
    /// number of seeds, from 1; default 5
    #[argh(option, default = "5")]
    seeds: u64,
    /// run only the subjects whose name contains this text
    #[argh(option, default = "String::new()")]
    subject: String,
    /// print JSON with the values of all seeds
    #[argh(switch)]
    json: bool,
}

fn main() -> Result<(), serde_json::Error> {
    let args: Args = argh::from_env();
    let tables = args.experiment.run(args.seeds, &args.subject);
    if args.json {
        println!("{}", serde_json::to_string_pretty(&tables)?);
    } else {
        for table in &tables {
            println!("{table}");
        }
    }
    Ok(())
}
