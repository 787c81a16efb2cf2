use std::net::SocketAddrV4;

use crate::http::{Answer, serve};
use crate::{NodeError, Settings};

/// Serves the metrics, if the settings name a port.
pub(crate) async fn serve_metrics(
    settings: &Settings,
    text: impl Fn() -> String + 'static,
) -> Result<(), NodeError> {
    if settings.metrics == 0 {
        return Ok(());
    }
    let address = SocketAddrV4::new(settings.node.address(), settings.metrics);
    serve(address, "metrics", move |method, path, _body| {
        match (method, path) {
            ("GET", "/metrics") => Answer::metrics(text()),
            _ => Answer::empty(404),
        }
    })
    .await
}
