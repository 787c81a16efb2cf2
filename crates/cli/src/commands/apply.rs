use std::path::PathBuf;

use argh::FromArgs;
use usher_types::Span;

use crate::document::Document;
use crate::error::CliError;
use crate::output::Output;
use crate::processes::{await_rollout, newest_version};
use crate::session::{Session, change};

const DEFAULT_LIMIT: Span = Span::from_secs(10);

/// Creates or changes all profiles and services of a file.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "{command_name} riga.json",
    note = "The file has the form {{\"profiles\": {{NAME: VALUE}}, \"services\": {{NAME: VALUE}}}}. It is checked as a whole before the first write; a fault anywhere in it writes nothing. Objects that the file does not name are kept.",
    note = "With --wait, the command ends when every live process has the configuration in force, or with status 4 and the names of those that do not.",
    note = "Objects are written one after the other, profiles first, each on condition of the version that was read. If a later write loses a race, the command stops there with status 3: earlier writes stay in force, the conflicting object and all later ones are not written, and the error names both. Objects already written are skipped when the command is run again."
)]
pub(crate) struct Apply {
    /// JSON file with profiles and services
    #[argh(positional)]
    file: PathBuf,

    /// wait until it is in force in every process
    #[argh(switch)]
    wait: bool,

    /// longest time to wait
    #[argh(option, default = "DEFAULT_LIMIT")]
    limit: Span,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Apply {
    pub(crate) async fn run(self, session: &Session) -> Result<Output, CliError> {
        let values = Document::read(&self.file)?.into_values();
        let cache = session.load().await?;
        let changes = values.into_iter().map(|(key, value)| {
            let stored = cache.get(&key);
            change(key, stored, Some(value))
        });
        let changes = changes.collect();
        let output = session.commit(&cache, changes).await?;
        if self.wait {
            let target = newest_version(session.store()).await?;
            await_rollout(session.store(), target, self.limit).await?;
        }
        Ok(output)
    }
}
