use std::io;
use std::net::SocketAddrV4;

use argh::FromArgs;
use usher_types::Span;

use super::{Fabric, PathFaults};

/// fabric that hands each packet to a random balancer
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fabric")]
pub struct FabricArgs {
    /// UDP address for callers
    #[argh(option)]
    callers: SocketAddrV4,
    /// UDP address for answers from agents
    #[argh(option)]
    answers: SocketAddrV4,
    /// UDP address of a balancer; repeat for each
    #[argh(option)]
    balancer: Vec<SocketAddrV4>,
    /// share of packets lost, from 0 to 1
    #[argh(option, default = "0.0")]
    loss: f64,
    /// share of packets delivered twice, from 0 to 1
    #[argh(option, default = "0.0")]
    duplicates: f64,
    /// longest random delay of a packet; packets overtake each other
    #[argh(option, default = "Span::ZERO")]
    delay: Span,
    /// seed of the random choices
    #[argh(option, default = "1")]
    seed: u64,
}

impl FabricArgs {
    /// Forwards packets in both directions until the process ends.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened.
    pub fn run(self) -> io::Result<()> {
        let fabric = Fabric::start(self.callers, self.answers, self.seed)?;
        fabric.set_balancers(&self.balancer)?;
        fabric.set_faults(PathFaults {
            loss: self.loss,
            duplicates: self.duplicates,
            delay: self.delay,
        });
        fabric.join()
    }
}
