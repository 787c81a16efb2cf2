use std::path::PathBuf;

use miette::Diagnostic;
use thiserror::Error;

/// An error in a settings file; the daemon exits with status 2.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("MU-7001: cannot read settings file {}: {reason}", file.display())]
    #[diagnostic(help("give the path of an existing INI file with --settings"))]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system or of the parser.
        reason: String,
    },
    /// A section that no role reads.
    #[error("MU-7002: {}: unknown section [{section}]", file.display())]
    #[diagnostic(help("sections are [process], [balancer], [agent], [log] and [metrics]"))]
    Section {
        /// Path of the file.
        file: PathBuf,
        /// Name of the section.
        section: String,
    },
    /// A key that the section does not have.
    #[error("MU-7003: {}: [{section}] has an unknown key '{key}'", file.display())]
    #[diagnostic(help("docs/settings.md lists the keys of each section"))]
    Key {
        /// Path of the file.
        file: PathBuf,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
    },
    /// A required key that is absent.
    #[error("MU-7004: {}: [{section}] lacks '{key}': {allowed}", file.display())]
    #[diagnostic(help("docs/settings.md lists the keys of each section"))]
    Missing {
        /// Path of the file.
        file: PathBuf,
        /// Name of the section.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// Values that the key accepts.
        allowed: &'static str,
    },
    /// A value that the key does not accept.
    #[error("MU-7005: {}: [{section}] {key} = '{value}': expected {allowed}", file.display())]
    #[diagnostic(help("correct the value and start the process again"))]
    Value {
        /// Path of the file.
        file: PathBuf,
        /// Name of the section.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// The value in the file.
        value: String,
        /// Values that the key accepts.
        allowed: &'static str,
    },
    /// A section or key that occurs more than once.
    #[error("MU-7007: {}: {place} occurs more than once", file.display())]
    #[diagnostic(help("keep one of them and start the process again"))]
    Repeated {
        /// Path of the file.
        file: PathBuf,
        /// The section, and the key if it is repeated within its section.
        place: String,
    },
}
