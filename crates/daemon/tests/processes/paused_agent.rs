use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use usher_standins::{PathFaults, Pending, Request};
use usher_types::{Attempt, Outcome, RequestKey, Span};

use crate::deployment::{
    ANSWER_LIMIT, BOOKING, Deployment, await_until, host_name, service_address,
};
use crate::load::{Load, new_key, once, open, read};

const FLOWS: usize = 30;
// One request on each flow; all of them run at once on the slots of the three hosts.
const KILL_FLOWS: usize = 9;
// Longer than the time to suspect and remove an agent (13 s), a lease (3 s) and the longest
// delay before a resend (5 s).
const PAUSE: Duration = Duration::from_secs(16);
const RUN_TIME: Span = Span::from_millis(300);

// All attempts of one key, with their pending outcomes.
struct Booking {
    key: RequestKey,
    sent: Vec<Pending>,
}

fn attempt(key: RequestKey, number: u16, age: Duration) -> Request {
    Request {
        key,
        attempt: Attempt::new(number),
        age: Span::from_millis(age.as_millis() as u64),
        time: Some(RUN_TIME),
        ..once()
    }
}

// No key runs twice; an answer means one run, "not run" to every attempt means none (P4, P5).
fn assert_outcomes_match_runs(deployment: &Deployment, booking: &Booking) {
    let outcomes: Vec<Option<Outcome>> = booking
        .sent
        .iter()
        .map(|pending| pending.wait(ANSWER_LIMIT))
        .collect();
    let runs = deployment.runs(booking.key);
    assert!(runs <= 1, "{}: {runs} runs, {outcomes:?}", booking.key);
    let answered = |outcome: &Option<Outcome>| matches!(outcome, Some(Outcome::Answered(_)));
    let not_run = |outcome: &Option<Outcome>| matches!(outcome, Some(Outcome::NotRun { .. }));
    if outcomes.iter().any(answered) {
        assert_eq!(runs, 1, "{}: {outcomes:?}", booking.key);
    }
    if outcomes.iter().all(not_run) {
        assert_eq!(runs, 0, "{}: {outcomes:?}", booking.key);
    }
}

// Guards against a paused holder or owner that runs a request again when it resumes (P5).
#[test]
fn paused_agent_runs_nothing_twice() {
    let deployment = Deployment::start("pause", 3, 3);
    let caller = Arc::new(deployment.caller());
    let flows = open(&caller, BOOKING, FLOWS);
    deployment.fabric.set_faults(PathFaults {
        duplicates: 0.5,
        ..PathFaults::default()
    });
    let start = Instant::now();
    let mut bookings: Vec<Booking> = flows
        .iter()
        .map(|flow| {
            let key = new_key();
            let sent = vec![caller.send(*flow, &attempt(key, 1, Duration::ZERO))];
            Booking { key, sent }
        })
        .collect();
    let paused = host_name(BOOKING, 2);
    await_until("a run on the paused host", ANSWER_LIMIT, || {
        deployment.backends[&paused].total() > 0
    });
    deployment.processes[&paused].signal(Signal::STOP);
    let other = deployment.caller();
    for number in 2..=3 {
        for booking in &mut bookings {
            // A flow in a bucket of the paused agent opens only after that agent is suspected.
            let Some(flow) = other.open(service_address(BOOKING), ANSWER_LIMIT) else {
                continue;
            };
            let retry = attempt(booking.key, number, start.elapsed());
            booking.sent.push(other.send(flow, &retry));
        }
    }
    await_until("the end of the pause", PAUSE * 2, || {
        start.elapsed() >= PAUSE
    });
    deployment.processes[&paused].signal(Signal::CONT);
    for booking in &mut bookings {
        let flow = other.open(service_address(BOOKING), ANSWER_LIMIT).unwrap();
        let retry = attempt(booking.key, 4, start.elapsed());
        booking.sent.push(other.send(flow, &retry));
    }
    for booking in &bookings {
        assert_outcomes_match_runs(&deployment, booking);
    }
    let load = Load::start(&caller, open(&caller, BOOKING, FLOWS), read);
    load.await_answers(FLOWS as u64);
    load.stop();
}

// Guards against a second run of a request whose holder or owner was killed (P5).
#[test]
fn request_of_a_killed_agent_runs_once() {
    let mut deployment = Deployment::start("kill", 2, 3);
    let caller = deployment.caller();
    let flows = open(&caller, BOOKING, KILL_FLOWS);
    let start = Instant::now();
    let long = |key, number| Request {
        time: Some(Span::from_secs(2)),
        deadline: Span::from_secs(15),
        ..attempt(key, number, start.elapsed())
    };
    let sent: Vec<(RequestKey, Pending)> = flows
        .iter()
        .map(|flow| {
            let key = new_key();
            (key, caller.send(*flow, &long(key, 1)))
        })
        .collect();
    let killed = host_name(BOOKING, 2);
    await_until("a run on the host", ANSWER_LIMIT, || {
        deployment.backends[&killed].total() > 0
    });
    deployment.process(&killed).kill();
    let runs_before: Vec<usize> = sent.iter().map(|(key, _)| deployment.runs(*key)).collect();
    let second = deployment.caller();
    let retry: Vec<Option<Pending>> = sent
        .iter()
        .map(|(key, _)| {
            let flow = second.open(service_address(BOOKING), ANSWER_LIMIT)?;
            Some(second.send(flow, &long(*key, 2)))
        })
        .collect();
    for (((key, _), pending), before) in sent.iter().zip(&retry).zip(runs_before) {
        let outcome = pending
            .as_ref()
            .and_then(|pending| pending.wait(ANSWER_LIMIT));
        let runs = deployment.runs(*key);
        assert!(runs <= 1, "{key}: {runs} runs, {outcome:?}");
        match outcome {
            // A run that reaches its deadline is cancelled and reported as failed.
            Some(Outcome::Answered(_) | Outcome::Failed(_)) => assert_eq!(runs, 1, "{key}"),
            Some(Outcome::Unknown) => {}
            Some(Outcome::NotRun { .. }) => assert_eq!(before, 0, "{key}: reported as not run"),
            None => panic!("{key}: no outcome"),
        }
    }
}
