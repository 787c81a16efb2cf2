use std::net::SocketAddrV4;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Incarnation, InstanceId, Version};

/// One balancer of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancer {
    /// Distinguishes successive processes on the instance.
    pub incarnation: Incarnation,
    /// UDP address for heartbeats and hints.
    pub control: SocketAddrV4,
    /// TCP address of the administration RPC.
    pub admin: SocketAddrV4,
}

/// The balancers of a data centre; successive values are ordered by `version`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Version of the store object. The reader sets it; the stored value lacks it.
    #[serde(skip)]
    pub version: Version,
    /// Balancers by instance.
    pub balancers: IndexMap<InstanceId, Balancer>,
}
