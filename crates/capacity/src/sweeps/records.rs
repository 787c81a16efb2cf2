use std::io;
use std::sync::Arc;

use usher_dedupe::{Agent, Ledger, LedgerEvent, Origin, RosterHistory};
use usher_types::{Completion, Outcome, Payload, Roster};

use super::service::claim;
use crate::{Point, meter, sample};

// A short answer like that to a booking request.
const ANSWER: &[u8] = br#"{"service":"booking-desk","booking":"1234567890"}"#;

pub(crate) fn measure(records: usize, point: &mut Point) -> io::Result<()> {
    let now = sample::START;
    let roster = Roster {
        earlier: Vec::new(),
        ..sample::roster(0, 1)
    };
    let agent = Agent {
        host: sample::host(0),
        incarnation: roster.members[0].incarnation,
    };
    let mut ledger = Ledger::new(agent, Origin::Created);
    let history = RosterHistory {
        roster: Arc::new(roster),
        earlier: Vec::new(),
        complete: true,
    };
    ledger.handle(now, LedgerEvent::Roster(history));
    let (nanos, bytes) = meter::memory_growth(|| {
        let ((), claim_nanos) = meter::time_once(|| {
            for key in 0..records {
                ledger.handle(now, LedgerEvent::Claim(claim(key, now)));
            }
        });
        let ((), complete_nanos) = meter::time_once(|| {
            for key in 0..records {
                ledger.handle(now, LedgerEvent::Completion(completion(key)));
            }
        });
        (claim_nanos, complete_nanos)
    })?;
    point.set("ledger_bytes", bytes);
    point.set("claim_ns", nanos.0 / records as f64);
    point.set("complete_ns", nanos.1 / records as f64);
    point.set("ledger_records", ledger.len() as f64);
    Ok(())
}

fn completion(key: usize) -> Completion {
    let claim = claim(key, sample::START);
    Completion {
        key: claim.key,
        holder: claim.holder,
        incarnation: claim.incarnation,
        sent: claim.sent,
        reply: claim.reply,
        outcome: Outcome::Answered(Payload::from(ANSWER)),
    }
}
