use argh::FromArgs;
use serde_json::{Value as Json, json};
use usher_config::{Kind, Object, Value};

use crate::error::CliError;
use crate::output::{Output, table};
use crate::session::Session;

/// Shows all objects of the kind.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list", example = "{command_name} --json")]
pub(crate) struct List {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl List {
    pub(crate) async fn run(self, session: &Session, kind: Kind) -> Result<Output, CliError> {
        let cache = session.load().await?;
        let rows: Vec<Vec<String>> = cache.list(kind).map(row).collect();
        let objects: Vec<Json> = cache.list(kind).map(object_json).collect();
        let heading: &[&str] = match kind {
            Kind::Service => &["NAME", "VERSION", "ADDRESS", "PROFILE", "GENERATION"],
            _ => &["NAME", "VERSION", "BUCKETS", "HUNT", "DEADLINE", "ATTEMPTS"],
        };
        Ok(Output {
            text: table(heading, &rows),
            json: json!({ "objects": objects }),
        })
    }
}

fn row(object: &Object) -> Vec<String> {
    let mut row = vec![object.name.to_string(), object.version.to_string()];
    match &object.value {
        Some(Value::Service(service)) => row.extend([
            service.address.to_string(),
            service.profile.to_string(),
            service.generation.to_string(),
        ]),
        Some(Value::Profile(profile)) => row.extend([
            profile.buckets.to_string(),
            profile.hunt.to_string(),
            profile.deadline.to_string(),
            profile.attempts.to_string(),
        ]),
        _ => {}
    }
    row
}

fn object_json(object: &Object) -> Json {
    let value = object.value.as_ref().map(value_json);
    json!({ "name": object.name, "version": object.version, "value": value })
}

/// JSON of a value, in the form in which the store keeps it.
pub(crate) fn value_json(value: &Value) -> Json {
    match value {
        Value::Profile(profile) => json!(profile),
        Value::Service(service) => json!(service),
        Value::Roster(roster) => json!(roster),
        Value::Fleet(fleet) => json!(fleet),
        Value::Lease(lease) => json!(lease),
    }
}
