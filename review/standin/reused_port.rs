//! DRAIN: clients use the ports of given-up flows again while the host of those flows is leaving.

use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::Failure;
use crate::lab::Lab;
use crate::setup::{DESK, SHEETS, Setup, route};

const DRAIN_BOUND: Duration = Duration::from_millis(3_000);
const FLOWS: u16 = 12;
const FIRST_PORT: u16 = 3_000;
// The host works longer on these requests than their client waits.
const WORK_MS: u32 = 3_000;
const DEADLINE: Duration = Duration::from_secs(2);
const LIMIT: Duration = Duration::from_secs(2);
// The host resends its answer for 10 s after its work; then the flow is idle for 15 s.
const REUSED_AFTER: Duration = Duration::from_millis(31_000);
const DRAIN_AFTER: Duration = Duration::from_millis(27_000);

pub fn run(lab: &Lab, trouble: bool) -> Outcome {
    let routes = [(route(1), DESK), (route(9), SHEETS)];
    let setup = match Setup::start(lab, 2, 6, 2, &routes) {
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
    let first = setup.arrivals.lock().unwrap().first().map(|arrival| arrival.host);
    let Some(leaving) = setup.hosts.iter().find(|host| Some(host.machine) == first) else {
        return Outcome::NotRun("no host took a flow".to_owned());
    };
    thread::sleep(DRAIN_AFTER.saturating_sub(begun.elapsed()));
    let mut acknowledged = None;
    if trouble {
        acknowledged = leaving.drain();
        if acknowledged.is_none() {
            return Outcome::NotRun("the leaving host got no acknowledgement".to_owned());
        }
    }
    thread::sleep(REUSED_AFTER.saturating_sub(begun.elapsed()));
    for number in 0..FLOWS {
        let outcome = setup.client.open(FIRST_PORT + number, route(1)).and_then(|mut flow| {
            let answer = flow.request(&format!("GET again-{number} 10"), LIMIT);
            flow.close();
            answer
        });
        lab.record.line(format!("the request on the reused port {}: {outcome:?}", FIRST_PORT + number));
    }
    if trouble {
        leaving.leave();
    }
    let arrivals = setup.arrivals.lock().unwrap();
    let late = acknowledged.map_or(0, |acknowledged| {
        let opening = arrivals.iter().filter(|arrival| arrival.opens && arrival.host == leaving.machine);
        opening.filter(|arrival| arrival.at > acknowledged + DRAIN_BOUND).count()
    });
    lab.record.line(format!("{late} opening packets reached the leaving host later than 3 s after the acknowledgement"));
    if late > 0 { Outcome::Broken } else { Outcome::Held }
}
