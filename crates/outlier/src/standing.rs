use std::fmt;

/// Whether a host may get new flows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Standing {
    /// Like any other host.
    #[default]
    Watched,
    /// None.
    Ejected,
    /// A few, to find out whether it has recovered.
    Trial,
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Watched => "watched",
            Self::Ejected => "ejected",
            Self::Trial => "trial",
        })
    }
}
