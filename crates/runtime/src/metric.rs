use std::fmt::{self, Display};

/// How a value is sent to statsd.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Increments since the last report.
    Counter,
    /// The current value.
    Gauge,
    /// A time span.
    Timer,
}

impl Display for MetricKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Timer => "timer",
        })
    }
}

/// A metric that a process sends; `docs/metrics.md` lists all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// Role of the process, part of the name's prefix.
    pub role: &'static str,
    /// Name after the prefix `marigoldusher.ROLE.`.
    pub name: &'static str,
    /// How it is sent.
    pub kind: MetricKind,
    /// Unit of the value.
    pub unit: &'static str,
}

const BALANCER: &str = "balancer";
const AGENT: &str = "agent";

pub(crate) const FORWARDED: Metric = counter(BALANCER, "forwarded", "packets");
pub(crate) const MALFORMED: Metric = counter(BALANCER, "malformed", "datagrams");
pub(crate) const UNKNOWN_SERVICE: Metric = counter(BALANCER, "dropped.unknown_service", "packets");
pub(crate) const NO_MEMBERS: Metric = counter(BALANCER, "dropped.no_members", "packets");
pub(crate) const WRONG_DIRECTION: Metric = counter(BALANCER, "dropped.wrong_direction", "packets");
pub(crate) const REVISION: Metric = gauge(BALANCER, "revision", "store version");
pub(crate) const AGENT_MALFORMED: Metric = counter(AGENT, "malformed", "datagrams");
pub(crate) const WAIT: Metric = timer(AGENT, "wait", "ms");
pub(crate) const FLOWS: Metric = gauge(AGENT, "flows", "flows");
pub(crate) const RECORDS: Metric = gauge(AGENT, "records", "records");

/// All metrics, in the order of `docs/metrics.md`.
///
/// The agent's counters with a dot in their name are the counters of the decision crates.
pub const METRICS: &[Metric] = &[
    FORWARDED,
    MALFORMED,
    UNKNOWN_SERVICE,
    NO_MEMBERS,
    WRONG_DIRECTION,
    REVISION,
    AGENT_MALFORMED,
    WAIT,
    FLOWS,
    RECORDS,
    counter(AGENT, "agent.wrong_service", "messages"),
    counter(AGENT, "flows.accepted", "flows"),
    counter(AGENT, "flows.hunted", "flows"),
    counter(AGENT, "flows.closed", "flows"),
    counter(AGENT, "flows.expired", "flows"),
    counter(AGENT, "flows.reset", "flows"),
    counter(AGENT, "flows.wrong_service", "packets"),
    counter(AGENT, "flows.old_generation", "packets"),
    counter(AGENT, "flows.unknown_flow", "packets"),
    counter(AGENT, "flows.late_packet", "packets"),
    counter(AGENT, "flows.no_candidate", "packets"),
    counter(AGENT, "flows.hop_limit", "packets"),
    counter(AGENT, "flows.malformed", "packets"),
    counter(AGENT, "flows.overflow", "packets"),
    counter(AGENT, "flows.duplicate", "packets"),
    counter(AGENT, "flows.reply_dropped", "messages"),
    counter(AGENT, "flows.conflict", "flows"),
    counter(AGENT, "flows.taken_over", "flows"),
    counter(AGENT, "flows.handed_over", "flows"),
    counter(AGENT, "requests.joined", "requests"),
    counter(AGENT, "requests.refused", "requests"),
    counter(AGENT, "requests.retried", "runs"),
    counter(AGENT, "requests.retry_denied", "runs"),
    counter(AGENT, "requests.claim_lapsed", "requests"),
    counter(AGENT, "requests.offered", "requests"),
    counter(AGENT, "requests.delegated", "requests"),
    counter(AGENT, "requests.offer_lost", "offers"),
    counter(AGENT, "requests.outcome_lost", "requests"),
    counter(AGENT, "requests.aged", "requests"),
    counter(AGENT, "requests.stale", "events"),
    counter(AGENT, "dedupe.granted", "claims"),
    counter(AGENT, "dedupe.duplicate", "claims"),
    counter(AGENT, "dedupe.deferred", "claims"),
    counter(AGENT, "dedupe.stale", "claims"),
    counter(AGENT, "dedupe.misdirected", "claims"),
    counter(AGENT, "dedupe.abandoned", "claims"),
];

const fn counter(role: &'static str, name: &'static str, unit: &'static str) -> Metric {
    let kind = MetricKind::Counter;
    Metric {
        role,
        name,
        kind,
        unit,
    }
}

const fn gauge(role: &'static str, name: &'static str, unit: &'static str) -> Metric {
    let kind = MetricKind::Gauge;
    Metric {
        role,
        name,
        kind,
        unit,
    }
}

const fn timer(role: &'static str, name: &'static str, unit: &'static str) -> Metric {
    let kind = MetricKind::Timer;
    Metric {
        role,
        name,
        kind,
        unit,
    }
}

impl Metric {
    /// Metric name of a decision crate's counter, for example `flows.hop_limit` for `HopLimit`.
    pub(crate) fn counter_name(part: &str, counter: &str) -> String {
        let mut name = part.to_owned();
        for (index, letter) in counter.char_indices() {
            if index == 0 {
                name.push('.');
            } else if letter.is_ascii_uppercase() {
                name.push('_');
            }
            name.push(letter.to_ascii_lowercase());
        }
        name
    }

    /// The agent's metric with this name.
    pub(crate) fn agent_counter(name: &str) -> Option<&'static Self> {
        let mut agent = METRICS.iter().filter(|metric| metric.role == AGENT);
        agent.find(|metric| metric.name == name)
    }
}
