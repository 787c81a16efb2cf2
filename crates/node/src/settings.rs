use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::str::FromStr;

use log::LevelFilter;
use serde::Deserialize;
use usher_forwarding::{CpuCapacity, NodeId};
use usher_hedge::ExtraShare;
use usher_platform::{is_unfilled, render_example, render_first_release};
use usher_types::{Centres, DataCentre, Span};

use crate::optional_keys::OptionalKeys;
use crate::{NodeError, event};

/// What a node runs as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Receives the packets of callers.
    Balancer,
    /// Runs beside a backend server.
    Agent,
}

impl FromStr for Role {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "balancer" => Ok(Self::Balancer),
            "agent" => Ok(Self::Agent),
            _ => Err(()),
        }
    }
}

/// Validated settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// What the node runs as.
    pub role: Role,
    /// Name of the machine.
    pub name: String,
    /// Data centre of the machine.
    pub centre: DataCentre,
    /// Id of the node: the address of its machine.
    pub node: NodeId,
    /// Address for packets. Callers and other nodes use the same port.
    pub packets: SocketAddrV4,
    /// Address at which the platform checks readiness.
    pub ready: SocketAddrV4,
    /// Port between nodes: hello messages and reports over UDP, configuration over TCP.
    pub peer_port: u16,
    /// Balancers to contact at the start, in case the store is unavailable.
    pub seeds: Vec<NodeId>,
    /// The platform's store.
    pub store: SocketAddrV4,
    /// Processor capacity of the machine for this node.
    pub capacity: CpuCapacity,
    /// Longest life of a flow.
    pub flow_life: Span,
    /// Time between the stop signal and the kill.
    pub grace: Span,
    /// Time within which a requested evacuation must be in force; `None` if evacuations are not read.
    pub evacuation: Option<Span>,
    /// The data centres of the deployment and their regions; empty if they are not known.
    pub centres: Centres,
    /// Level of the log.
    pub level: LevelFilter,
    /// Port of the metrics; 0 for none.
    pub metrics: u16,
    /// Extra opening packets as a share of the flows of repeatable routes.
    pub extra_openings: ExtraShare,
    /// Whether hosts that differ from the others of their service are ejected.
    pub outliers: bool,
    /// The backend server, for an agent.
    pub agent: Option<AgentSettings>,
    /// Optional keys whose placeholders the platform has not filled in, so that their defaults hold.
    pub unfilled: Vec<&'static str>,
}

/// Settings of the backend server that an agent serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Its service.
    pub service: String,
    /// Address at which it receives packets.
    pub backend: SocketAddrV4,
    /// Address at which the agent receives its packets.
    pub outbound: SocketAddrV4,
    /// Address at which the agent receives its heartbeats.
    pub control: SocketAddrV4,
}

#[derive(Debug, Deserialize)]
struct File {
    process: Process,
    agent: Option<Agent>,
}

#[derive(Debug, Deserialize)]
struct Process {
    role: String,
    name: String,
    centre: String,
    address: String,
    packets: String,
    ready: String,
    peer_port: String,
    #[serde(default)]
    seeds: String,
    store: String,
    cores: String,
    flow_life_s: String,
    grace_s: String,
    #[serde(default)]
    evacuation_ms: String,
    #[serde(default)]
    centres: String,
    #[serde(default)]
    log: String,
    #[serde(default)]
    metrics: String,
    #[serde(default)]
    extra_openings: String,
    #[serde(default)]
    outliers: String,
}

#[derive(Debug, Deserialize)]
struct Agent {
    service: String,
    backend: String,
    outbound: String,
    control: String,
}

