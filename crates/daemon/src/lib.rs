//! Settings, logs and arguments of `marigoldusherd`.

mod args;
mod error;
mod key;
mod logs;
mod section;
mod settings;

pub use args::{Args, EXIT_USAGE};
pub use error::SettingsError;
pub use key::{DefaultValue, KEYS, Key, Scope};
pub use logs::start as start_logs;
pub use settings::{Role, Settings};
