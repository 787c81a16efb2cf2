use indexmap::IndexMap;

use crate::Metric;
use crate::metrics::Metrics;

/// Counters of the traffic thread, sent to the metrics client in batches.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    counts: IndexMap<(&'static str, String), Count>,
}

#[derive(Debug, Default)]
struct Count {
    total: u64,
    sent: u64,
}

impl Counts {
    pub(crate) fn add(&mut self, part: &'static str, name: String) {
        self.counts.entry((part, name)).or_default().total += 1;
    }

    /// Counts since the process started, by the names of the metrics.
    pub(crate) fn totals(&self) -> IndexMap<String, u64> {
        let counts = self.counts.iter();
        counts
            .map(|((part, name), count)| (Metric::counter_name(part, name), count.total))
            .collect()
    }

    pub(crate) fn flush(&mut self, metrics: &Metrics) {
        for ((part, name), count) in &mut self.counts {
            let new = count.total - count.sent;
            if new == 0 {
                continue;
            }
            if let Some(metric) = Metric::agent_counter(&Metric::counter_name(part, name)) {
                metrics.count(metric, new);
            }
            count.sent = count.total;
        }
    }
}
