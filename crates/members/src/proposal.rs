use usher_types::{PastRoster, Roster, ServiceName, Version};

use crate::Change;

/// A roster change and the version that it is based on.
///
/// ```
/// use usher_members::{Change, Proposal};
/// use usher_types::{Roster, Version};
/// let change = Change::Remove { hosts: vec![] };
/// let base = Version::new(4);
/// let proposal = Proposal { service: "namedesk".parse()?, base, change };
/// assert!(proposal.apply(&Roster::default()).is_none());
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Service of the roster.
    pub service: ServiceName,
    /// Version that the store must still hold; 0 if the store has no roster yet.
    pub base: Version,
    /// What changes.
    pub change: Change,
}

impl Proposal {
    /// The roster to write; `None` if `roster` is not the base version.
    ///
    /// ```
    /// use usher_members::{Change, Proposal};
    /// use usher_types::{Roster, Version};
    /// let change = Change::Remove { hosts: vec![] };
    /// let proposal = Proposal { service: "namedesk".parse()?, base: Version::new(0), change };
    /// assert_eq!(proposal.apply(&Roster::default()), Some(Roster::default()));
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn apply(&self, roster: &Roster) -> Option<Roster> {
        if roster.version != self.base {
            return None;
        }
        let mut changed = roster.clone();
        self.change.apply(&mut changed);
        Some(changed)
    }

    /// The roster to write, with earlier rosters whose members may still act as owners.
    ///
    /// It lists the replaced roster and those of its earlier rosters whose versions are in
    /// `unsettled`; with `None` it keeps all, because the writer does not know which are settled.
    ///
    /// ```
    /// use usher_members::{Change, Proposal};
    /// use usher_types::{Roster, Version};
    /// let change = Change::Remove { hosts: vec![] };
    /// let proposal = Proposal { service: "namedesk".parse()?, base: Version::new(0), change };
    /// assert!(proposal.apply_with_history(&Roster::default(), None).unwrap().earlier.is_empty());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn apply_with_history(
        &self,
        current: &Roster,
        unsettled: Option<&[Version]>,
    ) -> Option<Roster> {
        let mut changed = self.apply(current)?;
        let is_unsettled =
            |past: &PastRoster| unsettled.is_none_or(|versions| versions.contains(&past.version));
        changed.earlier.retain(is_unsettled);
        if current.version > Version::default() && !current.members.is_empty() {
            let past = PastRoster {
                version: current.version,
                members: current.members.clone(),
            };
            changed.earlier.insert(0, past);
        }
        Some(changed)
    }
}
