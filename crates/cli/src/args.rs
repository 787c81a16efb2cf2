use std::net::SocketAddrV4;
use std::path::PathBuf;

use argh::FromArgs;

use crate::commands::{Action, Apply, Check, Drain, EvacuationCommand, Forget, Report, ShowStatus};

/// Configures marigoldusher through the platform's store and shows its processes.
#[derive(Debug, FromArgs)]
#[argh(
    example = "{command_name} --store 127.0.0.1:7000 profile set fast hunt=5ms attempts=3",
    example = "{command_name} --store 127.0.0.1:7000 service set booking-desk address=192.0.2.1:80 profile=fast",
    example = "{command_name} --settings usher.ini service list --json",
    example = "{command_name} --store 127.0.0.1:7000 apply riga.json --wait",
    example = "{command_name} --store 127.0.0.1:7000 report burn --service booking-desk",
    note = "The settings file names the store as `address` in its section `[store]`.",
    error_code(0, "done"),
    error_code(1, "refused or failed"),
    error_code(2, "the command line is not valid"),
    error_code(3, "conflict: another write came first"),
    error_code(4, "the outcome was not known in time")
)]
pub(crate) struct Args {
    /// address and port of the store
    #[argh(option, arg_name = "address")]
    pub(crate) store: Option<SocketAddrV4>,

    /// INI file to read the address of the store from
    #[argh(option, arg_name = "file")]
    pub(crate) settings: Option<PathBuf>,

    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Profile(ProfileCommand),
    Service(ServiceCommand),
    Apply(Apply),
    Check(Check),
    Status(ShowStatus),
    Drain(Drain),
    Forget(Forget),
    Evacuation(EvacuationCommand),
    Report(Report),
}

impl Command {
    /// Whether results and errors are printed as JSON.
    pub(crate) fn json(&self) -> bool {
        match self {
            Self::Profile(profile) => profile.action.json(),
            Self::Service(service) => service.action.json(),
            Self::Apply(apply) => apply.json,
            Self::Check(check) => check.json,
            Self::Status(status) => status.json,
            Self::Drain(drain) => drain.json,
            Self::Forget(forget) => forget.json,
            Self::Evacuation(evacuation) => evacuation.action.json(),
            Self::Report(report) => report.json(),
        }
    }
}

/// Profiles: named descriptions of how traffic is treated.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "profile",
    example = "{command_name} list",
    example = "{command_name} set fast hunt=5ms attempts=3"
)]
pub(crate) struct ProfileCommand {
    #[argh(subcommand)]
    pub(crate) action: Action,
}

/// Services: an address and the profile that it selects.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "service",
    example = "{command_name} list",
    example = "{command_name} set booking-desk address=192.0.2.1:80 profile=fast"
)]
pub(crate) struct ServiceCommand {
    #[argh(subcommand)]
    pub(crate) action: Action,
}
