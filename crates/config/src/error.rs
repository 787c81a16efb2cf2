use std::net::SocketAddrV4;

use thiserror::Error;
use usher_types::{Buckets, Generation, ProfileName, ServiceName, Time};

use crate::{Kind, ObjectKey};

/// Invalid configuration data, or use of an expired lease (`MU-2xxx`).
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// The text is not an object name.
    #[error("MU-2001: '{text}' is not a valid object name: {expected}")]
    Name {
        /// The refused text.
        text: String,
        /// The rule that it breaks.
        expected: &'static str,
    },
    /// The text is not a kind.
    #[error("MU-2002: '{0}' is not a kind: expected profile, service, roster, fleet or lease")]
    Kind(String),
    /// The text is not a write id.
    #[error("MU-2003: '{0}' is not a write id: expected up to 32 hexadecimal digits")]
    WriteId(String),
    /// The value belongs to another kind than the object.
    #[error("MU-2004: {key} holds a value of kind {found}")]
    WrongKind {
        /// The object.
        key: ObjectKey,
        /// Kind of the value.
        found: Kind,
    },
    /// A field of a profile is out of range.
    #[error("MU-2005: profile {profile}: {field} is {found}, expected {expected}")]
    Field {
        /// The profile.
        profile: String,
        /// Name of the field.
        field: String,
        /// The refused value.
        found: String,
        /// The rule that it breaks.
        expected: &'static str,
    },
    /// Callers cannot reach the address.
    #[error("MU-2006: service {service}: {address} is not an address that callers can reach")]
    Address {
        /// The service.
        service: ServiceName,
        /// The refused address.
        address: SocketAddrV4,
    },
    /// Two services have the same address.
    #[error("MU-2007: services {first} and {second} both have the address {address}")]
    SharedAddress {
        /// The service that has the address.
        first: ServiceName,
        /// The service that would share it.
        second: ServiceName,
        /// The address.
        address: SocketAddrV4,
    },
    /// A service selects a profile that does not exist.
    #[error("MU-2008: service {service} selects profile {profile}, which does not exist")]
    NoProfile {
        /// The service.
        service: ServiceName,
        /// The missing profile.
        profile: ProfileName,
    },
    /// A profile is deleted while a service selects it.
    #[error("MU-2009: profile {profile} cannot be deleted, service {service} selects it")]
    ProfileInUse {
        /// The profile.
        profile: ProfileName,
        /// A service that selects it.
        service: ServiceName,
    },
    /// The object to be deleted does not exist.
    #[error("MU-2010: {0} does not exist")]
    Missing(ObjectKey),
    /// A generation was given that differs from the current one.
    #[error(
        "MU-2011: service {service}: generation {found} was given, but the current one is \
         {current}; leave it out, it is derived"
    )]
    Generation {
        /// The service.
        service: ServiceName,
        /// The refused generation.
        found: Generation,
        /// The generation in force.
        current: Generation,
    },
    /// Another number of buckets would assign established flows to other hosts.
    #[error(
        "MU-2012: service {service} would go from {current} to {found} buckets, which breaks its \
         flows"
    )]
    Buckets {
        /// The service.
        service: ServiceName,
        /// The refused number.
        found: Buckets,
        /// The number in force.
        current: Buckets,
    },
    /// One object is named twice in a set of changes.
    #[error("MU-2013: {0} is changed twice")]
    Repeated(ObjectKey),
    /// Operators may not change objects of this kind.
    #[error("MU-2014: {0} is written by the system only")]
    SystemKind(ObjectKey),
    /// The lease is past its term on the holder's clock.
    #[error("MU-2015: the lease ended at {until}, it is {now}")]
    LeaseLapsed {
        /// End of the term.
        until: Time,
        /// Time of the attempt.
        now: Time,
    },
}

impl ConfigError {
    /// The error's number, for example `MU-2010`.
    ///
    /// ```
    /// let error = "lorry".parse::<usher_config::Kind>().unwrap_err();
    /// assert_eq!(error.code(), "MU-2002");
    /// ```
    pub fn code(&self) -> &'static str {
        match self {
            Self::Name { .. } => "MU-2001",
            Self::Kind(_) => "MU-2002",
            Self::WriteId(_) => "MU-2003",
            Self::WrongKind { .. } => "MU-2004",
            Self::Field { .. } => "MU-2005",
            Self::Address { .. } => "MU-2006",
            Self::SharedAddress { .. } => "MU-2007",
            Self::NoProfile { .. } => "MU-2008",
            Self::ProfileInUse { .. } => "MU-2009",
            Self::Missing(_) => "MU-2010",
            Self::Generation { .. } => "MU-2011",
            Self::Buckets { .. } => "MU-2012",
            Self::Repeated(_) => "MU-2013",
            Self::SystemKind(_) => "MU-2014",
            Self::LeaseLapsed { .. } => "MU-2015",
        }
    }
}
