use std::hash::Hash;
use std::mem;

use indexmap::IndexMap;
use usher_types::Time;

use crate::lifecycle::Lifecycle;
use crate::norm::Norm;
use crate::{Change, Observation, Standing};

// One of this many hosts of a service may be ejected at a time.
const HOSTS_PER_EJECTED: usize = 3;

/// The hosts of one service and which of them are ejected.
///
/// ```
/// use usher_outlier::{Observation, OutcomeCounts, Outliers, Standing};
/// use usher_types::{Span, Time};
/// let mut outliers = Outliers::default();
/// let observe = |host, failed| Observation {
///     host,
///     born: 1,
///     present: true,
///     outcomes: OutcomeCounts::new(50.0, failed),
///     work: Span::from_millis(20),
/// };
/// let hosts = [observe(1, 0.0), observe(2, 40.0), observe(3, 1.0)];
/// outliers.judge(Time::ZERO, &hosts);
/// outliers.judge(Time::ZERO + Span::from_secs(1), &hosts);
/// assert_eq!(outliers.standing(2), Standing::Ejected);
/// ```
#[derive(Debug, Clone)]
pub struct Outliers<Key> {
    hosts: IndexMap<Key, (u64, Lifecycle)>,
}

impl<Key> Default for Outliers<Key> {
    fn default() -> Self {
        Self {
            hosts: IndexMap::new(),
        }
    }
}

impl<Key: Copy + Eq + Hash> Outliers<Key> {
    /// Standing of a host.
    pub fn standing(&self, host: Key) -> Standing {
        let known = self.hosts.get(&host);
        known.map_or(Standing::Watched, |(_, host)| host.standing())
    }

    /// Number of hosts that get no new flows but those of trials.
    pub fn ejected(&self) -> usize {
        let hosts = self.hosts.values();
        hosts.filter(|(_, host)| host.out_since().is_some()).count()
    }

    /// Compares all hosts of the service; returns those whose standing changes.
    ///
    /// To be called a few times a second. Hosts that are not observed are forgotten.
    pub fn judge(&mut self, now: Time, observations: &[Observation<Key>]) -> Vec<Change<Key>> {
        let norm = Norm::of(observations);
        let mut hosts = mem::take(&mut self.hosts);
        let mut before = Vec::with_capacity(observations.len());
        for seen in observations {
            let known = hosts.swap_remove(&seen.host);
            let (born, host) = known.unwrap_or((seen.born, Lifecycle::new(now)));
            before.push(host.standing());
            let host = if seen.present {
                host.advance(now, &norm, seen, born != seen.born)
            } else {
                host
            };
            self.hosts.insert(seen.host, (seen.born, host));
        }
        self.eject(now, &norm, observations);
        self.release(now, observations);
        let compared = observations.iter().zip(before);
        let moved = compared.filter(|(seen, before)| self.standing(seen.host) != *before);
        let changes = moved.map(|(seen, _)| Change {
            host: seen.host,
            standing: self.standing(seen.host),
            cause: norm.excess(seen.outcomes, seen.work).1,
            outcomes: seen.outcomes,
            work: seen.work,
            usual: norm.work,
        });
        changes.collect()
    }

    // Ejects those that have differed from the others for long enough, the worst first.
    fn eject(&mut self, now: Time, norm: &Norm, observations: &[Observation<Key>]) {
        let mut worst = Vec::new();
        for seen in observations.iter().filter(|seen| seen.present) {
            let Some((_, Lifecycle::Watched(host))) = self.hosts.get_mut(&seen.host) else {
                continue;
            };
            let (excess, _) = norm.excess(host.fresh(now, seen.outcomes), seen.work);
            if host.observe(now, excess >= 1.0) {
                worst.push((excess, seen.host));
            }
        }
        worst.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        let room = most_ejected(observations).saturating_sub(self.ejected());
        for (_, key) in worst.into_iter().take(room) {
            if let Some((_, host)) = self.hosts.get_mut(&key) {
                *host = match mem::replace(host, Lifecycle::new(now)) {
                    Lifecycle::Watched(watched) => Lifecycle::Ejected(watched.eject(now)),
                    other => other,
                };
            }
        }
    }

    // Returns hosts while too many are out, since others have left: the one that is out for longest
    // first.
    fn release(&mut self, now: Time, observations: &[Observation<Key>]) {
        let most = most_ejected(observations);
        while self.ejected() > most {
            let out = observations.iter().filter_map(|seen| {
                let (_, host) = self.hosts.get(&seen.host)?;
                host.out_since().map(|since| (since, seen))
            });
            let Some((_, seen)) = out.min_by_key(|(since, _)| *since) else {
                return;
            };
            if let Some((_, host)) = self.hosts.get_mut(&seen.host) {
                *host = mem::replace(host, Lifecycle::new(now)).release(now, seen);
            }
        }
    }
}

fn most_ejected<Key>(observations: &[Observation<Key>]) -> usize {
    let present = observations.iter().filter(|seen| seen.present).count();
    present / HOSTS_PER_EJECTED
}
