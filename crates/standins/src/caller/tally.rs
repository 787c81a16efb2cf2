use std::fmt;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde_json::{Value, json};
use usher_types::Span;

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts of requests by outcome, and latencies by method, of one run.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) late: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) failed: u64,
    pub(crate) broken_flows: u64,
    pub(crate) misrouted: u64,
    pub(crate) opened: u64,
    latencies: IndexMap<String, Histogram<u64>>,
}

impl Tally {
    pub(crate) fn record(&mut self, method: &str, latency: Span) {
        let histogram = self
            .latencies
            .entry(method.to_owned())
            .or_insert_with(new_histogram);
        histogram.saturating_record(latency.as_micros());
    }

    pub(crate) fn is_clean(&self) -> bool {
        self.unknown == 0 && self.broken_flows == 0 && self.misrouted == 0
    }

    pub(crate) fn json(&self) -> Value {
        let latencies: serde_json::Map<String, Value> = self
            .latencies
            .iter()
            .map(|(method, histogram)| (method.clone(), summary(histogram)))
            .collect();
        json!({
            "requests": self.requests,
            "answered": self.answered,
            "late": self.late,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "failed": self.failed,
            "broken_flows": self.broken_flows,
            "misrouted": self.misrouted,
            "opened": self.opened,
            "latency_us": latencies,
        })
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "requests={} answered={} not_run={} unknown={} broken_flows={} misrouted={}",
            self.requests,
            self.answered,
            self.not_run,
            self.unknown,
            self.broken_flows,
            self.misrouted
        )
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|error| unreachable!("the bounds are valid: {error}"))
}

fn summary(histogram: &Histogram<u64>) -> Value {
    json!({
        "count": histogram.len(),
        "p50": histogram.value_at_quantile(0.5),
        "p99": histogram.value_at_quantile(0.99),
        "p999": histogram.value_at_quantile(0.999),
        "max": histogram.max(),
    })
}
