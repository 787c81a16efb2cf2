use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_platform::{CallError, Reply, Request};
use usher_types::Span;

use crate::metrics::Metrics;

const BAD_REQUEST: u16 = 400;

/// Calls one server and counts the outcomes.
#[derive(Debug)]
pub(crate) struct Client {
    inner: usher_platform::Client,
    metrics: Arc<Metrics>,
}

impl Client {
    pub(crate) fn new(address: SocketAddrV4, metrics: Arc<Metrics>) -> Self {
        let inner = usher_platform::Client::new(address);
        Self { inner, metrics }
    }

    pub(crate) async fn call(
        &self,
        what: &'static str,
        request: &Request,
        limit: Span,
    ) -> Result<Reply, CallError> {
        self.call_observed(what, request, limit, || {}).await
    }

    /// As [`Self::call`]; `on_part` is called at each part of the answer that arrives.
    pub(crate) async fn call_observed(
        &self,
        what: &'static str,
        request: &Request,
        limit: Span,
        on_part: impl FnMut(),
    ) -> Result<Reply, CallError> {
        let reply = self.inner.call_observed(request, limit, on_part).await;
        let outcome = match &reply {
            Ok(reply) if reply.status < BAD_REQUEST => "served",
            Ok(_) => "refused",
            Err(CallError::TimedOut) => "timed-out",
            Err(CallError::Stalled { .. }) => "stalled",
            Err(CallError::Connect(_)) => "not-connected",
            Err(CallError::Broken(_)) => "broken",
            Err(CallError::Header(_)) => "unreadable",
        };
        self.metrics.store_call(what, outcome);
        reply
    }
}
