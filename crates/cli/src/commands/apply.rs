use std::path::PathBuf;

use argh::FromArgs;

use crate::document::Document;
use crate::error::CliError;
use crate::output::Output;
use crate::session::{Session, change};

/// Creates or changes all profiles and services of a file.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "{command_name} riga.json",
    note = "The file has the form {{\"profiles\": {{NAME: VALUE}}, \"services\": {{NAME: VALUE}}}}. It is checked as a whole before the first write; a fault anywhere in it writes nothing. Objects that the file does not name are kept.",
    note = "Objects are written one after the other, profiles first, each on condition of the version that was read. If a later write loses a race, the command stops there with status 3: earlier writes stay in force, the conflicting object and all later ones are not written, and the error names both. Objects already written are skipped when the command is run again."
)]
pub(crate) struct Apply {
    /// JSON file with profiles and services
    #[argh(positional)]
    file: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Apply {
    pub(crate) async fn run(self, session: &Session) -> Result<Output, CliError> {
        let values = Document::read(&self.file)?.into_values();
        let cache = session.load().await?;
        let changes = values.into_iter().map(|(key, value)| {
            let read = cache.get(&key);
            change(key, read, Some(value))
        });
        let changes = changes.collect();
        session.commit(&cache, changes).await
    }
}
