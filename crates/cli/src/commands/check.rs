use std::fs;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use serde_json::json;
use usher_config::{Cache, check};
use usher_daemon::Settings;
use usher_platform::is_configuration;

use crate::configuration::check_configuration;
use crate::document::Document;
use crate::error::CliError;
use crate::output::Output;
use crate::session::change;

// Start of a placeholder in a template of settings.
const PLACEHOLDER_START: &str = "{{";

/// Checks a file for `apply`, a platform's configuration, or the settings of a process, without a store.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} riga.json",
    note = "The file has to be complete in itself: profiles that its services select have to be in it. `apply` also checks it against the objects in the store."
)]
pub(crate) struct Check {
    /// JSON file with profiles and services or with routes, INI file of a balancer or agent, or a
    /// template of one
    #[argh(positional)]
    file: PathBuf,

    /// configuration document in force, to show what the file changes in it
    #[argh(option, arg_name = "document")]
    in_force: Option<PathBuf>,

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
            self.refuse_comparison()?;
            return self.check_settings();
        }
        let text = read_text(&self.file)?;
        if is_configuration(&text) {
            let in_force = self.in_force.as_deref().map(read_text).transpose()?;
            return check_configuration(&text, in_force.as_deref());
        }
        self.refuse_comparison()?;
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

    // Other files have no document in force to compare with.
    fn refuse_comparison(&self) -> Result<(), CliError> {
        if self.in_force.is_none() {
            return Ok(());
        }
        Err(CliError::File {
            path: self.file.clone(),
            cause: "`--in-force` needs a configuration document, which has `routes`".to_owned(),
        })
    }

    fn check_settings(&self) -> Result<Output, CliError> {
        let text = read_text(&self.file)?;
        let file = self.file.display();
        if text.contains(PLACEHOLDER_START) {
            let unfilled = usher_node::Settings::check_template(&self.file)?;
            let defaults = if unfilled.is_empty() {
                String::new()
            } else {
                let keys = unfilled.join(", ");
                format!("defaults hold on a platform of the first release: {keys}\n")
            };
            return Ok(Output {
                text: format!("{file}: template, no fault\n{defaults}"),
                json: json!({ "template": self.file, "faults": [], "defaults": unfilled }),
            });
        }
        Settings::load(&self.file)?;
        Ok(Output {
            text: format!("{file}: settings, no fault\n"),
            json: json!({ "settings": self.file, "faults": [] }),
        })
    }
}

fn read_text(file: &Path) -> Result<String, CliError> {
    fs::read_to_string(file).map_err(|cause| CliError::File {
        path: file.to_owned(),
        cause: cause.to_string(),
    })
}
