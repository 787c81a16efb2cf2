use thiserror::Error;
use usher_types::ParseError;

/// Why a scenario cannot be run.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ScenarioError {
    /// The line is no statement of the language.
    #[error("MU-9001: {file}:{line}: unknown statement {text:?}")]
    Statement {
        /// The file.
        file: String,
        /// Number of the line, from 1.
        line: usize,
        /// The line.
        text: String,
    },
    /// A name, number or time span is malformed.
    #[error("MU-9002: {file}:{line}: {cause}")]
    Value {
        /// The file.
        file: String,
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        cause: String,
    },
    /// A statement names a service that no earlier line declares.
    #[error("MU-9003: {file}:{line}: unknown service {name}")]
    Service {
        /// The file.
        file: String,
        /// Number of the line, from 1.
        line: usize,
        /// The name.
        name: String,
    },
    /// An expectation names a figure that no run measures.
    #[error("MU-9004: {file}:{line}: unknown figure {name:?}")]
    Figure {
        /// The file.
        file: String,
        /// Number of the line, from 1.
        line: usize,
        /// The name.
        name: String,
    },
}

/// Why one line cannot be read; the file and the line number are added later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Cause {
    Statement,
    Value(String),
}

impl From<ParseError> for Cause {
    fn from(error: ParseError) -> Self {
        Self::Value(error.to_string())
    }
}
