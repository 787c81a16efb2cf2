use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_placement::bucket_of;
use usher_types::{Bucket, Buckets, FlowId, Generation, HostId, Roster, ServiceName, Version};

use crate::Route;
use crate::pool::{CANDIDATES, PICKS, Picks, Pool};

/// Routes of one service; immutable.
///
/// ```
/// use usher_routing::Table;
/// use usher_types::{Buckets, Generation, Roster};
/// let roster = Roster::default();
/// let table = Table::new("namedesk".parse()?, Generation::new(1), Buckets::new(16), [&roster]);
/// assert!(table.route(&"10.0.0.1:4000>192.0.2.1:80#7".parse()?).is_none());
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Table {
    service: ServiceName,
    generation: Generation,
    version: Version,
    buckets: Buckets,
    pool: Arc<Pool>,
    suspected: Arc<[usize]>,
}

impl Table {
    /// Builds the table from rosters, newest first; at most 3 are used.
    ///
    /// ```
    /// use usher_routing::Table;
    /// use usher_types::{Buckets, Generation};
    /// let table = Table::new("namedesk".parse()?, Generation::new(1), Buckets::new(16), []);
    /// assert_eq!(table.service().as_str(), "namedesk");
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn new<'a>(
        service: ServiceName,
        generation: Generation,
        buckets: Buckets,
        rosters: impl IntoIterator<Item = &'a Roster>,
    ) -> Self {
        let mut rosters = rosters.into_iter().peekable();
        let version = rosters
            .peek()
            .map_or_else(Version::default, |newest| newest.version);
        Self {
            service,
            generation,
            version,
            buckets,
            pool: Arc::new(Pool::new(rosters, buckets)),
            suspected: Arc::default(),
        }
    }

    /// The same table with another set of suspected hosts; shares everything else.
    ///
    /// ```
    /// use usher_routing::Table;
    /// use usher_types::{Buckets, Generation};
    /// let table = Table::new("namedesk".parse()?, Generation::new(1), Buckets::new(16), []);
    /// let table = table.with_suspected(&["namedesk-1".parse()?]);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    #[must_use]
    pub fn with_suspected<'a>(&self, hosts: impl IntoIterator<Item = &'a HostId>) -> Self {
        let known = hosts
            .into_iter()
            .filter_map(|host| self.pool.position(host));
        Self {
            suspected: known.collect(),
            ..self.clone()
        }
    }

    /// The service that the table belongs to.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Generation of the service's address.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Version of the newest roster.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The route of a flow; `None` if no roster has a member.
    ///
    /// A service whose members all drain has a route without candidates.
    ///
    /// ```
    /// use usher_routing::Table;
    /// use usher_types::{Buckets, Generation};
    /// let table = Table::new("namedesk".parse()?, Generation::new(1), Buckets::new(16), []);
    /// assert!(table.route(&"10.0.0.1:4000>192.0.2.1:80#7".parse()?).is_none());
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn route(&self, flow: &FlowId) -> Option<Route> {
        if self.pool.is_empty() {
            return None;
        }
        let bucket = bucket_of(flow, self.buckets);
        let picks = self.pool.picks(bucket);
        let route = match self.substitute(bucket, &picks) {
            Some(substitute) => self.ordered(&replace_third(&picks, substitute)),
            None if self.all_suspected(&picks) => self.in_order(&picks),
            None => self.ordered(&picks),
        };
        (!route.agents().is_empty()).then_some(route)
    }

    /// Whether an unsuspected member of the service has this address.
    pub(crate) fn reaches(&self, agent: SocketAddrV4) -> bool {
        self.pool
            .position_of_agent(agent)
            .is_some_and(|index| !self.is_suspected(index))
    }

    fn is_suspected(&self, index: usize) -> bool {
        self.suspected.contains(&index)
    }

    fn all_suspected(&self, picks: &Picks) -> bool {
        let mut candidates = picks[..CANDIDATES].iter().flatten();
        candidates.all(|index| self.is_suspected(*index))
    }

    /// An unsuspected member for a bucket whose candidates are all suspected.
    fn substitute(&self, bucket: Bucket, picks: &Picks) -> Option<usize> {
        if self.suspected.is_empty() || !self.all_suspected(picks) {
            return None;
        }
        self.pool
            .first_serving(bucket, |index| !self.is_suspected(index))
    }

    /// Live candidates, then live agents that may hold the flow.
    ///
    /// Suspected hosts are left out: an agent asks the earlier owners in a route before it opens a
    /// flow, and a dead one would never answer.
    fn ordered(&self, picks: &Picks) -> Route {
        let mut route = Route::default();
        for (place, index) in picks.iter().enumerate() {
            let live = index.filter(|index| !self.is_suspected(*index));
            if let Some(index) = live {
                route.push(self.pool.agent(index), place < CANDIDATES);
            }
        }
        route
    }

    /// Roster order; used when suspicion leaves no candidate to prefer.
    fn in_order(&self, picks: &Picks) -> Route {
        let mut route = Route::default();
        for (place, index) in picks.iter().enumerate() {
            if let Some(index) = *index {
                route.push(self.pool.agent(index), place < CANDIDATES);
            }
        }
        route
    }
}

// The third candidate gives way, because it owned the bucket under no known roster.
fn replace_third(picks: &Picks, substitute: usize) -> [Option<usize>; PICKS] {
    let mut replaced = *picks;
    replaced[CANDIDATES - 1] = Some(substitute);
    replaced
}
