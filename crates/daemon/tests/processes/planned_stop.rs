use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use rustix::process::Signal;
use serde_json::json;
use usher_standins::Request;
use usher_types::{Outcome, Refusal, Span};

use crate::deployment::{ANSWER_LIMIT, BOOKING, Deployment, SLOTS, await_until};
use crate::load::{DEADLINE, Load, Tally, new_key, once, open, read};

const FLOWS: usize = 60;
const ANSWERS_PER_STEP: u64 = 2 * FLOWS as u64;
const STOP_LIMIT: Duration = Duration::from_secs(20);
const HOST: &str = "booking-desk-2";

// A planned stop may refuse queued requests but must not interrupt or lose any.
fn assert_nothing_lost(tally: &Tally) {
    let refused = tally.not_run.len() as u64;
    let other: Vec<&Refusal> = tally
        .not_run
        .iter()
        .filter(|refusal| **refusal != Refusal::Draining)
        .collect();
    assert!(other.is_empty(), "refused for another reason: {other:?}");
    assert_eq!(tally.answered + refused, tally.sent, "{tally:?}");
    assert_eq!(tally.late, 0, "{tally:?}");
}

// Guards against a restart of an agent that breaks flows or interrupts requests (P1, P7).
#[test]
fn agent_restarts_under_load() {
    let mut deployment = Deployment::start("restart", 2, 3);
    let caller = Arc::new(deployment.caller());
    let flows = open(&caller, BOOKING, FLOWS);
    let reads = Load::start(&caller, flows.clone(), read);
    let bookings = Load::start(&caller, flows.clone(), once);
    reads.await_answers(ANSWERS_PER_STEP);
    let long = Request {
        time: Some(Span::from_secs(2)),
        // Long enough that no run is cancelled because it reaches its deadline.
        deadline: DEADLINE,
        ..Request::new("schedule", new_key())
    };
    let in_progress: Vec<_> = flows
        .iter()
        .take(6)
        .map(|flow| {
            let request = Request {
                key: new_key(),
                ..long.clone()
            };
            (caller.send(*flow, &request), request)
        })
        .collect();
    await_until("a long run on the host", ANSWER_LIMIT, || {
        let host = &deployment.backends[HOST];
        in_progress.iter().any(|(_, sent)| host.runs(sent.key) > 0)
    });
    let on_host: Vec<bool> = in_progress
        .iter()
        .map(|(_, sent)| deployment.backends[HOST].runs(sent.key) > 0)
        .collect();
    deployment.process(HOST).signal(Signal::TERM);
    assert_eq!(deployment.process(HOST).exit_status(STOP_LIMIT), Some(0));
    for ((pending, _), on_host) in in_progress.iter().zip(on_host) {
        let outcome = pending.wait(ANSWER_LIMIT);
        if on_host {
            assert_matches!(outcome, Some(Outcome::Answered(_)));
        } else {
            assert_matches!(outcome, Some(Outcome::Answered(_) | Outcome::NotRun { .. }));
        }
    }
    reads.await_answers(ANSWERS_PER_STEP);
    deployment.add_agent(BOOKING, 2);
    deployment.await_members(BOOKING, 3);
    deployment.await_in_force(ANSWER_LIMIT);
    // Handed-over flows stay on their new hosts; new flows reach the restarted agent as well.
    let before = deployment.backends[HOST].total();
    let fresh = Load::start(&caller, open(&caller, BOOKING, FLOWS), once);
    await_until("runs on the restarted host", ANSWER_LIMIT, || {
        deployment.backends[HOST].total() > before
    });
    fresh.await_answers(ANSWERS_PER_STEP);
    reads.await_answers(ANSWERS_PER_STEP);
    assert_nothing_lost(&fresh.stop());
    let (reads, bookings) = (reads.stop(), bookings.stop());
    assert_nothing_lost(&reads);
    assert_nothing_lost(&bookings);
    assert_eq!(caller.resets(), 0);
}

// Guards against new runs on a drained host, and against a drain that needs the store (P6).
#[test]
fn drained_host_gets_no_new_run() {
    for (name, faults) in [
        ("drain", json!({})),
        ("drain-store-down", json!({ "down": "hang" })),
    ] {
        let mut deployment = Deployment::start(name, 2, 3);
        let caller = Arc::new(deployment.caller());
        let flows = open(&caller, BOOKING, FLOWS);
        let load = Load::start(&caller, flows, read);
        load.await_answers(ANSWERS_PER_STEP);
        deployment.set_store_faults(&faults);
        assert_eq!(deployment.call(HOST, "drain"), Some(json!(true)));
        let drained = deployment.backends[HOST].total();
        load.await_answers(ANSWERS_PER_STEP);
        let fresh = open(&caller, BOOKING, FLOWS);
        let second = Load::start(&caller, fresh, read);
        second.await_answers(ANSWERS_PER_STEP);
        let runs = deployment.backends[HOST].total() - drained;
        assert!(runs <= SLOTS, "{name}: {runs} runs after the drain");
        assert_nothing_lost(&load.stop());
        assert_nothing_lost(&second.stop());
        assert_eq!(caller.resets(), 0, "{name}");
        deployment.clear_store_faults();
        deployment.process(HOST).signal(Signal::TERM);
        let status = deployment.process(HOST).exit_status(STOP_LIMIT);
        assert_eq!(status, Some(0), "{name}: stop after a drain");
    }
}
