//! FLOW: a heartbeat of another writer, with a field missing, reaches an agent whose host lives.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Outcome;
use crate::client::Failure;
use crate::http;
use crate::json::Json;
use crate::lab::Lab;
use crate::setup::{DESK, SHEETS, Setup, route};

const FLOWS: u16 = 8;
const LIMIT: Duration = Duration::from_secs(4);
const OBSERVED: Duration = Duration::from_secs(20);
const TROUBLE_AFTER: Duration = Duration::from_secs(8);

pub fn run(lab: &Lab, trouble: bool) -> Outcome {
    let routes = [(route(1), DESK), (route(9), SHEETS)];
    let setup = match Setup::start(lab, 2, 2, 1, &routes) {
        Ok(setup) => setup,
        Err(reason) => return Outcome::NotRun(reason),
    };
    let begun = Instant::now();
    let clients: Vec<_> = (0..FLOWS)
        .map(|number| {
            let client = setup.client.clone();
            thread::spawn(move || -> Result<(), Failure> {
                let mut flow = client.open(2_000 + number, route(1))?;
                let mut count = 0;
                while begun.elapsed() < OBSERVED {
                    count += 1;
                    flow.request(&format!("GET {number}-{count} 10"), LIMIT)?;
                    flow.idle(Instant::now() + Duration::from_millis(700))?;
                }
                flow.close();
                Ok(())
            })
        })
        .collect();
    thread::sleep(TROUBLE_AFTER);
    if trouble {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        for (host, odd) in setup.hosts.iter().zip(odd_fields()) {
            let mut fields = vec![
                ("service".to_owned(), Json::text(DESK)),
                ("capacity".to_owned(), Json::Number(4)),
                ("state".to_owned(), Json::text("ready")),
                ("sequence".to_owned(), Json::Number(1)),
                ("born".to_owned(), Json::Number(born as i64)),
            ];
            fields.extend(odd);
            let body = Json::Object(fields);
            let to = lab.address(host.machine, lab.ports.control);
            let status = http::call(to, "PUT", "/instances/other-writer", &body.to_string());
            lab.record.line(format!("another writer sends {body} to {to}: {status:?}"));
        }
    }
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

// The odd part of the heartbeats for the two hosts of the service: fields missing, or of another type.
fn odd_fields() -> [Vec<(String, Json)>; 2] {
    let wrong = [
        ("address", Json::Number(17)),
        ("zone", Json::Null),
        ("version", Json::Bool(false)),
        ("warmupLeftMs", Json::Number(0)),
    ];
    [Vec::new(), wrong.map(|(name, value)| (name.to_owned(), value)).into()]
}
