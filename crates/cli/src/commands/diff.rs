use std::path::PathBuf;

use argh::FromArgs;
use serde_json::json;
use usher_config::{Diff, Kind, ObjectKey, ObjectName};

use crate::document::Draft;
use crate::error::CliError;
use crate::output::Output;
use crate::session::Session;

/// Shows what a file would change in an object.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff", example = "{command_name} fast fast.json")]
pub(crate) struct DiffFile {
    /// name of the object
    #[argh(positional)]
    name: ObjectName,

    /// JSON file with the value, or the output of `get --json`
    #[argh(positional)]
    file: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl DiffFile {
    pub(crate) async fn run(self, session: &Session, kind: Kind) -> Result<Output, CliError> {
        let key = ObjectKey::new(kind, self.name);
        let draft = Draft::read(&self.file, &key)?;
        let object = session.get(&key).await?;
        let current = object.as_ref().and_then(|object| object.value.as_ref());
        let diff = Diff::new(current, Some(&draft.value));
        Ok(Output {
            text: diff.to_string(),
            json: json!({ "object": key.to_string(), "fields": diff }),
        })
    }
}
