use std::process::ExitCode;

/// Exit status of the tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Ok = 0,
    /// Refused or failed.
    Failed = 1,
    /// The command line is not valid.
    Usage = 2,
    /// Another write came first.
    Conflict = 3,
    /// The outcome was not known in time.
    TimedOut = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
