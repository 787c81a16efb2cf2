use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_placement::bucket_of;
use usher_types::{Bucket, Buckets, FlowId, Generation, HostId, Roster, ServiceName, Version};

use crate::Route;
use crate::ranked_hosts::{CANDIDATES, MAX_SELECTED, RankedHosts, Selected};

/// Routing table of one service; immutable.
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
    ranked: Arc<RankedHosts>,
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
            ranked: Arc::new(RankedHosts::new(rosters, buckets)),
            suspected: Arc::default(),
        }
    }

    /// Returns a copy of the table with another set of suspected hosts.
    ///
    /// The copy shares the ranked hosts.
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
            .filter_map(|host| self.ranked.position(host));
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

    /// Computes the route of a flow; `None` if no roster has a member.
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
        if self.ranked.is_empty() {
            return None;
        }
        let bucket = bucket_of(flow, self.buckets);
        let selected = self.ranked.selected(bucket);
        let route = match self.substitute(bucket, &selected) {
            Some(substitute) => self.unsuspected_route(&replace_third(&selected, substitute)),
            None if self.all_suspected(&selected) => self.full_route(&selected),
            None => self.unsuspected_route(&selected),
        };
        (!route.agents().is_empty()).then_some(route)
    }

    /// Whether the agent belongs to an unsuspected host of one of the rosters.
    pub(crate) fn is_live(&self, agent: SocketAddrV4) -> bool {
        self.ranked
            .position_of_agent(agent)
            .is_some_and(|index| !self.is_suspected(index))
    }

    fn is_suspected(&self, index: usize) -> bool {
        self.suspected.contains(&index)
    }

    fn all_suspected(&self, selected: &Selected) -> bool {
        let mut candidates = selected[..CANDIDATES].iter().flatten();
        candidates.all(|index| self.is_suspected(*index))
    }

    /// Finds an unsuspected member for a bucket whose candidates are all suspected.
    fn substitute(&self, bucket: Bucket, selected: &Selected) -> Option<usize> {
        if self.suspected.is_empty() || !self.all_suspected(selected) {
            return None;
        }
        self.ranked
            .first_serving(bucket, |index| !self.is_suspected(index))
    }

    /// Lists unsuspected candidates, then unsuspected agents that may hold the flow.
    ///
    /// Suspected hosts are left out: an agent asks the earlier owners in a route before it opens a
    /// flow, and a failed one would never answer.
    fn unsuspected_route(&self, selected: &Selected) -> Route {
        let mut route = Route::default();
        for (place, index) in selected.iter().enumerate() {
            let live = index.filter(|index| !self.is_suspected(*index));
            if let Some(index) = live {
                route.push(self.ranked.agent(index), place < CANDIDATES);
            }
        }
        route
    }

    /// Lists all agents in order of rank, suspected or not.
    ///
    /// Used when every member that could be a candidate is suspected.
    fn full_route(&self, selected: &Selected) -> Route {
        let mut route = Route::default();
        for (place, index) in selected.iter().enumerate() {
            if let Some(index) = *index {
                route.push(self.ranked.agent(index), place < CANDIDATES);
            }
        }
        route
    }
}

// Replaces the third candidate, because it owned the bucket under no known roster.
fn replace_third(selected: &Selected, substitute: usize) -> [Option<usize>; MAX_SELECTED] {
    let mut replaced = *selected;
    replaced[CANDIDATES - 1] = Some(substitute);
    replaced
}
