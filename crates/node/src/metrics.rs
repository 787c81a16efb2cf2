use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use usher_forwarding::{ConfigurationVersion, RankCounts};
use usher_types::{DataCentre, Era, Span};

use crate::event::EVENTS;

// From 1 ms to 2 s: a request takes 4 to 260 ms, and a caller waits 3 s at most.
const WORK_BUCKETS: [f64; 11] = [
    0.001, 0.003, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0,
];
// Reports come every 100 ms; a host is avoided after 300 ms.
const AGE_BUCKETS: [f64; 7] = [0.01, 0.05, 0.1, 0.15, 0.25, 0.5, 2.0];
// A packet visits 16 agents at most.
const HOP_BUCKETS: [f64; 6] = [0.0, 1.0, 2.0, 4.0, 8.0, 16.0];

/// A metric of a node; `docs/metrics.md` lists all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeMetric {
    /// Name as it is served, without the suffix `_total` of a counter.
    pub name: &'static str,
    /// Counter, gauge or histogram.
    pub kind: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Help text.
    pub help: &'static str,
}

macro_rules! node_metrics {
    ($($const:ident = $name:literal, $kind:literal, $unit:literal, $help:literal;)*) => {
        $(const $const: NodeMetric = NodeMetric { name: $name, kind: $kind, unit: $unit, help: $help };)*

        /// All metrics of a node.
        pub const NODE_METRICS: &[NodeMetric] = &[$($const),*];
    };
}

node_metrics! {
    PACKETS = "usher_packets", "counter", "packets", "Packets handled, by direction";
    BYTES = "usher_packet_bytes", "counter", "bytes", "Bytes of packets handled, by direction";
    STORE_CALLS = "usher_store_calls", "counter", "calls", "Calls to the store, by call and outcome";
    EVENTS_SEEN = "usher_events", "counter", "events", "Log events, written or left out, by number";
    VERSION = "usher_configuration_version", "gauge", "revision", "Revision of the configuration in force, in its era of the store";
    LABEL = "usher_configuration_label", "gauge", "number", "Operator's number of the configuration in force";
    STORE_ERA = "usher_store_era", "gauge", "restores", "How often the store had been restored by its last answer";
    INVALID = "usher_store_invalid_entries", "gauge", "entries", "Entries of the store that cannot be decoded, by kind";
    EVACUATED = "usher_evacuated", "gauge", "s", "Time that the evacuation of a data centre has been in force, by data centre";
    HOSTS = "usher_hosts", "gauge", "hosts", "Hosts that the balancer knows";
    EJECTED = "usher_ejected_hosts", "gauge", "hosts", "Hosts that get no new flows but those of trials, since they differ from the others";
    FLOWS = "usher_flows", "gauge", "flows", "Flows in the memory of the agent";
    WORKING = "usher_working", "gauge", "requests", "Requests at the backend server";
    WORK = "usher_work_seconds", "histogram", "s", "Time from a request to the first packet of its answer";
    AGE = "usher_report_age_seconds", "histogram", "s", "Age of the report by which a flow was placed";
    FLEET_START = "usher_fleet_start", "gauge", "flag", "1 while evidence counts that all machines have started together";
    COMPLETE = "usher_flows_complete", "gauge", "flag", "1 if the agent knows all flows of its backend server";
    SEARCHES = "usher_search_packets", "counter", "packets", "Packets sent to search for the host of a flow";
    RESETS = "usher_flow_resets", "counter", "flows", "Open flows reset by a balancer since their host is gone, by cause";
    WAITED = "usher_waited", "counter", "requests", "Requests that waited for a slot, by rank";
    REFUSED = "usher_refused", "counter", "flows", "Flows refused for lack of room, by rank";
    HOPS = "usher_hops", "histogram", "agents", "Agents that passed an opening packet on before one took it";
    EXTRA_OPENINGS = "usher_extra_openings", "counter", "packets", "Opening packets sent to a second host, by cause";
    EXTRA_WITHHELD = "usher_extra_openings_withheld", "counter", "packets", "Opening packets not sent to a second host for lack of room or budget";
    GIVEN_UP = "usher_openings_given_up", "counter", "packets", "Opening packets dropped because they had waited in a socket for longer than their callers do";
    COLD_LIMITED = "usher_cold_limited", "counter", "packets", "Opening packets passed on because a cold backend server had got as many as it takes in a second";
}

/// Direction of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    /// From a caller or another node.
    Inbound,
    /// From the backend server.
    Outbound,
}

type Labels = [(&'static str, &'static str); 2];

