use serde_json::{Value as Json, json};
use usher_lint::{Change, Fault, Level, check, check_order, compare};
use usher_platform::decode_draft;

use crate::error::CliError;
use crate::output::Output;

/// Checks a configuration document, and compares it with the one in force if that is given.
pub(crate) fn check_configuration(text: &str, in_force: Option<&str>) -> Result<Output, CliError> {
    let draft = decode_draft(text)?;
    let in_force = in_force.map(decode_draft).transpose()?;
    let mut faults = check(&draft);
    let mut changes = None;
    if let Some(in_force) = &in_force {
        faults.extend(check_order(in_force, &draft));
        changes = Some(compare(in_force, &draft));
    }
    let entries = (draft.routes.len(), draft.services.len());
    let output = Output {
        text: format_text(entries, &faults, changes.as_deref()),
        json: format_json(entries, &faults, changes.as_deref()),
    };
    if faults.iter().any(|fault| fault.level() == Level::Error) {
        return Err(CliError::FaultyDocument(Box::new(output)));
    }
    Ok(output)
}

fn format_text(
    (routes, services): (usize, usize),
    faults: &[Fault],
    changes: Option<&[Change]>,
) -> String {
    let mut lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{}: {fault}", fault.level().as_str()))
        .collect();
    let count = match faults.len() {
        0 => "no fault".to_owned(),
        1 => "1 fault".to_owned(),
        count => format!("{count} faults"),
    };
    lines.push(format!("{routes} routes, {services} services, {count}"));
    match changes {
        None => {}
        Some([]) => lines.push("no change".to_owned()),
        Some(changes) => lines.extend(changes.iter().map(ToString::to_string)),
    }
    lines.join("\n") + "\n"
}

fn format_json(
    (routes, services): (usize, usize),
    faults: &[Fault],
    changes: Option<&[Change]>,
) -> Json {
    let faults: Vec<Json> = faults
        .iter()
        .map(|fault| {
            let message = fault.to_string();
            let code = message.split(':').next().unwrap_or_default();
            json!({ "code": code, "level": fault.level(), "message": message })
        })
        .collect();
    json!({ "routes": routes, "services": services, "faults": faults, "changes": changes })
}
