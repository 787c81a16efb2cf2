use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use usher_types::{DataCentre, Version};

/// The evacuated data centres, as the store held them at a version.
///
/// ```
/// use usher_evacuation::Evacuations;
/// use usher_types::Version;
/// let mut evacuations = Evacuations::new(Version::new(17));
/// evacuations.request("kolkata".parse()?);
/// assert!(evacuations.contains(&"kolkata".parse()?));
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Encoded")]
pub struct Evacuations {
    as_of: Version,
    centres: IndexSet<DataCentre>,
}

/// Evacuations of another process, whose number is not checked yet.
#[derive(Deserialize)]
struct Encoded {
    as_of: Version,
    centres: IndexSet<DataCentre>,
}

impl Evacuations {
    /// Maximum number of evacuated data centres, which bounds messages and tables.
    pub const MAX: usize = 64;

    /// No evacuations as of a version.
    pub fn new(as_of: Version) -> Self {
        Self {
            as_of,
            centres: IndexSet::new(),
        }
    }

    /// Version of the store as of which the set is complete.
    pub fn as_of(&self) -> Version {
        self.as_of
    }

    /// The evacuated data centres.
    pub fn centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.centres.iter()
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, centre: &DataCentre) -> bool {
        self.centres.contains(centre)
    }

    /// Adds a data centre; `false` if the set is full.
    pub fn request(&mut self, centre: DataCentre) -> bool {
        if self.centres.len() >= Self::MAX && !self.centres.contains(&centre) {
            return false;
        }
        self.centres.insert(centre);
        true
    }

    /// Removes the data centre of this name, if it is evacuated.
    pub fn withdraw(&mut self, name: &str) {
        self.centres.retain(|centre| centre.as_str() != name);
    }

    /// The set holds as of a later version.
    pub fn advance(&mut self, as_of: Version) {
        self.as_of = self.as_of.max(as_of);
    }
}

impl TryFrom<Encoded> for Evacuations {
    type Error = &'static str;

    fn try_from(encoded: Encoded) -> Result<Self, Self::Error> {
        let Encoded { as_of, centres } = encoded;
        if centres.len() > Self::MAX {
            return Err("more than 64 evacuated data centres");
        }
        Ok(Self { as_of, centres })
    }
}
