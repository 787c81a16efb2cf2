//! The deployment of a case: a store, balancers, agents with their hosts, routers and a client.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use crate::client::{Client, Router};
use crate::host::{Arrivals, Host};
use crate::lab::{FIRST_CLIENT, Lab, Node, wait_until};
use crate::store::Store;

pub const DESK: &str = "namedesk";
pub const SHEETS: &str = "pedigree";
pub const ZONE: &str = "kolkata";
const FIRST_BALANCER: u8 = 2;
const FIRST_HOST: u8 = 10;
// How long the platform waits before it starts a process that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const END_LIMIT: Duration = Duration::from_secs(6);
const READY_LIMIT: Duration = Duration::from_secs(15);

pub struct Setup {
    pub store: Store,
    pub router: Router,
    pub client: Client,
    pub balancers: Vec<Node>,
    _agents: Vec<Node>,
    pub hosts: Vec<Host>,
    pub arrivals: Arrivals,
}

/// Address of a route by its number.
pub fn route(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 8443)
}

impl Setup {
    /// Starts `balancers` balancers of the client's zone, and hosts of both services.
    pub fn start(
        lab: &Lab,
        balancers: u8,
        desks: u8,
        sheets: u8,
        routes: &[(SocketAddrV4, &str)],
    ) -> Result<Self, String> {
        let failed = |fault: std::io::Error| fault.to_string();
        let store = Store::start(lab.store_address()).map_err(failed)?;
        store.configure(3, routes);
        let arrivals = Arrivals::default();
        let mut nodes = Vec::new();
        for machine in FIRST_BALANCER..FIRST_BALANCER + balancers {
            nodes.push(lab.start(machine, ZONE, None).map_err(failed)?);
        }
        let (mut agents, mut hosts) = (Vec::new(), Vec::new());
        for index in 0..desks + sheets {
            let (machine, service) = (FIRST_HOST + index, if index < desks { DESK } else { SHEETS });
            agents.push(lab.start(machine, ZONE, Some(service)).map_err(failed)?);
            hosts.push(Host::start(lab, machine, service, ZONE, &arrivals).map_err(failed)?);
        }
        let addresses: Vec<Ipv4Addr> = nodes.iter().map(|node| node.address).collect();
        let router = Router::start(lab, &addresses);
        let client = Client::start(lab, FIRST_CLIENT, &router).map_err(failed)?;
        if !wait_until(READY_LIMIT, || router.in_rotation() == addresses.len()) {
            return Err("not all balancers are ready".to_owned());
        }
        // All hosts have sent their second heartbeat by then.
        std::thread::sleep(Duration::from_secs(3));
        Ok(Self { store, router, client, balancers: nodes, _agents: agents, hosts, arrivals })
    }

    /// Stops a balancer as planned, waits for its end and starts it again.
    pub fn restart_balancer(&mut self, lab: &Lab, index: usize) -> Result<(), String> {
        let node = &mut self.balancers[index];
        node.signal("TERM");
        if !wait_until(END_LIMIT, || node.has_ended()) {
            return Err("the balancer did not end".to_owned());
        }
        std::thread::sleep(RESTART_DELAY);
        let machine = node.address.octets()[3];
        *node = lab.start(machine, ZONE, None).map_err(|fault| fault.to_string())?;
        Ok(())
    }
}
