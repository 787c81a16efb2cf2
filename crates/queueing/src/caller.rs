use std::fmt;
use std::net::{AddrParseError, Ipv4Addr};
use std::str::FromStr;

/// A caller among which slots are shared, identified by its address.
///
/// ```
/// use usher_queueing::Caller;
/// assert_eq!("100.64.0.7".parse::<Caller>()?.to_string(), "100.64.0.7");
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Caller(Ipv4Addr);

impl Caller {
    /// Stands for all callers where work is not shared by caller.
    pub const ANY: Self = Self(Ipv4Addr::UNSPECIFIED);

    /// The caller at an address.
    pub const fn new(address: Ipv4Addr) -> Self {
        Self(address)
    }
}

impl fmt::Display for Caller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Caller {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, AddrParseError> {
        text.parse().map(Self)
    }
}
