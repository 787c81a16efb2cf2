use std::fmt;

/// In what a host differs from the others of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It fails a larger share of its requests.
    Failing,
    /// It takes a multiple of their time.
    Slow,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failing => "failing",
            Self::Slow => "slow",
        })
    }
}
