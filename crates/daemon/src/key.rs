use std::fmt::{self, Display};

/// Roles that a key belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Balancers and agents.
    Both,
    /// Balancers only.
    Balancer,
    /// Agents only.
    Agent,
}

impl Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Both => "both",
            Self::Balancer => "balancer",
            Self::Agent => "agent",
        })
    }
}

/// What holds when a key is absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preset {
    /// The key must be present.
    Required,
    /// Nothing is set.
    Unset,
    /// This value holds.
    Value(&'static str),
}

impl Display for Preset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Required => "required",
            Self::Unset => "none",
            Self::Value(value) => value,
        })
    }
}

/// One key of a settings file; `docs/settings.md` lists all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// Section that the key stands in.
    pub section: &'static str,
    /// Name of the key.
    pub name: &'static str,
    /// Roles that read it.
    pub scope: Scope,
    /// Values that it takes.
    pub allowed: &'static str,
    /// What holds when it is absent.
    pub preset: Preset,
    /// Unit of a number.
    pub unit: Option<&'static str>,
}

const ADDRESS: &str = "an IPv4 address and port, for example 127.0.0.1:7000";
const ADDRESSES: &str = "IPv4 addresses and ports, separated by commas";
const NAME: &str = "1 to 63 characters out of a-z, 0-9 and '-', starting with a letter";
const COUNT: &str = "a whole number of at least 1";
const PATH: &str = "a path";

macro_rules! keys {
    ($($const:ident = [$section:ident] $name:ident, $scope:ident, $allowed:expr, $preset:expr, $unit:expr;)*) => {
        $(pub(crate) const $const: Key = Key {
            section: stringify!($section),
            name: stringify!($name),
            scope: Scope::$scope,
            allowed: $allowed,
            preset: $preset,
            unit: $unit,
        };)*

        /// All keys, in the order of the page.
        pub const KEYS: &[Key] = &[$($const),*];
    };
}

keys! {
    ROLE = [process] role, Both, "balancer or agent", Preset::Required, None;
    PROCESS_NAME = [process] name, Both, NAME, Preset::Required, None;
    CENTRE = [process] centre, Both, NAME, Preset::Required, None;
    STORE = [process] store, Both, ADDRESS, Preset::Required, None;
    ADMIN = [process] admin, Both, ADDRESS, Preset::Required, None;
    PEERS = [process] peers, Both, ADDRESSES, Preset::Unset, None;
    PACKETS = [balancer] packets, Balancer, ADDRESS, Preset::Required, None;
    CONTROL = [balancer] control, Balancer, ADDRESS, Preset::Required, None;
    THREADS = [balancer] threads, Balancer, COUNT, Preset::Value("2"), Some("threads");
    HINTS = [balancer] hints, Balancer, COUNT, Preset::Value("200000"), Some("flows");
    SERVICE = [agent] service, Agent, NAME, Preset::Required, None;
    LISTEN = [agent] listen, Agent, ADDRESS, Preset::Required, None;
    FABRIC = [agent] fabric, Agent, ADDRESS, Preset::Required, None;
    BACKEND = [agent] backend, Agent, ADDRESS, Preset::Required, None;
    SLOTS = [agent] slots, Agent, COUNT, Preset::Required, Some("requests");
    LOG_FILE = [log] file, Both, PATH, Preset::Unset, None;
    LOG_LEVEL = [log] level, Both, "error, warn, info, debug or trace", Preset::Value("info"), None;
    STATSD = [metrics] statsd, Both, ADDRESS, Preset::Unset, None;
}
