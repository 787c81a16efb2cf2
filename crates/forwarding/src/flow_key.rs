use std::fmt;
use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A flow, identified by its two endpoints. Displayed as `caller>address`.
///
/// ```
/// use usher_forwarding::FlowKey;
/// let flow = FlowKey {
///     caller: "100.64.0.7:40001".parse()?,
///     address: "198.18.0.1:443".parse()?,
/// };
/// assert_eq!(flow.to_string(), "100.64.0.7:40001>198.18.0.1:443");
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the route that the caller opened.
    pub address: SocketAddrV4,
}

impl FlowKey {
    /// A hash of both endpoints that is the same in every process.
    pub(crate) fn hash(&self, seed: u64) -> u64 {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.address.ip().octets());
        bytes[10..].copy_from_slice(&self.address.port().to_be_bytes());
        xxh3_64_with_seed(&bytes, seed)
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.address)
    }
}
