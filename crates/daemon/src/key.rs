use std::fmt::{self, Display};

/// Roles that read a key.
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

/// Default of a key that is absent from the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DefaultValue {
    /// The key must be present.
    Required,
    /// The key is optional and has no default.
    Unset,
    /// The value that is used instead.
    Value(&'static str),
}

impl Display for DefaultValue {
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
    /// Section that contains the key.
    pub section: &'static str,
    /// Name of the key.
    pub name: &'static str,
    /// Roles that read it.
    pub scope: Scope,
    /// Values that it accepts, as error messages state them.
    pub allowed: &'static str,
    /// Default when it is absent.
    pub default: DefaultValue,
    /// Unit of a numeric value.
    pub unit: Option<&'static str>,
}

const ADDRESS: &str = "an IPv4 address and port, for example 127.0.0.1:7000";
const ADDRESSES: &str = "IPv4 addresses and ports, separated by commas";
const NAME: &str = "1 to 63 characters out of a-z, 0-9 and '-', starting with a letter";
const COUNT: &str = "a whole number of at least 1";
const PATH: &str = "a path";

macro_rules! keys {
    ($($const:ident = [$section:ident] $name:ident, $scope:ident, $allowed:expr, $default:expr, $unit:expr;)*) => {
        $(pub(crate) const $const: Key = Key {
            section: stringify!($section),
            name: stringify!($name),
            scope: Scope::$scope,
            allowed: $allowed,
            default: $default,
            unit: $unit,
        };)*

        /// All keys, in the order of `docs/settings.md`.
        pub const KEYS: &[Key] = &[$($const),*];
    };
}

keys! {
    ROLE = [process] role, Both, "balancer or agent", DefaultValue::Required, None;
    PROCESS_NAME = [process] name, Both, NAME, DefaultValue::Required, None;
    CENTRE = [process] centre, Both, NAME, DefaultValue::Required, None;
    STORE = [process] store, Both, ADDRESS, DefaultValue::Required, None;
    ADMIN = [process] admin, Both, ADDRESS, DefaultValue::Required, None;
    PEERS = [process] peers, Both, ADDRESSES, DefaultValue::Unset, None;
    PACKETS = [balancer] packets, Balancer, ADDRESS, DefaultValue::Required, None;
    CONTROL = [balancer] control, Balancer, ADDRESS, DefaultValue::Required, None;
    THREADS = [balancer] threads, Balancer, COUNT, DefaultValue::Value("2"), Some("threads");
    HINTS = [balancer] hints, Balancer, COUNT, DefaultValue::Value("200000"), Some("flows");
    SERVICE = [agent] service, Agent, NAME, DefaultValue::Required, None;
    LISTEN = [agent] listen, Agent, ADDRESS, DefaultValue::Required, None;
    FABRIC = [agent] fabric, Agent, ADDRESS, DefaultValue::Required, None;
    BACKEND = [agent] backend, Agent, ADDRESS, DefaultValue::Required, None;
    SLOTS = [agent] slots, Agent, COUNT, DefaultValue::Required, Some("requests");
    LOG_FILE = [log] file, Both, PATH, DefaultValue::Unset, None;
    LOG_LEVEL = [log] level, Both, "error, warn, info, debug or trace", DefaultValue::Value("info"), None;
    STATSD = [metrics] statsd, Both, ADDRESS, DefaultValue::Unset, None;
}
