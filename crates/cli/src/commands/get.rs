use argh::FromArgs;
use serde_json::json;
use usher_config::{Diff, Kind, ObjectKey, ObjectName};

use crate::error::CliError;
use crate::output::{Output, table};
use crate::session::Session;

/// Shows one object.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "get",
    example = "{command_name} fast",
    example = "{command_name} fast --json > fast.json"
)]
pub(crate) struct Get {
    /// name of the object
    #[argh(positional)]
    name: ObjectName,

    /// print JSON; `edit` takes it back
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Get {
    pub(crate) async fn run(self, session: &Session, kind: Kind) -> Result<Output, CliError> {
        let key = ObjectKey::new(kind, self.name);
        let Some(object) = session.get(&key).await? else {
            return Err(CliError::Missing(key));
        };
        let mut rows = vec![vec!["version".to_owned(), object.version.to_string()]];
        for change in Diff::new(None, object.value.as_ref()).fields {
            rows.push(vec![change.field, change.after.unwrap_or_default()]);
        }
        let value = object.value.as_ref().map(super::list::value_json);
        Ok(Output {
            text: table(&["FIELD", "VALUE"], &rows),
            json: json!({
                "kind": kind,
                "name": key.name,
                "version": object.version,
                "value": value,
            }),
        })
    }
}
