use std::collections::HashMap;
use std::net::SocketAddrV4;

use usher_types::{ServiceName, Span, Time};

/// Longest time that a packet stays in the network.
const PACKET_LIFETIME: Span = Span::from_secs(30);

/// Keeps an address that moved from one service to another out of use for a packet's lifetime.
///
/// A caller's first packet that was sent before the move may arrive after it, and would open a flow
/// with a service that the caller did not mean.
///
/// ```
/// use usher_routing::Quarantine;
/// use usher_types::{Span, Time};
/// let address = "192.0.2.1:80".parse().unwrap();
/// let (one, other) = ("namedesk".parse()?, "pedigree".parse()?);
/// let mut quarantine = Quarantine::default();
/// quarantine.note(Time::ZERO, [(address, &one)]);
/// quarantine.note(Time::ZERO, [(address, &other)]);
/// assert!(!quarantine.admits(Time::ZERO, address));
/// assert!(quarantine.admits(Time::ZERO + Span::from_secs(30), address));
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Default)]
pub struct Quarantine {
    users: HashMap<SocketAddrV4, User>,
}

#[derive(Debug)]
struct User {
    service: ServiceName,
    lost: Option<Time>,
    blocked: Option<Time>,
}

impl Quarantine {
    /// Notes which service has which address now.
    pub fn note<'a>(
        &mut self,
        now: Time,
        services: impl IntoIterator<Item = (SocketAddrV4, &'a ServiceName)>,
    ) {
        let current: HashMap<SocketAddrV4, &ServiceName> = services.into_iter().collect();
        for (address, user) in &mut self.users {
            if current.get(address) != Some(&&user.service) {
                user.lost.get_or_insert(now);
            }
        }
        self.users.retain(|address, user| {
            let is_recent = user.lost.is_none_or(|lost| now - lost < PACKET_LIFETIME);
            is_recent || current.contains_key(address)
        });
        for (address, service) in current {
            self.assign(address, service);
        }
    }

    fn assign(&mut self, address: SocketAddrV4, service: &ServiceName) {
        let before = self.users.get(&address);
        if before.is_some_and(|user| user.service == *service) {
            if let Some(user) = self.users.get_mut(&address) {
                user.lost = None;
            }
            return;
        }
        let lost = before.and_then(|user| user.lost);
        let blocked = lost.map(|lost| lost + PACKET_LIFETIME);
        let user = User {
            service: service.clone(),
            lost: None,
            blocked,
        };
        self.users.insert(address, user);
    }

    /// Whether packets to an address may be forwarded.
    pub fn admits(&self, now: Time, address: SocketAddrV4) -> bool {
        let user = self.users.get(&address);
        user.and_then(|user| user.blocked)
            .is_none_or(|until| now >= until)
    }

    /// When the next address comes into use.
    pub fn next_release(&self, now: Time) -> Option<Time> {
        let blocked = self.users.values().filter_map(|user| user.blocked);
        blocked.filter(|until| *until > now).min()
    }
}
