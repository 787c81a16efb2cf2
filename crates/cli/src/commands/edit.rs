use std::path::PathBuf;

use argh::FromArgs;
use usher_config::{Diff, Kind, Object, ObjectKey, ObjectName};

use crate::document::Draft;
use crate::error::CliError;
use crate::output::Output;
use crate::session::{Session, change};

/// Writes back an object that `get --json` printed and that was edited since.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "edit",
    example = "{command_name} fast fast.json",
    note = "The file names the version that was read. If the object has changed since, nothing is overwritten and the difference is shown."
)]
pub(crate) struct Edit {
    /// name of the object
    #[argh(positional)]
    name: ObjectName,

    /// the edited output of `get --json`
    #[argh(positional)]
    file: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Edit {
    pub(crate) async fn run(self, session: &Session, kind: Kind) -> Result<Output, CliError> {
        let key = ObjectKey::new(kind, self.name);
        let draft = Draft::read(&self.file, &key)?;
        let Some(version) = draft.version else {
            return Err(CliError::File {
                path: self.file,
                cause: "there is no `version`; take the file from `get --json`".to_owned(),
            });
        };
        let cache = session.load().await?;
        let stored = cache.get(&key);
        let current = stored.filter(|object| object.value.is_some());
        if current.map(|object| object.version) != Some(version) {
            return Err(version_mismatch(key, version.to_string(), stored, &draft));
        }
        let change = change(key, stored, Some(draft.value));
        session.commit(&cache, vec![change]).await
    }
}

fn version_mismatch(
    key: ObjectKey,
    expected: String,
    stored: Option<&Object>,
    draft: &Draft,
) -> CliError {
    let current = stored.and_then(|object| object.value.as_ref());
    let found = stored.map_or_else(|| "none".to_owned(), |object| object.version.to_string());
    CliError::VersionMismatch {
        key,
        expected,
        found,
        diff: Diff::new(current, Some(&draft.value)).to_string(),
    }
}
