use usher_types::{DataCentre, Fleet, Incarnation, InstanceId, Version};

/// Silent balancers to remove from a fleet, and the fleet version to change.
///
/// ```
/// use usher_members::FleetProposal;
/// use usher_types::{Fleet, Version};
/// let base = Version::new(4);
/// let proposal = FleetProposal { centre: "kolkata".parse()?, base, balancers: vec![] };
/// assert!(proposal.apply(&Fleet::default()).is_none());
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetProposal {
    /// Data centre of the fleet.
    pub centre: DataCentre,
    /// Version that the store must still hold.
    pub base: Version,
    /// The balancers and their suspected incarnations; later incarnations stay.
    pub balancers: Vec<(InstanceId, Incarnation)>,
}

impl FleetProposal {
    /// The fleet to write; `None` if `fleet` is not the base version or nothing changes.
    ///
    /// ```
    /// use usher_members::FleetProposal;
    /// use usher_types::{Fleet, Version};
    /// let base = Version::new(0);
    /// let proposal = FleetProposal { centre: "kolkata".parse()?, base, balancers: vec![] };
    /// assert!(proposal.apply(&Fleet::default()).is_none());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn apply(&self, fleet: &Fleet) -> Option<Fleet> {
        if fleet.version != self.base {
            return None;
        }
        let mut changed = fleet.clone();
        changed.balancers.retain(|instance, listed| {
            let suspected = self.balancers.iter().find(|(name, _)| name == instance);
            suspected.is_none_or(|(_, incarnation)| listed.incarnation > *incarnation)
        });
        (changed.balancers.len() < fleet.balancers.len()).then_some(changed)
    }
}
