use std::net::SocketAddrV4;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Incarnation, InstanceId, Version};

/// One balancer of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancer {
    /// Tells successive processes on the instance apart.
    pub incarnation: Incarnation,
    /// UDP address for heartbeats and hints.
    pub control: SocketAddrV4,
    /// TCP address of the administration RPC.
    pub admin: SocketAddrV4,
}

/// The balancers of a data centre, in the order of a store object's versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Version of the store object; set by whoever reads it.
    #[serde(skip)]
    pub version: Version,
    /// Balancers by instance.
    pub balancers: IndexMap<InstanceId, Balancer>,
}
