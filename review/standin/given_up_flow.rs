//! FLOW: clients use the ports of given-up flows again; a balancer is restarted as planned meanwhile.

use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{Client, Failure};
use crate::lab::{Lab, wait_until};
use crate::setup::{DESK, SHEETS, Setup, route};

const FLOWS: u16 = 24;
const FIRST_PORT: u16 = 3_000;
// The hosts work longer on the first requests than their clients wait.
const WORK_MS: u32 = 3_000;
const DEADLINE: Duration = Duration::from_secs(2);
const LIMIT: Duration = Duration::from_secs(5);
// The hosts resend their answers for 10 s after the work; then the flows are idle for more than 15 s.
const STOP_AFTER: Duration = Duration::from_millis(28_500);
const REUSED_AFTER: Duration = Duration::from_millis(29_500);
const OBSERVED: Duration = Duration::from_secs(42);
const RESTARTED: usize = 2;

pub fn run(lab: &Lab, trouble: bool) -> Outcome {
    let routes = [(route(1), DESK), (route(9), SHEETS)];
    let mut setup = match Setup::start(lab, 3, 6, 1, &routes) {
        Ok(setup) => setup,
        Err(reason) => return Outcome::NotRun(reason),
    };
    let begun = Instant::now();
    let slow: Vec<_> = (0..FLOWS)
        .map(|number| {
            thread::sleep(Duration::from_millis(50));
            let client = setup.client.clone();
            thread::spawn(move || {
                let mut flow = client.open(FIRST_PORT + number, route(1))?;
                flow.request(&format!("GET slow-{number} {WORK_MS}"), DEADLINE)
            })
        })
        .collect();
    for client in slow {
        if !matches!(client.join(), Ok(Err(Failure::Deadline))) {
            return Outcome::NotRun("a slow request did not pass its deadline".to_owned());
        }
    }
    thread::sleep(STOP_AFTER.saturating_sub(begun.elapsed()));
    let reuse = {
        let (client, router) = (setup.client.clone(), setup.router.clone());
        move || {
            if trouble && !wait_until(Duration::from_secs(5), || router.in_rotation() == RESTARTED) {
                return None;
            }
            thread::sleep(REUSED_AFTER.saturating_sub(begun.elapsed()));
            let again = (0..FLOWS).map(|number| {
                let client = client.clone();
                thread::spawn(move || keep_open(&client, number, begun))
            });
            Some(again.collect::<Vec<_>>())
        }
    };
    let clients = thread::spawn(reuse);
    if trouble {
        lab.record.line("a balancer is restarted as planned");
        if let Err(reason) = setup.restart_balancer(lab, RESTARTED) {
            return Outcome::NotRun(reason);
        }
    }
    let Ok(Some(clients)) = clients.join() else {
        return Outcome::NotRun("the balancer did not leave the rotation".to_owned());
    };
    let ends: Vec<_> = clients.into_iter().map(|client| client.join()).collect();
    let (mut reset, mut other) = (0, 0);
    for end in ends {
        match end {
            Ok(Ok(())) => {}
            Ok(Err(Failure::SystemReset)) => reset += 1,
            _ => other += 1,
        }
    }
    let alive = setup.hosts.iter().all(|host| host.is_alive());
    lab.record.line(format!("{reset} of {FLOWS} open flows were reset by the system, {other} ended otherwise; hosts alive: {alive}"));
    match (reset, other) {
        (0, 0) => Outcome::Held,
        (0, _) => Outcome::NotRun("flows ended otherwise".to_owned()),
        _ => Outcome::Broken,
    }
}

// Sends requests on one flow until the end of the run.
fn keep_open(client: &Client, number: u16, begun: Instant) -> Result<(), Failure> {
    let mut flow = client.open(FIRST_PORT + number, route(1))?;
    let mut count = 0;
    while begun.elapsed() < OBSERVED {
        count += 1;
        flow.request(&format!("GET {number}-{count} 10"), LIMIT)?;
        flow.idle(Instant::now() + Duration::from_millis(400))?;
    }
    flow.close();
    Ok(())
}
