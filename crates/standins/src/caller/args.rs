use std::net::{Ipv4Addr, SocketAddrV4};

use argh::FromArgs;
use usher_types::Span;

use super::load::Load;

/// caller with an open-loop load over many flows
#[derive(Debug, Clone, FromArgs)]
#[argh(subcommand, name = "caller")]
pub struct CallerArgs {
    /// UDP address of the fabric for callers
    #[argh(option)]
    pub fabric: SocketAddrV4,
    /// first caller address; flows use it and the addresses that follow
    #[argh(option, default = "Ipv4Addr::new(10, 1, 0, 1)")]
    pub address: Ipv4Addr,
    /// load, as SERVICE,ADDRESS,METHOD,RATE,FLOWS,DEADLINE[,once]; repeat for each
    #[argh(option)]
    pub load: Vec<Load>,
    /// time during which requests are sent
    #[argh(option, default = "Span::from_secs(10)")]
    pub duration: Span,
    /// time over which the flows are opened
    #[argh(option, default = "Span::from_secs(1)")]
    pub ramp: Span,
    /// seed of the random choices
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print the result as one JSON object
    #[argh(switch)]
    pub json: bool,
    /// print one line a second while running
    #[argh(switch)]
    pub progress: bool,
}
