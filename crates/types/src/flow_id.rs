use std::fmt;
use std::net::SocketAddrV4;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

const FORMAT: &str = "caller-address:port>service-address:port#nonce";

/// Identity of a flow: both addresses and the caller's nonce.
///
/// The nonce distinguishes a connection from an earlier one with the same addresses.
///
/// ```
/// let flow: usher_types::FlowId = "10.0.0.1:4000>192.0.2.1:80#7".parse()?;
/// assert_eq!(flow.nonce, 7);
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FlowId {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the service.
    pub service: SocketAddrV4,
    /// Chosen by the caller for each connection.
    pub nonce: u32,
}

impl fmt::Display for FlowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}#{}", self.caller, self.service, self.nonce)
    }
}

impl FromStr for FlowId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parse = || {
            let (caller, rest) = text.split_once('>')?;
            let (service, nonce) = rest.split_once('#')?;
            Some(Self {
                caller: caller.parse().ok()?,
                service: service.parse().ok()?,
                nonce: nonce.parse().ok()?,
            })
        };
        parse().ok_or_else(|| ParseError::new("flow id", text, FORMAT))
    }
}
