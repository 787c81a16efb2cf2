//! Runs one case of the review: `standin CASE RECORD`.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0`
//! in the environment the case runs without its disruption.

mod client;
mod dead_hosts;
mod given_up_flow;
mod host;
mod http;
mod json;
mod lab;
mod odd_heartbeat;
mod packet;
mod reused_port;
mod setup;
mod silent_store;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use lab::{Lab, watch_limit};

// A case may take 120 s.
const RUN_LIMIT: Duration = Duration::from_secs(110);

/// What a case has shown.
pub enum Outcome {
    Broken,
    Held,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    watch_limit(RUN_LIMIT);
    let lab = match Lab::new(Path::new(record)) {
        Ok(lab) => lab,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::from(2);
        }
    };
    lab.record.line(format!("case {case}, disruption: {trouble}"));
    let outcome = match case.as_str() {
        "silent-store" => silent_store::run(&lab, trouble),
        "odd-heartbeat" => odd_heartbeat::run(&lab, trouble),
        "reused-port" => reused_port::run(&lab, trouble),
        "given-up-flow" => given_up_flow::run(&lab, trouble),
        "dead-hosts" => dead_hosts::run(&lab, trouble),
        _ => Outcome::NotRun(format!("no case {case}")),
    };
    let (code, text) = match outcome {
        Outcome::Broken => (1, "the rule was BROKEN".to_owned()),
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::NotRun(reason) => (2, format!("the case could not run: {reason}")),
    };
    lab.record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
