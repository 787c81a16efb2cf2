use std::fs;
use std::path::{Path, PathBuf};

use indexmap::{IndexMap, IndexSet};
use log::LevelFilter;
use serde_ini::{Item, Parser};
use usher_runtime::{AgentSettings, BalancerSettings, Common};
use usher_types::Slots;

use crate::SettingsError;
use crate::section::Section;

const SECTIONS: [&str; 5] = ["process", "balancer", "agent", "log", "metrics"];
const ADDRESS: &str = "an IPv4 address and port, for example 127.0.0.1:7000";
const ADDRESSES: &str = "IPv4 addresses and ports, separated by commas";
const NAME: &str = "1 to 63 characters out of a-z, 0-9 and '-', starting with a letter";
const COUNT: &str = "a whole number of at least 1";
const ROLE: &str = "balancer or agent";
const LEVEL: &str = "error, warn, info, debug or trace";
const DEFAULT_THREADS: usize = 2;
const DEFAULT_HINTS: usize = 200_000;

type Sections = IndexMap<String, IndexMap<String, String>>;

/// What the process is to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// A balancer on an entry instance.
    Balancer(BalancerSettings),
    /// An agent beside a backend server.
    Agent(AgentSettings),
}

/// Settings of a process, read from an INI file and checked whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// What the process is to run.
    pub role: Role,
    /// File that log lines go to; standard error when absent.
    pub log_file: Option<PathBuf>,
    /// Lowest level of log lines.
    pub log_level: LevelFilter,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails with a [`SettingsError`] that names file, section, key, value and what is allowed.
    ///
    /// ```
    /// let error = usher_daemon::Settings::load("/no/such/file.ini").unwrap_err();
    /// assert!(error.to_string().starts_with("MU-7001"));
    /// ```
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let unreadable = |reason: &dyn std::fmt::Display| SettingsError::Unreadable {
            file: path.to_owned(),
            reason: reason.to_string(),
        };
        let text = fs::read_to_string(path).map_err(|error| unreadable(&error))?;
        let sections: Sections = serde_ini::from_str(&text).map_err(|error| unreadable(&error))?;
        if let Some(place) = repeated(&text) {
            let file = path.to_owned();
            return Err(SettingsError::Repeated { file, place });
        }
        Self::read(path, sections)
    }

    fn read(path: &Path, mut sections: Sections) -> Result<Self, SettingsError> {
        if let Some(section) = sections
            .keys()
            .find(|name| !SECTIONS.contains(&name.as_str()))
        {
            return Err(SettingsError::Section {
                file: path.into(),
                section: section.clone(),
            });
        }
        let mut take = |name: &'static str| {
            Section::new(
                path.into(),
                name,
                sections.shift_remove(name).unwrap_or_default(),
            )
        };
        let (mut process, mut log, mut metrics) = (take("process"), take("log"), take("metrics"));
        let role: String = process.required("role", ROLE)?;
        let common = common(&mut process, &mut metrics)?;
        let role = match role.as_str() {
            "balancer" => Role::Balancer(balancer(&mut process, take("balancer"), common)?),
            "agent" => Role::Agent(agent(&mut process, take("agent"), common)?),
            _ => {
                return Err(SettingsError::Value {
                    file: path.into(),
                    section: "process",
                    key: "role",
                    value: role,
                    allowed: ROLE,
                });
            }
        };
        let log_file = log.optional("file", "a path")?;
        let log_level = log.optional("level", LEVEL)?.unwrap_or(LevelFilter::Info);
        process.finish()?;
        log.finish()?;
        metrics.finish()?;
        other_role(path, &sections)?;
        Ok(Self {
            role,
            log_file,
            log_level,
        })
    }
}

// The parser keeps only the last of several values, which would hide the earlier ones.
fn repeated(text: &str) -> Option<String> {
    let mut seen = IndexSet::new();
    let mut section = String::new();
    for item in Parser::from_str(text) {
        let place = match item.ok()? {
            Item::Section { name } => {
                section = format!("[{name}]");
                section.clone()
            }
            Item::Value { key, .. } => format!("{section} '{key}'"),
            Item::Empty | Item::Comment { .. } => continue,
        };
        if !seen.insert(place.clone()) {
            return Some(place);
        }
    }
    None
}

// Keys of the other role would have no effect, so they are refused.
fn other_role(path: &Path, sections: &Sections) -> Result<(), SettingsError> {
    let unused = sections
        .iter()
        .find_map(|(section, keys)| Some((section, keys.keys().next()?)));
    match unused {
        Some((section, key)) => Err(SettingsError::Key {
            file: path.into(),
            section: section.clone(),
            key: key.clone(),
        }),
        None => Ok(()),
    }
}

fn common(process: &mut Section, metrics: &mut Section) -> Result<Common, SettingsError> {
    Ok(Common {
        centre: process.required("centre", NAME)?,
        store: process.required("store", ADDRESS)?,
        admin: process.required("admin", ADDRESS)?,
        peers: process.list("peers", ADDRESSES)?,
        statsd: metrics.optional("statsd", ADDRESS)?,
    })
}

fn balancer(
    process: &mut Section,
    mut section: Section,
    common: Common,
) -> Result<BalancerSettings, SettingsError> {
    let threads = section.optional("threads", COUNT)?;
    let hints = section.optional("hints", COUNT)?;
    let settings = BalancerSettings {
        common,
        instance: process.required("name", NAME)?,
        packets: section.required("packets", ADDRESS)?,
        control: section.required("control", ADDRESS)?,
        threads: threads.map_or(DEFAULT_THREADS, std::num::NonZeroUsize::get),
        hints: hints.map_or(DEFAULT_HINTS, std::num::NonZeroUsize::get),
    };
    section.finish()?;
    Ok(settings)
}

fn agent(
    process: &mut Section,
    mut section: Section,
    common: Common,
) -> Result<AgentSettings, SettingsError> {
    let slots: std::num::NonZeroU16 = section.required("slots", COUNT)?;
    let settings = AgentSettings {
        common,
        host: process.required("name", NAME)?,
        service: section.required("service", NAME)?,
        listen: section.required("listen", ADDRESS)?,
        fabric: section.required("fabric", ADDRESS)?,
        backend: section.required("backend", ADDRESS)?,
        slots: Slots::new(slots.get()),
    };
    section.finish()?;
    Ok(settings)
}
