use usher_types::Peer;

/// Hosts and balancers that one heartbeat can report as silent; bounds its size.
const MAX_SUSPECTS: usize = 32;

/// Chooses the silent peers that the heartbeats of one interval report.
///
/// Each interval continues after the last peer that the previous one reported, so that all are
/// reported in turn, whoever falls silent or returns in between.
#[derive(Debug, Default)]
pub(crate) struct SuspectRotation {
    /// The last peer of the previous interval.
    previous: Option<Peer>,
    /// The last peer of this interval.
    last: Option<Peer>,
}

impl SuspectRotation {
    /// Begins the next interval; `silent` are all peers that are silent.
    pub(crate) fn advance(&mut self, silent: impl Iterator<Item = Peer>) {
        self.previous = self.last.take();
        self.last = self.list(silent).pop();
    }

    /// The peers of `silent` that a heartbeat of this interval reports.
    pub(crate) fn list(&self, silent: impl Iterator<Item = Peer>) -> Vec<Peer> {
        let mut suspects: Vec<Peer> = silent.collect();
        if suspects.len() > MAX_SUSPECTS {
            let previous = self.previous.as_ref();
            suspects.sort_unstable_by(|one, other| {
                let passed = |peer| Some(peer) <= previous;
                passed(one).cmp(&passed(other)).then(one.cmp(other))
            });
            suspects.truncate(MAX_SUSPECTS);
        }
        suspects
    }
}
