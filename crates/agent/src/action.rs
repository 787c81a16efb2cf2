use std::net::SocketAddrV4;

use usher_types::{
    FlowId, HostId, Message, Outcome, Packet, Payload, RequestId, RequestKey, Time, Version,
};

/// Output of an agent: work for the runtime.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a message to another process.
    Send {
        /// Address of the receiver.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Sends a packet to its caller through the fabric.
    Packet(Packet),
    /// Delivers a whole message from a caller; answered by `Event::Request` or `Event::Reply`.
    Deliver {
        /// Identifies the flow and the message in it.
        id: RequestId,
        /// The whole message.
        bytes: Vec<u8>,
    },
    /// Encodes the outcome for the caller; answered by `Event::Reply`.
    Answer {
        /// The request.
        id: RequestId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// Runs a request; answered by `Event::Finished`, `Event::Refused` or `Event::Lost`.
    Run {
        /// The request.
        id: RequestId,
        /// Its key.
        key: RequestKey,
        /// Method name.
        method: String,
        /// Parameters.
        body: Payload,
        /// The backend server does not start the run after this time.
        start_by: Time,
        /// When the caller stops waiting.
        deadline: Time,
    },
    /// Cancels a run; its result is still reported.
    CancelRun(RequestId),
    /// Hands flows over; answered by `Event::FlowsTaken`.
    HandOverFlows {
        /// The receiver.
        to: HostId,
        /// The flows.
        transfer: usher_flows::Transfer,
    },
    /// Hands dedupe records over; answered by `Event::RecordsTaken` or repeated.
    HandOverRecords {
        /// The receiver.
        to: HostId,
        /// The records.
        transfer: usher_dedupe::Transfer,
    },
    /// Reports the flows that were taken over from another agent.
    TookFlows(Vec<FlowId>),
    /// Reports that records of a roster version were taken over from another agent.
    TookRecords(Version),
    /// Reports that the view of this configuration version is in force.
    InForce(Version),
    /// Reports that all flows are handed over and all requests are finished.
    Drained,
    /// Reports that other agents hold all dedupe records.
    RecordsDrained,
    /// Increments a counter by one.
    Count {
        /// Component of the agent that counts.
        part: &'static str,
        /// Name of the counter.
        name: String,
    },
}
