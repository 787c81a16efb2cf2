use std::net::SocketAddrV4;
use std::str::FromStr;

use argh::FromArgs;
use usher_types::{ParseError, Span};

/// backend server with slots, speed, cold start and stragglers
#[derive(Debug, Clone, FromArgs)]
#[argh(subcommand, name = "backend")]
pub struct BackendArgs {
    /// TCP address for JSON-RPC
    #[argh(option)]
    pub listen: SocketAddrV4,
    /// service name, repeated in each answer
    #[argh(option)]
    pub service: String,
    /// requests run at the same time
    #[argh(option, default = "3")]
    pub slots: usize,
    /// service time of a method, as METHOD=TIME; repeat for each
    #[argh(option)]
    pub time: Vec<MethodTime>,
    /// factor that divides service times
    #[argh(option, default = "1.0")]
    pub speed: f64,
    /// length of the cold start, in which service times are four times as long
    #[argh(option, default = "Span::ZERO")]
    pub cold: Span,
    /// share of requests that run 30 times as long
    #[argh(option, default = "0.0")]
    pub stragglers: f64,
    /// answer bytes of each request
    #[argh(option, default = "64")]
    pub answer: usize,
    /// seed of the random choices
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Service time of one method.
#[derive(Debug, Clone)]
pub struct MethodTime {
    /// Method name.
    pub method: String,
    /// Mean service time at speed 1.
    pub time: Span,
}

impl FromStr for MethodTime {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (method, time) = text.split_once('=').ok_or("expected METHOD=TIME")?;
        let time = time
            .parse()
            .map_err(|error: ParseError| error.to_string())?;
        Ok(Self {
            method: method.to_owned(),
            time,
        })
    }
}
