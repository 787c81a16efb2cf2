use std::fs;
use std::num::{NonZeroU16, NonZeroUsize};
use std::path::{Path, PathBuf};

use indexmap::{IndexMap, IndexSet};
use log::LevelFilter;
use serde_ini::{Item, Parser};
use usher_runtime::{AgentSettings, BalancerSettings, CommonSettings};
use usher_types::Slots;

use crate::section::Section;
use crate::{SettingsError, key};

const SECTIONS: [&str; 5] = ["process", "balancer", "agent", "log", "metrics"];
type Sections = IndexMap<String, IndexMap<String, String>>;

/// Role of a process, with the settings of that role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// A balancer on an entry instance.
    Balancer(BalancerSettings),
    /// An agent beside a backend server.
    Agent(AgentSettings),
}

/// Settings of a process, read from an INI file and fully validated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Role of the process.
    pub role: Role,
    /// Log file; standard error when absent.
    pub log_file: Option<PathBuf>,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Fails with a [`SettingsError`] that names file, section, key, value and allowed values.
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
        if let Some(place) = find_repeated(&text) {
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
        let role: String = process.read(&key::ROLE)?;
        let common = common(&mut process, &mut metrics)?;
        let role = match role.as_str() {
            "balancer" => Role::Balancer(balancer(&mut process, take("balancer"), common)?),
            "agent" => Role::Agent(agent(&mut process, take("agent"), common)?),
            _ => return Err(process.invalid(&key::ROLE, &role)),
        };
        let log_file = log.read_optional(&key::LOG_FILE)?;
        let log_level = log.read(&key::LOG_LEVEL)?;
        process.finish()?;
        log.finish()?;
        metrics.finish()?;
        reject_other_role(path, &sections)?;
        Ok(Self {
            role,
            log_file,
            log_level,
        })
    }
}

// Finds a section or key that occurs twice; the parser would silently keep only the last value.
fn find_repeated(text: &str) -> Option<String> {
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

// Rejects keys of the other role, because they would have no effect.
fn reject_other_role(path: &Path, sections: &Sections) -> Result<(), SettingsError> {
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

fn common(process: &mut Section, metrics: &mut Section) -> Result<CommonSettings, SettingsError> {
    Ok(CommonSettings {
        centre: process.read(&key::CENTRE)?,
        store: process.read(&key::STORE)?,
        admin: process.read(&key::ADMIN)?,
        peers: process.read_list(&key::PEERS)?,
        statsd: metrics.read_optional(&key::STATSD)?,
    })
}

fn balancer(
    process: &mut Section,
    mut section: Section,
    common: CommonSettings,
) -> Result<BalancerSettings, SettingsError> {
    let settings = BalancerSettings {
        common,
        instance: process.read(&key::PROCESS_NAME)?,
        packets: section.read(&key::PACKETS)?,
        control: section.read(&key::CONTROL)?,
        threads: section.read::<NonZeroUsize>(&key::THREADS)?.get(),
        hints: section.read::<NonZeroUsize>(&key::HINTS)?.get(),
    };
    section.finish()?;
    Ok(settings)
}

fn agent(
    process: &mut Section,
    mut section: Section,
    common: CommonSettings,
) -> Result<AgentSettings, SettingsError> {
    let settings = AgentSettings {
        common,
        host: process.read(&key::PROCESS_NAME)?,
        service: section.read(&key::SERVICE)?,
        listen: section.read(&key::LISTEN)?,
        fabric: section.read(&key::FABRIC)?,
        backend: section.read(&key::BACKEND)?,
        slots: Slots::new(section.read::<NonZeroU16>(&key::SLOTS)?.get()),
    };
    section.finish()?;
    Ok(settings)
}
