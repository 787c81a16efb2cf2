use std::collections::HashMap;
use std::net::SocketAddrV4;

use usher_types::{ServiceName, Span, Time};

/// Longest time that a packet can stay in the network.
const PACKET_LIFETIME: Span = Span::from_secs(30);

/// Blocks an address for a packet's lifetime after it moved to another service.
///
/// An opening packet that was sent before the move may arrive after it. It would then open a flow
/// with a service that the caller did not address.
///
/// ```
/// use usher_routing::Quarantine;
/// use usher_types::{Span, Time};
/// let address = "192.0.2.1:80".parse().unwrap();
/// let (one, other) = ("namedesk".parse()?, "pedigree".parse()?);
/// let mut quarantine = Quarantine::default();
/// quarantine.update(Time::ZERO, [(address, &one)]);
/// quarantine.update(Time::ZERO, [(address, &other)]);
/// assert!(!quarantine.admits(Time::ZERO, address));
/// assert!(quarantine.admits(Time::ZERO + Span::from_secs(30), address));
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Default)]
pub struct Quarantine {
    assignments: HashMap<SocketAddrV4, Assignment>,
}

/// The service that has an address, or had it last.
#[derive(Debug)]
struct Assignment {
    service: ServiceName,
    // Time of the update that took the address from the service.
    removed: Option<Time>,
    blocked_until: Option<Time>,
}

impl Quarantine {
    /// Records which service has which address at `now`.
    pub fn update<'a>(
        &mut self,
        now: Time,
        services: impl IntoIterator<Item = (SocketAddrV4, &'a ServiceName)>,
    ) {
        let current: HashMap<SocketAddrV4, &ServiceName> = services.into_iter().collect();
        for (address, assignment) in &mut self.assignments {
            if current.get(address) != Some(&&assignment.service) {
                assignment.removed.get_or_insert(now);
            }
        }
        self.assignments.retain(|address, assignment| {
            let is_recent = assignment
                .removed
                .is_none_or(|removed| now - removed < PACKET_LIFETIME);
            is_recent || current.contains_key(address)
        });
        for (address, service) in current {
            self.assign(address, service);
        }
    }

    fn assign(&mut self, address: SocketAddrV4, service: &ServiceName) {
        let previous = self.assignments.get(&address);
        if previous.is_some_and(|assignment| assignment.service == *service) {
            if let Some(assignment) = self.assignments.get_mut(&address) {
                assignment.removed = None;
            }
            return;
        }
        let removed = previous.and_then(|assignment| assignment.removed);
        let blocked_until = removed.map(|removed| removed + PACKET_LIFETIME);
        let assignment = Assignment {
            service: service.clone(),
            removed: None,
            blocked_until,
        };
        self.assignments.insert(address, assignment);
    }

    /// Whether packets to an address may be forwarded at `now`.
    pub fn admits(&self, now: Time, address: SocketAddrV4) -> bool {
        let assignment = self.assignments.get(&address);
        assignment
            .and_then(|assignment| assignment.blocked_until)
            .is_none_or(|until| now >= until)
    }

    /// Returns the earliest time after `now` at which a blocked address is released.
    pub fn next_release(&self, now: Time) -> Option<Time> {
        let blocked_until = self
            .assignments
            .values()
            .filter_map(|assignment| assignment.blocked_until);
        blocked_until.filter(|until| *until > now).min()
    }
}
