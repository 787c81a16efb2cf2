//! The operator's command-line tool.

mod args;
mod burn_report;
mod commands;
mod configuration;
mod document;
mod error;
mod evacuations;
mod exit_status;
mod fields;
mod output;
mod processes;
mod run;
mod session;
mod settings;

pub use exit_status::ExitStatus;
pub use run::run;
