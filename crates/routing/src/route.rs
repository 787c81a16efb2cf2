use std::net::{Ipv4Addr, SocketAddrV4};

/// Agents that a packet may visit, in order; stored inline.
///
/// The first [`Route::current`] addresses are candidates for a new flow. The others are agents
/// that may hold the flow: owners under earlier rosters, draining members, suspected members.
///
/// ```
/// use usher_routing::Route;
/// let route = Route::default();
/// assert!(route.agents().is_empty());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    agents: [SocketAddrV4; Route::MAX],
    length: u8,
    current: u8,
}

impl Route {
    /// Largest number of addresses in a route.
    pub const MAX: usize = 6;

    /// The addresses in order of preference.
    pub fn agents(&self) -> &[SocketAddrV4] {
        &self.agents[..usize::from(self.length)]
    }

    /// Number of leading addresses that are candidates for a new flow.
    pub fn current(&self) -> u8 {
        self.current
    }

    /// Appends an agent unless the route is full or already contains it.
    ///
    /// All candidates must be appended before the agents that only may hold the flow.
    pub(crate) fn push(&mut self, agent: SocketAddrV4, candidate: bool) {
        let full = usize::from(self.length) == Self::MAX;
        if full || self.agents().contains(&agent) {
            return;
        }
        self.agents[usize::from(self.length)] = agent;
        self.length += 1;
        if candidate {
            self.current = self.length;
        }
    }

    /// Returns the route with the flow's holder in front, as a candidate.
    pub(crate) fn starting_at(&self, holder: SocketAddrV4) -> Self {
        let mut reordered = Self::default();
        reordered.push(holder, true);
        let listed = self.agents().contains(&holder);
        let skipped = self.displaced_index().filter(|_| !listed);
        for (index, agent) in self.agents().iter().enumerate() {
            if Some(index) != skipped {
                reordered.push(*agent, index < usize::from(self.current));
            }
        }
        reordered
    }

    /// Index of the address that a full route drops for the holder.
    ///
    /// This is the third candidate, which owned the bucket under no roster, otherwise the last
    /// address.
    fn displaced_index(&self) -> Option<usize> {
        let third = usize::from(self.current).saturating_sub(1);
        let place = if third >= 2 { third } else { Self::MAX - 1 };
        (usize::from(self.length) == Self::MAX).then_some(place)
    }
}

impl Default for Route {
    fn default() -> Self {
        Self {
            agents: [SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0); Self::MAX],
            length: 0,
            current: 0,
        }
    }
}
