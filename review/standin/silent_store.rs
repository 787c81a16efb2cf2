//! CONFIG: the store is silent for two seconds while the balancers renew their watches; right after its
//! return a configuration is acknowledged.

use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::Failure;
use crate::lab::Lab;
use crate::setup::{DESK, SHEETS, Setup, route};

// Bounds of the pages.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const STABILITY_WINDOW: Duration = Duration::from_millis(4_000);
// A watch waits 10 s; the silence begins shortly before its end.
const SILENCE_AFTER: Duration = Duration::from_millis(9_800);
const SILENCE: Duration = Duration::from_millis(2_000);
const OBSERVED: Duration = Duration::from_secs(15);
const PAUSE: Duration = Duration::from_millis(200);
const LIMIT: Duration = Duration::from_secs(2);

pub fn run(lab: &Lab, trouble: bool) -> Outcome {
    let (kept, dropped, added) = (route(1), route(2), route(3));
    let sheets = (route(9), SHEETS);
    let before = [(kept, DESK), (dropped, DESK), sheets];
    let setup = match Setup::start(lab, 3, 2, 1, &before) {
        Ok(setup) => setup,
        Err(reason) => return Outcome::NotRun(reason),
    };
    // Ends the watches of all balancers, which begin new ones.
    setup.store.configure(5, &before);
    let begun = Instant::now();
    lab.record.line("version 5 acknowledged");
    let mut port = 1_000;
    let mut get = |address| {
        port += 1;
        let sent = Instant::now();
        let outcome = setup.client.open(port, address).and_then(|mut flow| {
            let answer = flow.request(&format!("GET {port} 0"), LIMIT);
            flow.close();
            answer
        });
        (sent, outcome)
    };
    while begun.elapsed() < SILENCE_AFTER {
        for address in [kept, dropped] {
            if let (_, Err(failure)) = get(address) {
                return Outcome::NotRun(format!("a request fails before the disruption: {failure:?}"));
            }
        }
        thread::sleep(PAUSE);
    }
    if trouble {
        lab.record.line("the store is silent");
        setup.store.set_silent(true);
    }
    thread::sleep(SILENCE);
    setup.store.set_silent(false);
    let back = Instant::now();
    lab.record.line("the store answers");
    thread::sleep(Duration::from_millis(100));
    setup.store.configure(7, &[(kept, DESK), (added, DESK), sheets]);
    let acknowledged = Instant::now();
    lab.record.line("version 7 acknowledged: it drops 198.18.0.2 and adds 198.18.0.3");
    let mut bound = acknowledged + CONFIG_APPLY;
    if trouble {
        bound = bound.max(back + STABILITY_WINDOW);
    }
    let (mut ran, mut refused, mut last) = (0, 0, None);
    while acknowledged.elapsed() < OBSERVED {
        for address in [kept, dropped, added] {
            let (sent, outcome) = get(address);
            if sent <= bound {
                continue;
            }
            let stale = match (&outcome, address) {
                (Ok(_), address) if address == dropped => &mut ran,
                (Err(Failure::SystemReset), address) if address == added => &mut refused,
                _ => continue,
            };
            *stale += 1;
            last = Some(sent - acknowledged);
        }
        thread::sleep(PAUSE);
    }
    let last = last.map_or(0.0, |last| last.as_secs_f64());
    lab.record.line(format!(
        "sent after the bound: {ran} ran with the dropped route, {refused} were refused on the added one; \
         the last was sent {last:.1} s after the acknowledgement"
    ));
    if ran + refused > 0 { Outcome::Broken } else { Outcome::Held }
}
