use std::fmt;
use std::net::Ipv4Addr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

// 2^32 over the golden ratio; as an odd number it maps no two addresses to one.
const SCATTER_FACTOR: u32 = 0x9e37_79b1;

/// A balancer or agent, identified by the address of its machine.
///
/// ```
/// use usher_forwarding::NodeId;
/// let node: NodeId = "10.1.0.10".parse()?;
/// assert_eq!(node.to_string(), "10.1.0.10");
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(Ipv4Addr);

impl NodeId {
    /// No node; a placeholder.
    pub const NONE: Self = Self(Ipv4Addr::UNSPECIFIED);

    /// The process at an address.
    pub const fn new(address: Ipv4Addr) -> Self {
        Self(address)
    }

    /// The machine's address.
    pub const fn address(self) -> Ipv4Addr {
        self.0
    }

    /// A number for the address that is far from those of its neighbours.
    ///
    /// ```
    /// use usher_forwarding::NodeId;
    /// let (a, b): (NodeId, NodeId) = ("10.1.0.10".parse()?, "10.1.0.11".parse()?);
    /// assert!(a.scattered().abs_diff(b.scattered()) > u32::MAX / 4);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn scattered(self) -> u32 {
        u32::from(self.0).wrapping_mul(SCATTER_FACTOR)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for NodeId {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
