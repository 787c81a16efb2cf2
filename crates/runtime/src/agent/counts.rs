use indexmap::IndexMap;

use crate::metrics::Metrics;

/// Counters of the traffic thread, sent to the metrics client in batches.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    totals: IndexMap<String, u64>,
    sent: IndexMap<String, u64>,
}

impl Counts {
    pub(crate) fn add(&mut self, part: &str, name: &str) {
        *self.totals.entry(format!("{part}.{name}")).or_default() += 1;
    }

    /// Counts since the process started.
    pub(crate) fn totals(&self) -> &IndexMap<String, u64> {
        &self.totals
    }

    pub(crate) fn flush(&mut self, metrics: &Metrics) {
        for (name, total) in &self.totals {
            let sent = self.sent.entry(name.clone()).or_default();
            if *total > *sent {
                metrics.count(name, *total - *sent);
                *sent = *total;
            }
        }
    }
}
