use serde::{Deserialize, Serialize};

use crate::{AgentMessage, Beat, BeatAck, Generation, Hint, Relay, ServiceName};

/// A message between agents and balancers, in one UDP datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A caller's packet, forwarded to an agent.
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
