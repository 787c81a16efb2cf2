use std::path::PathBuf;

use argh::FromArgs;
use serde_json::json;
use usher_config::{Cache, check};

use crate::document::Document;
use crate::error::CliError;
use crate::output::Output;
use crate::session::change;

/// Checks a file for `apply` without a store.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} riga.json",
    note = "The file has to be complete in itself: profiles that its services select have to be in it. `apply` also checks it against the objects in the store."
)]
pub(crate) struct Check {
    /// JSON file with profiles and services
    #[argh(positional)]
    file: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Check {
    pub(crate) fn run(self) -> Result<Output, CliError> {
        let values = Document::read(&self.file)?.into_values();
        let changes = values
            .into_iter()
            .map(|(key, value)| change(key, None, Some(value)));
        let checked = check(&Cache::default(), changes.collect()).map_err(CliError::Refused)?;
        Ok(Output {
            text: format!("{} objects, no fault\n", checked.len()),
            json: json!({ "objects": checked.len(), "faults": [] }),
        })
    }
}
