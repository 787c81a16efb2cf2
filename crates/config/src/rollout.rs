use std::collections::BTreeMap;

use usher_types::{Incarnation, Peer, Version};

/// Configuration version that one process reports to have in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The process.
    pub peer: Peer,
    /// Tells successive processes of the peer apart.
    pub incarnation: Incarnation,
    /// Configuration version in force there.
    pub revision: Version,
}

/// Progress of a configuration version across the live processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutState {
    /// Every live process has the version in force.
    InForce,
    /// Some processes have an older version or have not reported.
    Waiting {
        /// Processes with an older version, and that version.
        lagging: Vec<(Peer, Version)>,
        /// Processes that have not reported.
        unreported: Vec<Peer>,
    },
}

/// Tracks which processes have a configuration version in force.
///
/// ```
/// use usher_config::{Rollout, RolloutState};
/// let rollout = Rollout::new(usher_types::Version::new(3));
/// assert_eq!(rollout.state(), RolloutState::InForce);
/// ```
#[derive(Debug, Clone)]
pub struct Rollout {
    target: Version,
    reports: BTreeMap<Peer, Option<(Incarnation, Version)>>,
}

impl Rollout {
    /// Tracks the version `target`.
    ///
    /// ```
    /// let rollout = usher_config::Rollout::new(usher_types::Version::new(3));
    /// assert_eq!(rollout.target().get(), 3);
    /// ```
    pub fn new(target: Version) -> Self {
        Self {
            target,
            reports: BTreeMap::new(),
        }
    }

    /// The version that is tracked.
    ///
    /// ```
    /// let rollout = usher_config::Rollout::new(usher_types::Version::new(3));
    /// assert_eq!(rollout.target().get(), 3);
    /// ```
    pub fn target(&self) -> Version {
        self.target
    }

    /// Adds a live process, whose report is required until it is removed.
    ///
    /// ```
    /// use usher_config::{Rollout, RolloutState};
    /// let mut rollout = Rollout::new(usher_types::Version::new(3));
    /// rollout.expect(usher_types::Peer::Host("desk-1".parse()?));
    /// assert_ne!(rollout.state(), RolloutState::InForce);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn expect(&mut self, peer: Peer) {
        self.reports.entry(peer).or_insert(None);
    }

    /// Removes a process that has left.
    ///
    /// ```
    /// use usher_config::{Rollout, RolloutState};
    /// let mut rollout = Rollout::new(usher_types::Version::new(3));
    /// let peer = usher_types::Peer::Host("desk-1".parse()?);
    /// rollout.expect(peer.clone());
    /// rollout.remove(&peer);
    /// assert_eq!(rollout.state(), RolloutState::InForce);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn remove(&mut self, peer: &Peer) {
        self.reports.remove(peer);
    }

    /// Records a report, also from a process that joined after tracking began.
    ///
    /// Reports may arrive out of order: within one incarnation the highest revision counts, and a
    /// report of an earlier incarnation is ignored.
    ///
    /// ```
    /// use usher_config::{Report, Rollout, RolloutState};
    /// use usher_types::{Incarnation, Peer, Version};
    /// let mut rollout = Rollout::new(Version::new(3));
    /// let peer = Peer::Host("desk-1".parse()?);
    /// rollout.report(Report { peer, incarnation: Incarnation::new(1), revision: Version::new(3) });
    /// assert_eq!(rollout.state(), RolloutState::InForce);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn report(&mut self, report: Report) {
        let entry = self.reports.entry(report.peer).or_insert(None);
        let newer = (report.incarnation, report.revision);
        if entry.is_none_or(|held| held < newer) {
            *entry = Some(newer);
        }
    }

    /// Whether the version is in force everywhere, or which processes lack it.
    ///
    /// ```
    /// use usher_config::{Rollout, RolloutState};
    /// let rollout = Rollout::new(usher_types::Version::new(3));
    /// assert_eq!(rollout.state(), RolloutState::InForce);
    /// ```
    pub fn state(&self) -> RolloutState {
        let mut lagging = Vec::new();
        let mut unreported = Vec::new();
        for (peer, report) in &self.reports {
            match report {
                None => unreported.push(peer.clone()),
                Some((_, revision)) if *revision < self.target => {
                    lagging.push((peer.clone(), *revision));
                }
                Some(_) => {}
            }
        }
        if lagging.is_empty() && unreported.is_empty() {
            return RolloutState::InForce;
        }
        RolloutState::Waiting {
            lagging,
            unreported,
        }
    }
}
