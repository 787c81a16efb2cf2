//! One claimant against scripted events from `data/claimant.json`.

use serde::Deserialize;
use usher_dedupe::{Claimant, ClaimantAction, ClaimantEvent};
use usher_types::{
    Attempt, ClaimReply, CompletionAck, Decision, HostId, Outcome, RequestKey, Span, Version,
};

use crate::fixture::{START, address, agent, index, outcome, roster};

const KEY: RequestKey = RequestKey::new(7);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    guards: String,
    steps: Vec<(Span, Step, String)>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Step {
    Roster { version: u64, owner: HostId },
    Ask { age: Span, deadline: Span },
    Reply { sent: Span, decision: String },
    Report(String),
    Completed { sent: Span },
    Tick,
}

fn decision(text: &str) -> Decision {
    match text {
        "granted" => Decision::Granted(Span::from_secs(3)),
        "finished" => Decision::Finished(outcome("answered")),
        "running" => Decision::Running,
        "unknown" => Decision::Unknown,
        "wait" => Decision::Wait(Span::from_secs(2)),
        "not-owner" => Decision::NotOwner(Version::new(1)),
        _ => panic!("unknown decision {text}"),
    }
}

fn event(step: &Step) -> ClaimantEvent {
    let key = KEY;
    match step {
        Step::Roster { version, owner } => {
            ClaimantEvent::Roster(roster(*version, &[format!("{owner}#1")]))
        }
        Step::Ask { age, deadline } => ClaimantEvent::Acquire {
            key,
            attempt: Attempt::new(1),
            age: *age,
            deadline: START + *deadline,
        },
        Step::Reply {
            sent,
            decision: text,
        } => ClaimantEvent::ClaimReply(ClaimReply {
            key,
            sent: START + *sent,
            decision: decision(text),
        }),
        Step::Report(text) => ClaimantEvent::Report {
            key,
            outcome: outcome(text),
        },
        Step::Completed { sent } => ClaimantEvent::CompletionAck(CompletionAck {
            key,
            sent: START + *sent,
        }),
        Step::Tick => ClaimantEvent::Tick,
    }
}

fn describe(action: &ClaimantAction) -> String {
    let name = |outcome: &Outcome| match outcome {
        Outcome::Answered(_) | Outcome::Failed(_) => "answered",
        Outcome::NotRun { .. } => "not-run",
        Outcome::Unknown => "unknown",
    };
    match action {
        ClaimantAction::Claim { to, claim } => {
            format!(
                "claim {} sent {} age {}",
                index(*to),
                claim.sent - START,
                claim.age
            )
        }
        ClaimantAction::Completion { to, completion } => {
            let sent = completion.sent - START;
            format!(
                "complete {} sent {sent} {}",
                index(*to),
                name(&completion.outcome)
            )
        }
        ClaimantAction::Permit { start_by, .. } => format!("permit {}", *start_by - START),
        ClaimantAction::Settled { outcome, .. } => format!("settled {}", name(outcome)),
        ClaimantAction::Running { .. } => "running".to_owned(),
        ClaimantAction::Denied { .. } => "denied".to_owned(),
    }
}

/// Guards against the fault that each case of the table names.
#[test]
fn claimant_follows_the_table() {
    let cases: Vec<Case> =
        serde_json::from_str(include_str!("data/claimant.json")).expect("valid cases");
    for case in cases {
        let agent = agent("h0#1");
        let mut claimant = Claimant::new(agent.clone(), address(&agent.host));
        for (index, (at, step, expected)) in case.steps.iter().enumerate() {
            let actions = claimant.handle(START + *at, event(step));
            let seen: Vec<String> = actions.iter().map(describe).collect();
            assert_eq!(seen.join(", "), *expected, "{}, step {index}", case.guards);
        }
    }
}
