use usher_types::Region;

/// Regions whose hosts the flows of a route may reach.
///
/// ```
/// use usher_forwarding::AllowedRegions;
/// let bengal: usher_types::Region = "bengal".parse()?;
/// assert!(AllowedRegions::All.allows(None));
/// assert!(AllowedRegions::Only(vec![bengal.clone()]).allows(Some(&bengal)));
/// assert!(!AllowedRegions::Only(vec![bengal]).allows(None));
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// Hosts of all regions, also of unknown ones.
    #[default]
    All,
    /// Hosts of these regions.
    Only(Vec<Region>),
}

impl AllowedRegions {
    /// Whether a host of this region may be reached; `None` if its region is not known.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        match self {
            Self::All => true,
            Self::Only(allowed) => region.is_some_and(|region| allowed.contains(region)),
        }
    }
}