const ADDRESS: &str = "an address and port, for example 10.1.0.10:8172";
const MILLIS: &str = "a number of milliseconds above 0, or empty for none";
const CENTRES: &str = "up to 64 data centres, for example kolkata:bengal,patna:bihar";
const SECONDS: &str = "a number of seconds";
const LEVELS: &str = "off, error, warn, info or debug";
const OPENINGS: &str = "empty, or a share from 0 to 0.5";
const DEFAULT_LEVEL: &str = "info";

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// `MU-9101`, `MU-9103` or `MU-9104`.
    ///
    /// ```
    /// let fault = usher_node::Settings::read("/missing").unwrap_err();
    /// assert!(fault.to_string().starts_with("MU-9101"));
    /// ```
    pub fn read(file: impl AsRef<Path>) -> Result<Self, NodeError> {
        let file = file.as_ref();
        let unreadable = |reason: String| NodeError::Unreadable {
            file: file.to_owned(),
            reason,
        };
        let text = fs::read_to_string(file).map_err(|fault| unreadable(fault.to_string()))?;
        Self::parse(&text, file)
    }

    /// Checks a settings template, rendered for a balancer and for an agent.
    ///
    /// Returns the optional keys whose defaults hold where the platform is of its first release, which
    /// does not fill in all fields.
    ///
    /// # Errors
    /// `MU-9101`, `MU-9103` or `MU-9104` as for a file, or an error in the template itself.
    ///
    /// ```
    /// let fault = usher_node::Settings::check_template("/missing").unwrap_err();
    /// assert!(fault.to_string().starts_with("MU-9101"));
    /// ```
    pub fn check_template(file: impl AsRef<Path>) -> Result<Vec<&'static str>, NodeError> {
        let file = file.as_ref();
        let template = fs::read_to_string(file).map_err(|fault| NodeError::Unreadable {
            file: file.to_owned(),
            reason: fault.to_string(),
        })?;
        let mut unfilled = Vec::new();
        for with_agent in [false, true] {
            let text = render_example(&template, with_agent).map_err(NodeError::Template)?;
            Self::parse(&text, file)?;
            let text = render_first_release(&template, with_agent);
            unfilled = Self::parse(&text, file)?.unfilled;
        }
        Ok(unfilled)
    }

    pub(crate) fn log_unfilled(&self) {
        for key in &self.unfilled {
            event::SETTING_UNFILLED.log(&[("key", key)]);
        }
    }

    fn parse(text: &str, file: &Path) -> Result<Self, NodeError> {
        let parsed: File = serde_ini::from_str(text).map_err(|fault| NodeError::Unreadable {
            file: file.to_owned(),
            reason: fault.to_string(),
        })?;
        Self::check(parsed)
    }

    fn check(file: File) -> Result<Self, NodeError> {
        let process = file.process;
        let section = "process";
        let role = parse(section, "role", &process.role, "balancer or agent")?;
        let agent = file.agent.map(AgentSettings::check).transpose()?;
        if role == Role::Agent && agent.is_none() {
            return Err(NodeError::NoAgent);
        }
        let mut optional = OptionalKeys::default();
        let seeds = optional.value("seeds", &process.seeds);
        let seeds = seeds.split(',').map(str::trim);
        let seeds = seeds.filter(|seed| !seed.is_empty());
        let seeds: Result<Vec<SocketAddrV4>, _> = seeds
            .map(|seed| parse(section, "seeds", seed, ADDRESS))
            .collect();
        let evacuation = optional.value("evacuation_ms", &process.evacuation_ms);
        let centres = optional.value("centres", &process.centres);
        let level = match optional.value("log", &process.log) {
            "" => DEFAULT_LEVEL,
            level => level,
        };
        let metrics = match optional.value("metrics", &process.metrics) {
            "" => 0,
            port => parse(section, "metrics", port, "a port")?,
        };
        let openings = optional.value("extra_openings", &process.extra_openings);
        let outliers = optional.value("outliers", &process.outliers);
        let address: Ipv4Addr = parse(section, "address", &process.address, "an IPv4 address")?;
        let centre = &process.centre;
        Ok(Self {
            role,
            name: text(section, "name", process.name)?,
            centre: parse(section, "centre", centre, "a name of a data centre")?,
            node: NodeId::new(address),
            packets: parse(section, "packets", &process.packets, ADDRESS)?,
            ready: parse(section, "ready", &process.ready, ADDRESS)?,
            peer_port: parse(section, "peer_port", &process.peer_port, "a port")?,
            seeds: seeds?.iter().map(|seed| NodeId::new(*seed.ip())).collect(),
            store: parse(section, "store", &process.store, ADDRESS)?,
            capacity: parse(section, "cores", &process.cores, "a number of cores")?,
            flow_life: seconds(section, "flow_life_s", &process.flow_life_s)?,
            grace: seconds(section, "grace_s", &process.grace_s)?,
            evacuation: millis(section, "evacuation_ms", evacuation)?,
            centres: parse(section, "centres", centres, CENTRES)?,
            level: parse(section, "log", level, LEVELS)?,
            metrics,
            extra_openings: parse(section, "extra_openings", openings, OPENINGS)?,
            outliers: is_on(section, "outliers", outliers)?,
            agent,
            unfilled: optional.into_unfilled(),
        })
    }
}

impl AgentSettings {
    fn check(agent: Agent) -> Result<Self, NodeError> {
        let section = "agent";
        Ok(Self {
            service: text(section, "service", agent.service)?,
            backend: parse(section, "backend", &agent.backend, ADDRESS)?,
            outbound: parse(section, "outbound", &agent.outbound, ADDRESS)?,
            control: parse(section, "control", &agent.control, ADDRESS)?,
        })
    }
}

fn parse<T: FromStr>(
    section: &'static str,
    key: &'static str,
    value: &str,
    allowed: &'static str,
) -> Result<T, NodeError> {
    value.trim().parse().map_err(|_fault| NodeError::Value {
        section,
        key,
        value: value.to_owned(),
        allowed,
    })
}

// Any text but a placeholder that was not filled in.
fn text(section: &'static str, key: &'static str, value: String) -> Result<String, NodeError> {
    if is_unfilled(&value) {
        return Err(NodeError::Value {
            section,
            key,
            value,
            allowed: "a name that the platform fills in",
        });
    }
    Ok(value)
}

fn is_on(section: &'static str, key: &'static str, value: &str) -> Result<bool, NodeError> {
    match value.trim() {
        "" => Ok(false),
        "on" => Ok(true),
        _ => Err(NodeError::Value {
            section,
            key,
            value: value.to_owned(),
            allowed: "on, or empty for off",
        }),
    }
}

fn seconds(section: &'static str, key: &'static str, value: &str) -> Result<Span, NodeError> {
    let number: f64 = parse(section, key, value, SECONDS)?;
    if number.is_finite() && number > 0.0 {
        return Ok(Span::from_secs_f64(number));
    }
    Err(NodeError::Value {
        section,
        key,
        value: value.to_owned(),
        allowed: SECONDS,
    })
}

// An empty value means that there is none.
fn millis(
    section: &'static str,
    key: &'static str,
    value: &str,
) -> Result<Option<Span>, NodeError> {
    if value.trim().is_empty() {
        return Ok(None);
    }
    let number: u64 = parse(section, key, value, MILLIS)?;
    if number > 0 {
        return Ok(Some(Span::from_millis(number)));
    }
    Err(NodeError::Value {
        section,
        key,
        value: value.to_owned(),
        allowed: MILLIS,
    })
}
