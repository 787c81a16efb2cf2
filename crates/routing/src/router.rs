use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_types::{Body, Packet, Relay, RelayMode};

use crate::{DropReason, Forward, HintTable, Route, Table};

/// Routing tables of all services by service address; immutable.
///
/// ```
/// use std::sync::Arc;
/// use usher_routing::{Router, Table};
/// use usher_types::{Buckets, Generation};
/// let table = Table::new("namedesk".parse()?, Generation::new(1), Buckets::new(16), []);
/// let router = Router::new([("192.0.2.1:80".parse().unwrap(), Arc::new(table))]);
/// assert_eq!(router.len(), 1);
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct Router {
    tables: HashMap<SocketAddrV4, Arc<Table>>,
}

impl Router {
    /// Creates a router from tables by service address.
    ///
    /// ```
    /// assert!(usher_routing::Router::new([]).is_empty());
    /// ```
    pub fn new(tables: impl IntoIterator<Item = (SocketAddrV4, Arc<Table>)>) -> Self {
        Self {
            tables: tables.into_iter().collect(),
        }
    }

    /// Returns the table of a service address.
    ///
    /// ```
    /// let router = usher_routing::Router::default();
    /// assert!(router.table("192.0.2.1:80".parse().unwrap()).is_none());
    /// ```
    pub fn table(&self, address: SocketAddrV4) -> Option<&Arc<Table>> {
        self.tables.get(&address)
    }

    /// Number of services.
    pub fn len(&self) -> usize {
        self.tables.len()
    }

    /// Whether there are no services.
    pub fn is_empty(&self) -> bool {
        self.tables.is_empty()
    }

    /// Decides where a caller's packet goes.
    ///
    /// A hint is used only if its holder is an unsuspected member of the packet's service.
    ///
    /// ```
    /// use usher_routing::{DropReason, Forward, HintTable, Router};
    /// use usher_types::{Body, Packet, Sequence};
    /// let flow = "10.0.0.1:4000>192.0.2.1:80#7".parse()?;
    /// let packet = Packet { flow, sequence: Sequence::new(1), body: Body::Open };
    /// let balancer = "127.0.0.1:9000".parse().unwrap();
    /// let forward = Router::default().forward(packet, &mut HintTable::new(10), balancer);
    /// assert_eq!(forward, Forward::Drop(DropReason::UnknownService));
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn forward(
        &self,
        packet: Packet,
        hints: &mut HintTable,
        balancer: SocketAddrV4,
    ) -> Forward {
        if matches!(packet.body, Body::Accept | Body::Closed | Body::Reset) {
            return Forward::Drop(DropReason::WrongDirection);
        }
        let Some(table) = self.tables.get(&packet.flow.service) else {
            return Forward::Drop(DropReason::UnknownService);
        };
        let Some(route) = table.route(&packet.flow) else {
            return Forward::Drop(DropReason::NoMembers);
        };
        let holder = hints
            .holder(&packet.flow)
            .filter(|holder| table.is_live(*holder) && route.agents().first() != Some(holder));
        match holder {
            Some(holder) => send(
                table,
                &route.starting_at(holder),
                RelayMode::Direct,
                balancer,
                packet,
            ),
            None => send(table, &route, RelayMode::Owner, balancer, packet),
        }
    }
}

fn send(
    table: &Table,
    route: &Route,
    mode: RelayMode,
    balancer: SocketAddrV4,
    packet: Packet,
) -> Forward {
    Forward::Send {
        to: route.agents()[0],
        relay: Relay {
            service: table.service().clone(),
            generation: table.generation(),
            roster: table.version(),
            route: route.agents().to_vec(),
            current: route.current(),
            hop: 0,
            mode,
            balancer,
            packet,
        },
    }
}
