use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use usher_forwarding::{HostPage, NodeId};
use usher_platform::Request;
use usher_types::Span;

use super::control::HOSTS_PATH;
use super::state::State;
use crate::event;
use crate::http::Client;

// A balancer answers within a round trip between data centres.
const CALL_TIMEOUT: Span = Span::from_millis(1_000);
const OK: u16 = 200;

/// Fetches the hosts that another balancer knows.
pub(crate) async fn fetch_hosts(state: Rc<RefCell<State>>, from: NodeId, port: u16) {
    let address = SocketAddrV4::new(from.address(), port);
    let metrics = Arc::clone(&state.borrow().metrics);
    let client = Client::new(address, metrics);
    let mut after = NodeId::NONE;
    loop {
        let page = match fetch_page(&client, after).await {
            Ok(page) => page,
            Err(fault) => {
                event::HOSTS_NOT_FETCHED.log(&[("balancer", &from), ("fault", &fault)]);
                return;
            }
        };
        state.borrow_mut().merge_hosts(from, &page);
        match page.hosts.last().filter(|_| page.more) {
            Some(last) => after = last.agent,
            None => return,
        }
    }
}

async fn fetch_page(client: &Client, after: NodeId) -> Result<HostPage, String> {
    let request = Request {
        method: "GET",
        path: format!("{HOSTS_PATH}{after}"),
        body: String::new(),
    };
    let reply = client
        .call("hosts", &request, CALL_TIMEOUT)
        .await
        .map_err(|fault| fault.to_string())?;
    if reply.status != OK {
        return Err(format!("status {}", reply.status));
    }
    serde_json::from_slice(&reply.body).map_err(|fault| fault.to_string())
}
