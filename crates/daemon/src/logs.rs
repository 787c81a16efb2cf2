use std::path::Path;
use std::time::SystemTime;
use std::{fmt::Display, io};

use fern::Dispatch;
use log::LevelFilter;
use miette::{IntoDiagnostic, Result, WrapErr};

/// Starts logging: each record is one line of `key=value` pairs.
///
/// # Errors
/// Fails when the log file cannot be opened or logging has already been started.
pub fn start(
    file: Option<&Path>,
    level: LevelFilter,
    process: &impl Display,
    centre: &impl Display,
) -> Result<()> {
    let (process, centre) = (process.to_string(), centre.to_string());
    let dispatch = Dispatch::new()
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let level = record.level().as_str().to_lowercase();
            out.finish(format_args!(
                "time={time} level={level} process={process} centre={centre} {message}"
            ));
        })
        .level(LevelFilter::Warn)
        .level_for("usher_events", level)
        .level_for("usher_runtime", level)
        .level_for("usher_daemon", level);
    let dispatch = match file {
        Some(path) => {
            let file = fern::log_file(path)
                .into_diagnostic()
                .wrap_err_with(|| format!("MU-7006: cannot open log file {}", path.display()))?;
            dispatch.chain(file)
        }
        None => dispatch.chain(io::stderr()),
    };
    dispatch.apply().into_diagnostic()
}
