use usher_types::{DataCentre, HostId, Incarnation, InstanceId, Peer, ServiceName};

/// Which process a [`crate::Membership`] belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// The agent of a host.
    Agent {
        /// The host.
        host: HostId,
        /// Service of the host.
        service: ServiceName,
        /// Data centre of the host.
        centre: DataCentre,
        /// Tells successive processes on the host apart.
        incarnation: Incarnation,
    },
    /// A balancer.
    Balancer {
        /// Its instance.
        instance: InstanceId,
        /// Data centre of the instance.
        centre: DataCentre,
        /// Tells successive processes on the instance apart.
        incarnation: Incarnation,
    },
}

impl Identity {
    pub(crate) fn peer(&self) -> Peer {
        match self {
            Self::Agent { host, .. } => Peer::Host(host.clone()),
            Self::Balancer { instance, .. } => Peer::Instance(instance.clone()),
        }
    }

    pub(crate) fn centre(&self) -> &DataCentre {
        match self {
            Self::Agent { centre, .. } | Self::Balancer { centre, .. } => centre,
        }
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        match self {
            Self::Agent { incarnation, .. } | Self::Balancer { incarnation, .. } => *incarnation,
        }
    }

    pub(crate) fn host(&self) -> Option<&HostId> {
        match self {
            Self::Agent { host, .. } => Some(host),
            Self::Balancer { .. } => None,
        }
    }

    pub(crate) fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::Agent { service, .. } => Some(service),
            Self::Balancer { .. } => None,
        }
    }
}
