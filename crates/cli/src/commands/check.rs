use std::fs;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::json;
use usher_config::{Cache, check};
use usher_daemon::Settings;

use crate::document::Document;
use crate::error::CliError;
use crate::output::Output;
use crate::session::change;

// Start of a placeholder in a template of settings.
const PLACEHOLDER_START: &str = "{{";

/// Checks a file for `apply`, or the settings of a process, without a store.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} riga.json",
    note = "The file has to be complete in itself: profiles that its services select have to be in it. `apply` also checks it against the objects in the store."
)]
pub(crate) struct Check {
    /// JSON file with profiles and services, INI file of a balancer or agent, or a template of one
    #[argh(positional)]
    file: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Check {
    pub(crate) fn run(self) -> Result<Output, CliError> {
        if self
            .file
            .extension()
            .is_some_and(|extension| extension == "ini")
        {
            return self.check_settings();
        }
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

    fn check_settings(&self) -> Result<Output, CliError> {
        let text = fs::read_to_string(&self.file).map_err(|cause| CliError::File {
            path: self.file.clone(),
            cause: cause.to_string(),
        })?;
        let file_kind = if text.contains(PLACEHOLDER_START) {
            usher_node::Settings::check_template(&self.file)?;
            "template"
        } else {
            Settings::load(&self.file)?;
            "settings"
        };
        Ok(Output {
            text: format!("{}: {file_kind}, no fault\n", self.file.display()),
            json: json!({ file_kind: self.file, "faults": [] }),
        })
    }
}
