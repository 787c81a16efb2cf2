use thiserror::Error;

/// A text that is not a valid value of a core type (`MU-1001`).
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("MU-1001: '{text}' is not a valid {kind}: {expected}")]
pub struct ParseError {
    kind: &'static str,
    text: String,
    expected: &'static str,
}

impl ParseError {
    pub(crate) fn new(kind: &'static str, text: &str, expected: &'static str) -> Self {
        Self {
            kind,
            text: text.to_owned(),
            expected,
        }
    }

    /// The rule that the text breaks.
    ///
    /// ```
    /// let error = "Upper".parse::<usher_types::HostId>().unwrap_err();
    /// assert!(error.expected().contains("a-z"));
    /// ```
    pub fn expected(&self) -> &'static str {
        self.expected
    }
}
