use std::io::{self, Write};
use std::path::PathBuf;

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use serde_json::json;
use thiserror::Error;
use usher_config::{ConfigError, ObjectKey, RolloutState};
use usher_daemon::SettingsError;
use usher_platform::{CallError, DecodeError};
use usher_store::StoreError;
use usher_types::{DataCentre, HostId, InstanceId, Peer, Version};

use crate::ExitStatus;
use crate::output::Output;

/// Error of a command: `MU-8xxx`, or the code of the crate that reported it.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum CliError {
    #[error("MU-8001: no store is given")]
    #[diagnostic(help("give --store ADDRESS, or --settings FILE with `address` under [store]"))]
    NoStore,

    #[error("MU-8002: {path} cannot be read: {cause}")]
    #[diagnostic(help("check the path and the format of the file"))]
    File { path: PathBuf, cause: String },

    #[error("MU-8003: {0} does not exist")]
    #[diagnostic(help("`list` shows the names in the store"))]
    Missing(ObjectKey),

    #[error("MU-8004: '{pair}' is not valid: {cause}")]
    #[diagnostic(help(
        "write fields as key=value, for example hunt=5ms or methods.book.long=true"
    ))]
    InvalidPair { pair: String, cause: String },

    #[error("MU-8005: the value of {key} is not valid: {cause}")]
    #[diagnostic(help("`get --json` shows the fields of an object that exists"))]
    InvalidValue { key: ObjectKey, cause: String },

    #[error("MU-8006: refused, nothing was written:\n{}", indented_lines(.0))]
    #[diagnostic(help("correct all faults listed and run the command again"))]
    Refused(Vec<ConfigError>),

    #[error("MU-8007: stopped after {} of {total} writes{}: {cause}{}", written.len(), written_keys(written), conflict_diff(cause))]
    #[diagnostic(help("read the objects again, then repeat the command for what is missing"))]
    WriteFailed {
        written: Vec<ObjectKey>,
        total: usize,
        cause: Box<StoreError>,
    },

    #[error("MU-8008: written, but it conflicts with another operator's change:\n{}", indented_lines(.0))]
    #[diagnostic(help(
        "change one of the objects named; until then the one accepted first is in force"
    ))]
    ConcurrentChange(Vec<ConfigError>),

    #[error("MU-8009: {key} is at version {found}, not {expected}; nothing was written\n{diff}")]
    #[diagnostic(help("read the object again and repeat the change on what it holds now"))]
    VersionMismatch {
        key: ObjectKey,
        expected: String,
        found: String,
        diff: String,
    },

    #[error(
        "MU-8010: version {target} is not in force everywhere:{}",
        pending_processes(state)
    )]
    #[diagnostic(help(
        "`status` shows all processes; a process that is gone leaves the list after some seconds"
    ))]
    NotInForce {
        target: Version,
        state: Box<RolloutState>,
    },

    #[error("MU-8011: no roster lists the host {0}")]
    #[diagnostic(help("`status` shows the hosts"))]
    NoHost(HostId),

    #[error("MU-8013: no fleet lists the balancer {0}")]
    #[diagnostic(help(
        "`status` shows the balancers; hosts are removed by the agents of their service"
    ))]
    NoBalancer(InstanceId),

    #[error("MU-8014: {0} still answers; nothing was changed")]
    #[diagnostic(help("stop the balancer with SIGTERM, then it leaves by itself"))]
    StillAlive(InstanceId),

    #[error("MU-8012: {peer} does not answer: {cause}")]
    #[diagnostic(help("check whether the process runs; nothing was changed"))]
    NoAnswer { peer: Peer, cause: String },

    #[error("MU-9212: the evacuation of {0} is not requested")]
    #[diagnostic(help("`evacuation list` shows the requests"))]
    NotEvacuated(DataCentre),

    #[error("MU-9213: the store answered {call} with status {status}")]
    #[diagnostic(help("check the address of the store; `evacuation list` shows the requests"))]
    StoreStatus { call: &'static str, status: u16 },

    #[error(transparent)]
    #[diagnostic(help(
        "check the address of the store; a write may have been made, `evacuation list` shows it"
    ))]
    Call(#[from] CallError),

    #[error(transparent)]
    #[diagnostic(help("check the address of the store"))]
    Answer(DecodeError),

    #[error("the configuration document has faults")]
    FaultyDocument(Box<Output>),

    #[error(transparent)]
    #[diagnostic(help("a configuration document has a `version` and `routes`"))]
    Document(#[from] DecodeError),

    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),

    #[error(transparent)]
    #[diagnostic(help("`docs/settings.md` has the keys of a node"))]
    Template(#[from] usher_node::NodeError),

    #[error(transparent)]
    #[diagnostic(help("check the address of the store and whether it is up"))]
    Platform(#[from] StoreError),
}

fn pending_processes(state: &RolloutState) -> String {
    let RolloutState::Waiting {
        lagging,
        unreported,
    } = state
    else {
        return String::new();
    };
    let lagging = lagging
        .iter()
        .map(|(peer, version)| format!("\n  {peer} is at version {version}"));
    let unreported = unreported
        .iter()
        .map(|peer| format!("\n  {peer} does not answer"));
    lagging.chain(unreported).collect()
}

// Formats one fault per line.
fn indented_lines(faults: &[ConfigError]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    lines.join("\n")
}

fn written_keys(written: &[ObjectKey]) -> String {
    let keys: Vec<String> = written.iter().map(ToString::to_string).collect();
    if keys.is_empty() {
        String::new()
    } else {
        format!(" ({})", keys.join(", "))
    }
}

fn conflict_diff(cause: &StoreError) -> String {
    match cause {
        StoreError::Conflict(conflict) => format!("\n{}", conflict.diff()),
        _ => String::new(),
    }
}

impl CliError {
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Self::NoStore => ExitStatus::Usage,
            Self::NotInForce { .. }
            | Self::Call(CallError::TimedOut | CallError::Stalled { .. } | CallError::Broken(_)) => {
                ExitStatus::TimedOut
            }
            Self::ConcurrentChange(_) | Self::VersionMismatch { .. } => ExitStatus::Conflict,
            Self::WriteFailed { cause, .. } => platform_status(cause),
            Self::Platform(cause) => platform_status(cause),
            _ => ExitStatus::Failed,
        }
    }

    pub(crate) fn write(&self, json: bool, err: &mut dyn Write) -> io::Result<()> {
        let help = self.help().map(|help| help.to_string());
        if json {
            let message = self.to_string();
            let code = message.split(':').next().unwrap_or_default();
            let error = json!({ "code": code, "message": message, "hint": help });
            return writeln!(err, "{}", json!({ "error": error }));
        }
        let mut text = String::new();
        // No colours and no box drawing, since the text may go to a log or a pipe.
        let handler = GraphicalReportHandler::new_themed(GraphicalTheme::none());
        match handler.render_report(&mut text, self) {
            Ok(()) => write!(err, "{text}"),
            Err(_) => writeln!(err, "{self}"),
        }
    }
}

fn platform_status(cause: &StoreError) -> ExitStatus {
    match cause {
        StoreError::Conflict(_) => ExitStatus::Conflict,
        StoreError::Unknown { .. } => ExitStatus::TimedOut,
        _ => ExitStatus::Failed,
    }
}
