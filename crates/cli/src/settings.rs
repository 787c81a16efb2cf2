use std::fs;
use std::net::SocketAddrV4;
use std::path::Path;

use serde::Deserialize;

use crate::error::CliError;

/// The part of a settings file that the tool reads; other sections belong to the daemon.
#[derive(Debug, Deserialize)]
pub(crate) struct Settings {
    pub(crate) store: StoreSection,
}

#[derive(Debug, Deserialize)]
pub(crate) struct StoreSection {
    pub(crate) address: SocketAddrV4,
}

impl Settings {
    pub(crate) fn read(path: &Path) -> Result<Self, CliError> {
        let file_error = |cause: String| CliError::File {
            path: path.to_owned(),
            cause,
        };
        let text = fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
        serde_ini::from_str(&text).map_err(|error| file_error(error.to_string()))
    }
}
