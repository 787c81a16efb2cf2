use std::path::PathBuf;

use argh::FromArgs;

/// Runs a balancer or an agent on the platform.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// settings file in INI format; without it, the file that the platform names in the environment
    #[argh(option)]
    pub settings: Option<PathBuf>,
}
