use std::io;
use std::net::SocketAddrV4;

use argh::FromArgs;
use async_std::task;
use usher_platform_standin::store;

use crate::{Backend, BackendArgs, CallerArgs, FabricArgs, ProbeArgs};

/// Test stand-ins for the platform, a backend server and a caller.
#[derive(Debug, FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    role: Role,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Role {
    Store(StoreArgs),
    Fabric(FabricArgs),
    Backend(BackendArgs),
    Caller(CallerArgs),
    Probe(ProbeArgs),
}

/// object store with versions, conditional writes, watches and fault switches
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreArgs {
    /// TCP address of the store
    #[argh(option)]
    listen: SocketAddrV4,
}

impl Args {
    /// Runs the stand-in; false if the caller or the probe reports a failed run.
    ///
    /// # Errors
    /// Fails when an address cannot be used.
    pub fn run(self) -> io::Result<bool> {
        match self.role {
            Role::Store(args) => task::block_on(store::run(args.listen)).map(|()| true),
            Role::Fabric(args) => args.run().map(|()| true),
            Role::Backend(args) => task::block_on(serve(args)),
            Role::Caller(args) => args.run(),
            Role::Probe(args) => args.run(),
        }
    }
}

async fn serve(args: BackendArgs) -> io::Result<bool> {
    let (_, handle) = Backend::start(args).await?;
    handle.stopped().await;
    Ok(true)
}
