use thiserror::Error;
use usher_types::ParseError;

/// Error in the text of a scenario.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ScenarioError {
    /// The line is not a statement of the scenario language.
    #[error("MU-9001: {file}:{line}: unknown statement {text:?}")]
    Statement {
        /// Name of the file.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// Text of the line.
        text: String,
    },
    /// A name, number or time span is malformed.
    #[error("MU-9002: {file}:{line}: {cause}")]
    Value {
        /// Name of the file.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// Description of the malformed value.
        cause: String,
    },
    /// A statement names a service that no earlier line declares.
    #[error("MU-9003: {file}:{line}: unknown service {name}")]
    Service {
        /// Name of the file.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// Name of the service.
        name: String,
    },
    /// An expectation names a figure that no run measures.
    #[error("MU-9004: {file}:{line}: unknown figure {name:?}")]
    Figure {
        /// Name of the file.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// Name of the figure.
        name: String,
    },
}

/// Reason why one line cannot be parsed, without file and line number.
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