/// Counters, gauges and histograms of a node, served in the `OpenMetrics` text format.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    packets: Family<[(&'static str, &'static str); 1], Counter>,
    inbound: (Counter, Counter),
    outbound: (Counter, Counter),
    store_calls: Family<Labels, Counter>,
    events: Family<[(&'static str, String); 1], Counter>,
    version: Gauge,
    label: Gauge,
    store_era: Gauge,
    invalid: Family<[(&'static str, &'static str); 1], Gauge>,
    evacuated: Family<[(&'static str, String); 1], Gauge>,
    hosts: Gauge,
    ejected: Gauge,
    flows: Gauge,
    working: Gauge,
    work: Histogram,
    age: Histogram,
    hops: Histogram,
    extra_openings: Family<[(&'static str, &'static str); 1], Counter>,
    extra_withheld: Family<[(&'static str, &'static str); 1], Counter>,
    cold_limited: Counter,
    given_up: Counter,
    fleet_start: Gauge,
    complete: Gauge,
    searches: Counter,
    resets: Family<[(&'static str, &'static str); 1], Counter>,
    waited: Family<[(&'static str, String); 1], Counter>,
    refused: Family<[(&'static str, String); 1], Counter>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::default();
        let packets = Family::<[(&'static str, &'static str); 1], Counter>::default();
        let bytes = Family::<[(&'static str, &'static str); 1], Counter>::default();
        let counters = |direction| {
            let label = [("direction", direction)];
            let packets = packets.get_or_create(&label).clone();
            (packets, bytes.get_or_create(&label).clone())
        };
        let metrics = Self {
            inbound: counters("inbound"),
            outbound: counters("outbound"),
            packets: packets.clone(),
            store_calls: Family::default(),
            events: Family::default(),
            version: Gauge::default(),
            label: Gauge::default(),
            store_era: Gauge::default(),
            invalid: Family::default(),
            evacuated: Family::default(),
            hosts: Gauge::default(),
            ejected: Gauge::default(),
            flows: Gauge::default(),
            working: Gauge::default(),
            work: Histogram::new(WORK_BUCKETS),
            age: Histogram::new(AGE_BUCKETS),
            hops: Histogram::new(HOP_BUCKETS),
            extra_openings: Family::default(),
            extra_withheld: Family::default(),
            cold_limited: Counter::default(),
            given_up: Counter::default(),
            fleet_start: Gauge::default(),
            complete: Gauge::default(),
            searches: Counter::default(),
            resets: Family::default(),
            waited: Family::default(),
            refused: Family::default(),
            registry: Registry::default(),
        };
        registry.register(PACKETS.name, PACKETS.help, metrics.packets.clone());
        registry.register(BYTES.name, BYTES.help, bytes);
        registry.register(
            STORE_CALLS.name,
            STORE_CALLS.help,
            metrics.store_calls.clone(),
        );
        registry.register(EVENTS_SEEN.name, EVENTS_SEEN.help, metrics.events.clone());
        registry.register(VERSION.name, VERSION.help, metrics.version.clone());
        registry.register(LABEL.name, LABEL.help, metrics.label.clone());
        registry.register(STORE_ERA.name, STORE_ERA.help, metrics.store_era.clone());
        registry.register(INVALID.name, INVALID.help, metrics.invalid.clone());
        registry.register(EVACUATED.name, EVACUATED.help, metrics.evacuated.clone());
        registry.register(HOSTS.name, HOSTS.help, metrics.hosts.clone());
        registry.register(EJECTED.name, EJECTED.help, metrics.ejected.clone());
        registry.register(FLOWS.name, FLOWS.help, metrics.flows.clone());
        registry.register(WORKING.name, WORKING.help, metrics.working.clone());
        registry.register(WORK.name, WORK.help, metrics.work.clone());
        registry.register(AGE.name, AGE.help, metrics.age.clone());
        registry.register(
            FLEET_START.name,
            FLEET_START.help,
            metrics.fleet_start.clone(),
        );
        registry.register(COMPLETE.name, COMPLETE.help, metrics.complete.clone());
        registry.register(SEARCHES.name, SEARCHES.help, metrics.searches.clone());
        registry.register(RESETS.name, RESETS.help, metrics.resets.clone());
        registry.register(WAITED.name, WAITED.help, metrics.waited.clone());
        registry.register(REFUSED.name, REFUSED.help, metrics.refused.clone());
        registry.register(HOPS.name, HOPS.help, metrics.hops.clone());
        registry.register(
            EXTRA_OPENINGS.name,
            EXTRA_OPENINGS.help,
            metrics.extra_openings.clone(),
        );
        registry.register(
            EXTRA_WITHHELD.name,
            EXTRA_WITHHELD.help,
            metrics.extra_withheld.clone(),
        );
        registry.register(
            COLD_LIMITED.name,
            COLD_LIMITED.help,
            metrics.cold_limited.clone(),
        );
        registry.register(GIVEN_UP.name, GIVEN_UP.help, metrics.given_up.clone());
        Self {
            registry,
            ..metrics
        }
    }

    /// Counts a packet.
    pub(crate) fn packet(&self, direction: Direction, bytes: usize) {
        let (packets, total) = match direction {
            Direction::Inbound => &self.inbound,
            Direction::Outbound => &self.outbound,
        };
        packets.inc();
        total.inc_by(bytes as u64);
    }

    /// Counts a call to the store.
    pub(crate) fn store_call(&self, call: &'static str, outcome: &'static str) {
        let labels = [("call", call), ("outcome", outcome)];
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Records the time from a request to its answer.
    pub(crate) fn work(&self, span: Span) {
        self.work.observe(span.as_secs_f64());
    }

    /// Records the age of the report by which a flow was placed.
    pub(crate) fn age(&self, span: Span) {
        self.age.observe(span.as_secs_f64());
    }

    /// Records the hops of an opening packet.
    pub(crate) fn hops(&self, hops: u8) {
        self.hops.observe(f64::from(hops));
    }

    /// Counts an opening packet that was sent to a second host.
    pub(crate) fn extra_opening(&self, cause: &'static str) {
        let labels = [("cause", cause)];
        self.extra_openings.get_or_create(&labels).inc();
    }

    /// Counts an opening packet that was due for a second host and not sent there.
    pub(crate) fn extra_withheld(&self, shortage: &'static str) {
        let labels = [("reason", shortage)];
        self.extra_withheld.get_or_create(&labels).inc();
    }

    /// Counts an opening packet that a cold host has passed on.
    pub(crate) fn cold_limited(&self) {
        self.cold_limited.inc();
    }

    /// Counts an opening packet that was dropped since it had waited for too long.
    pub(crate) fn opening_given_up(&self) {
        self.given_up.inc();
    }

    /// Counts a packet that searches for the host of a flow.
    pub(crate) fn search_packet(&self) {
        self.searches.inc();
    }

    /// Counts a flow that was reset since its host is gone.
    pub(crate) fn flow_reset(&self, cause: &'static str) {
        self.resets.get_or_create(&[("cause", cause)]).inc();
    }

    /// Sets whether evidence of a start of all machines counts.
    pub(crate) fn set_fleet_start(&self, together: bool) {
        set(&self.fleet_start, u64::from(together));
    }

    /// Sets whether the agent knows all flows of its backend server.
    pub(crate) fn set_complete(&self, complete: bool) {
        set(&self.complete, u64::from(complete));
    }

    /// Sets the gauges of a balancer.
    pub(crate) fn set_balancer(&self, version: ConfigurationVersion, era: Era, hosts: usize) {
        set(&self.version, version.stored.get());
        set(&self.label, version.label.get());
        set(&self.store_era, era.get());
        set(&self.hosts, hosts as u64);
    }

    /// Sets the number of ejected hosts.
    pub(crate) fn set_ejected(&self, hosts: usize) {
        set(&self.ejected, hosts as u64);
    }

    /// Sets the number of entries of a kind that cannot be decoded.
    pub(crate) fn set_invalid(&self, kind: &'static str, entries: usize) {
        set(
            &self.invalid.get_or_create(&[("kind", kind)]),
            entries as u64,
        );
    }

    /// Sets for how long each evacuation has been in force.
    pub(crate) fn set_evacuated<'a>(&self, centres: impl Iterator<Item = (&'a DataCentre, Span)>) {
        self.evacuated.clear();
        for (centre, span) in centres {
            let gauge = self
                .evacuated
                .get_or_create(&[("centre", centre.to_string())]);
            set(&gauge, span.as_millis() / 1_000);
        }
    }

    /// Sets the gauges of an agent.
    pub(crate) fn set_agent(&self, flows: usize, working: u16) {
        set(&self.flows, flows as u64);
        set(&self.working, u64::from(working));
    }

    /// Sets the counters of requests that waited or were refused.
    pub(crate) fn set_ranks(&self, counts: &RankCounts) {
        for (rank, count) in counts.iter() {
            let label = [("rank", rank.to_string())];
            raise(&self.waited.get_or_create(&label), count.waited);
            raise(&self.refused.get_or_create(&label), count.refused);
        }
    }

    /// All metrics as text.
    pub(crate) fn text(&self) -> String {
        for event in EVENTS {
            let label = [("event", format!("MU-E{}", event.code))];
            let total = usher_events::occurrences(event.code);
            raise(&self.events.get_or_create(&label), total);
        }
        let mut text = String::new();
        // Formatting into a string does not fail.
        if let Err(fault) = encode(&mut text, &self.registry) {
            return format!("# {fault}\n");
        }
        text
    }
}

// Raises a counter to a total that is counted elsewhere.
fn raise(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn set(gauge: &Gauge, value: u64) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}
