use serde::{Deserialize, Serialize};
use usher_types::{Beat, BeatAck, Generation, Hint, Relay, ServiceName};

use crate::{AgentMessage, WireError};

// Raised when a message changes in a way that older processes cannot read.
const PROTOCOL: u8 = 1;

/// A message between two processes of the system, in one UDP datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// A caller's packet on its way to an agent.
    Relay(Relay),
    /// Tells a balancer which agent holds a flow.
    Hint(Hint),
    /// A heartbeat.
    Beat(Beat),
    /// Answer to a heartbeat.
    BeatAck(BeatAck),
    /// A message between two agents of one service.
    Agent {
        /// Service of the sender; an agent of another service drops the message.
        service: ServiceName,
        /// Generation of the service's address that the sender knows.
        generation: Generation,
        /// The message.
        message: AgentMessage,
    },
}

impl Datagram {
    /// Bytes of the datagram: the protocol version, then the message.
    ///
    /// # Errors
    /// Fails only when memory for the bytes cannot be had.
    ///
    /// ```
    /// use usher_types::Hint;
    /// use usher_wire::Datagram;
    /// let flow = "10.0.0.1:4000>192.0.2.1:80#7".parse().unwrap();
    /// let sent = Datagram::Hint(Hint { flow, holder: "127.0.0.1:9000".parse().unwrap() });
    /// assert_eq!(Datagram::decode(&sent.encode()?)?, sent);
    /// # Ok::<(), usher_wire::WireError>(())
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        postcard::to_extend(self, vec![PROTOCOL]).map_err(WireError::Datagram)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// Fails with [`WireError::Version`] or [`WireError::Datagram`] on malformed input.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        match bytes.split_first() {
            Some((&PROTOCOL, rest)) => postcard::from_bytes(rest).map_err(WireError::Datagram),
            Some((&other, _)) => Err(WireError::Version(other)),
            None => Err(WireError::Datagram(
                postcard::Error::DeserializeUnexpectedEnd,
            )),
        }
    }
}
