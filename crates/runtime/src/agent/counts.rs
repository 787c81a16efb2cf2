use std::fmt::Debug;

use indexmap::IndexMap;

use crate::metrics::Metrics;

/// Counters of the traffic thread, sent to the metrics client in batches.
#[derive(Debug, Default)]
pub(crate) struct Counts(IndexMap<String, u64>);

impl Counts {
    pub(crate) fn add(&mut self, group: &str, counter: &impl Debug) {
        *self.0.entry(format!("{group}.{counter:?}")).or_default() += 1;
    }

    pub(crate) fn flush(&mut self, metrics: &Metrics) {
        for (name, value) in self.0.drain(..) {
            metrics.count(&name, value);
        }
    }
}
