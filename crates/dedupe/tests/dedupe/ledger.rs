//! One ledger against scripted events from `data/ledger.json`.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use usher_dedupe::{
    Coverage, Ledger, LedgerAction, LedgerEvent, Origin, Record, RosterHistory, State, Transfer,
    owner_of,
};
use usher_types::{
    Attempt, BeatAck, Claim, Completion, Decision, HostId, Outcome, PastRoster, Peer, RequestKey,
    Roster, Span, Version,
};

use crate::fixture::{self, START, address, agent, outcome};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    guards: String,
    created: bool,
    /// Hosts with their incarnation by roster version; the ledger under test is h0#1.
    rosters: BTreeMap<u64, Vec<String>>,
    /// Owners of the key under test by roster version.
    owners: BTreeMap<u64, String>,
    steps: Vec<(Span, Step, String)>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Step {
    Roster {
        version: u64,
        earlier: Vec<u64>,
        complete: bool,
    },
    Ack {
        from: HostId,
        roster: u64,
        sent: Span,
    },
    Adopted {
        host: HostId,
        roster: u64,
    },
    Confirmed(u64),
    Claim {
        holder: String,
        sent: Span,
        age: Span,
        attempt: u16,
    },
    Complete {
        holder: String,
        sent: Span,
        outcome: String,
    },
    Takeover {
        from: String,
        roster: u64,
        covers: Vec<(u64, String)>,
        record: Option<(String, String, Span)>,
        since: Option<Span>,
        rosters: Vec<u64>,
    },
    TookOver {
        from: HostId,
        roster: u64,
    },
    Drain,
    Tick,
}

fn state(kind: &str, holder: &str, sent: Span) -> State {
    let holder = agent(holder);
    let sent = START + sent;
    match kind {
        "granted" => State::Granted {
            holder,
            sent,
            span: Span::from_secs(3),
            attempt: Attempt::new(1),
        },
        "released" => State::Released {
            holder,
            sent,
            attempt: Attempt::new(1),
        },
        "finished" => State::Finished(outcome("answered")),
        _ => panic!("unknown state {kind}"),
    }
}

impl Case {
    fn roster(&self, version: u64) -> Arc<Roster> {
        fixture::roster(version, &self.rosters[&version])
    }

    fn past(&self, version: u64) -> PastRoster {
        let members = self.roster(version).members.clone();
        PastRoster {
            version: Version::new(version),
            members,
        }
    }

    fn key(&self) -> RequestKey {
        let owned = |key: &RequestKey| {
            let mut owners = self.owners.iter();
            owners.all(|(version, owner)| {
                owner_of(&self.roster(*version), *key) == Some(agent(owner))
            })
        };
        let mut keys = (1..100_000).map(RequestKey::new);
        keys.find(owned).expect("a key with these owners")
    }

    fn event(&self, key: RequestKey, step: &Step) -> LedgerEvent {
        match step {
            Step::Roster {
                version,
                earlier,
                complete,
            } => LedgerEvent::Roster(RosterHistory {
                roster: self.roster(*version),
                earlier: earlier
                    .iter()
                    .map(|version| self.roster(*version))
                    .collect(),
                complete: *complete,
            }),
            Step::Ack { from, roster, sent } => LedgerEvent::Ack(BeatAck {
                from: Peer::Host(from.clone()),
                roster: Version::new(*roster),
                revision: Version::default(),
                sent: START + *sent,
            }),
            Step::Adopted { host, roster } => LedgerEvent::Adopted {
                host: host.clone(),
                roster: Version::new(*roster),
            },
            Step::Confirmed(version) => LedgerEvent::Confirmed(Version::new(*version)),
            Step::Claim {
                holder,
                sent,
                age,
                attempt,
            } => LedgerEvent::Claim(Claim {
                key,
                attempt: Attempt::new(*attempt),
                age: *age,
                holder: agent(holder).host,
                incarnation: agent(holder).incarnation,
                reply: address(&agent("h0#1").host),
                roster: Version::default(),
                sent: START + *sent,
            }),
            Step::Complete {
                holder,
                sent,
                outcome: text,
            } => LedgerEvent::Completion(Completion {
                key,
                holder: agent(holder).host,
                incarnation: agent(holder).incarnation,
                sent: START + *sent,
                reply: address(&agent("h0#1").host),
                outcome: outcome(text),
            }),
            Step::Takeover {
                from,
                roster,
                covers,
                record,
                since,
                rosters,
            } => {
                let to = agent("h0#1");
                let version = Version::new(*roster);
                let cover = |(roster, owner): &(u64, String)| Coverage {
                    roster: Version::new(*roster),
                    owner: agent(owner),
                    path: vec![(version, to.clone())],
                };
                let record = record.as_ref().map(|(kind, holder, sent)| {
                    let state = state(kind, holder, *sent);
                    (
                        key,
                        Record {
                            state,
                            elapsed: Span::ZERO,
                        },
                    )
                });
                LedgerEvent::Takeover(Transfer {
                    from: agent(from),
                    to: to.clone(),
                    roster: version,
                    coverage: covers.iter().map(cover).collect(),
                    rosters: rosters.iter().map(|past| self.past(*past)).collect(),
                    since: *since,
                    records: record.into_iter().collect(),
                })
            }
            Step::TookOver { from, roster } => LedgerEvent::TakeoverAcked {
                from: from.clone(),
                roster: Version::new(*roster),
            },
            Step::Drain => LedgerEvent::Drain,
            Step::Tick => LedgerEvent::Tick,
        }
    }
}

fn describe(action: &LedgerAction) -> Option<String> {
    Some(match action {
        LedgerAction::ClaimReply { claim_reply, .. } => match &claim_reply.decision {
            Decision::Granted(span) => format!("granted {span}"),
            Decision::Finished(Outcome::NotRun { .. }) => "refused".to_owned(),
            Decision::Finished(_) => "finished".to_owned(),
            Decision::Running => "running".to_owned(),
            Decision::Unknown => "unknown".to_owned(),
            Decision::Wait(_) => "wait".to_owned(),
            Decision::NotOwner(version) => format!("not owner {version}"),
        },
        LedgerAction::CompletionAck { .. } => "completed".to_owned(),
        LedgerAction::Handover { to, transfer } => {
            format!("handover {to} {} records", transfer.records.len())
        }
        LedgerAction::Acknowledge { to, .. } => format!("acknowledge {to}"),
        LedgerAction::Drained => "drained".to_owned(),
        LedgerAction::Count(_) => return None,
    })
}

/// Guards against the fault that each case of the table names.
#[test]
fn ledger_follows_the_table() {
    let cases: Vec<Case> =
        serde_json::from_str(include_str!("data/ledger.json")).expect("valid cases");
    for case in cases {
        let key = case.key();
        let origin = if case.created {
            Origin::Created
        } else {
            Origin::Joined
        };
        let mut ledger = Ledger::new(agent("h0#1"), origin);
        for (index, (at, step, expected)) in case.steps.iter().enumerate() {
            let actions = ledger.handle(START + *at, case.event(key, step));
            let seen: Vec<String> = actions.iter().filter_map(describe).collect();
            assert_eq!(seen.join(", "), *expected, "{}, step {index}", case.guards);
        }
    }
}
