use std::net::{SocketAddrV4, UdpSocket};
use std::time::Duration;

use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use usher_types::Span;

use crate::{Metric, RuntimeError};

/// Metrics of one process, sent to statsd; `docs/metrics.md` lists the names.
#[derive(Debug, Clone)]
pub(crate) struct Metrics(std::sync::Arc<StatsdClient>);

impl Metrics {
    /// A client that sends to `statsd`, or nowhere when none is set.
    pub(crate) fn new(prefix: &str, statsd: Option<SocketAddrV4>) -> Result<Self, RuntimeError> {
        let Some(address) = statsd else {
            return Ok(Self(StatsdClient::from_sink(prefix, NopMetricSink).into()));
        };
        let fault = |error: &dyn std::fmt::Display| RuntimeError::Metrics(error.to_string());
        let socket = UdpSocket::bind("0.0.0.0:0").map_err(|error| fault(&error))?;
        socket
            .set_nonblocking(true)
            .map_err(|error| fault(&error))?;
        let sink = UdpMetricSink::from(address, socket).map_err(|error| fault(&error))?;
        // The queue sends from a thread of its own, so that traffic threads never wait for it.
        Ok(Self(
            StatsdClient::from_sink(prefix, QueuingMetricSink::from(sink)).into(),
        ))
    }

    /// Adds to a counter.
    pub(crate) fn count(&self, metric: &Metric, value: u64) {
        let _ = self.0.count(metric.name, value);
    }

    /// Sets a gauge.
    pub(crate) fn gauge(&self, metric: &Metric, value: u64) {
        let _ = self.0.gauge(metric.name, value);
    }

    /// Records a time.
    pub(crate) fn time(&self, metric: &Metric, span: Span) {
        let _ = self
            .0
            .time(metric.name, Duration::from_micros(span.as_micros()));
    }
}
