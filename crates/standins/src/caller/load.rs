use std::fmt::Display;
use std::net::SocketAddrV4;
use std::str::FromStr;

use usher_types::{Rate, ServiceName, Span};

const FORMAT: &str = "expected SERVICE,ADDRESS,METHOD,RATE,FLOWS,DEADLINE[,once]";

/// Requests of one method to one service.
#[derive(Debug, Clone)]
pub struct Load {
    /// Service that the answers must come from.
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
    /// The requests must not be run more than once.
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
            return Err(FORMAT.to_owned());
        };

        Ok(Self {
            service: service
                .parse()
                .map_err(|error| invalid("SERVICE", &error))?,
            address: address
                .parse()
                .map_err(|error| invalid("ADDRESS", &error))?,
            method: method.to_owned(),
            rate: rate.parse().map_err(|error| invalid("RATE", &error))?,
            flows: flows.parse().map_err(|error| invalid("FLOWS", &error))?,
            deadline: deadline
                .parse()
                .map_err(|error| invalid("DEADLINE", &error))?,
            once,
        })
    }
}

fn invalid(part: &str, error: &dyn Display) -> String {
    format!("{FORMAT}: wrong {part}: {error}")
}
