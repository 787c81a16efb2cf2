use std::fmt::Display;
use std::net::SocketAddrV4;
use std::str::FromStr;

use usher_types::{Rate, ServiceName, Span};

const RULE: &str = "expected SERVICE,ADDRESS,METHOD,RATE,FLOWS,DEADLINE[,once]";

/// Requests of one method to one service.
#[derive(Debug, Clone)]
pub struct Load {
    /// Service that must answer.
    pub service: ServiceName,
    /// Address of the service.
    pub address: SocketAddrV4,
    /// Method name.
    pub method: String,
    /// Requests per second over all flows.
    pub rate: Rate,
    /// Number of flows.
    pub flows: usize,
    /// Time that the caller waits for an answer.
    pub deadline: Span,
    /// The requests may not be repeated.
    pub once: bool,
}

impl FromStr for Load {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts: Vec<&str> = text.split(',').collect();
        let (fields, once) = match parts.as_slice() {
            [fields @ .., "once"] => (fields, true),
            fields => (fields, false),
        };
        let &[service, address, method, rate, flows, deadline] = fields else {
            return Err(RULE.to_owned());
        };

        Ok(Self {
            service: service.parse().map_err(|error| wrong("SERVICE", &error))?,
            address: address.parse().map_err(|error| wrong("ADDRESS", &error))?,
            method: method.to_owned(),
            rate: rate.parse().map_err(|error| wrong("RATE", &error))?,
            flows: flows.parse().map_err(|error| wrong("FLOWS", &error))?,
            deadline: deadline
                .parse()
                .map_err(|error| wrong("DEADLINE", &error))?,
            once,
        })
    }
}

fn wrong(part: &str, error: &dyn Display) -> String {
    format!("{RULE}: wrong {part}: {error}")
}
