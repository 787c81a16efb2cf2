use std::fmt;
use std::str::FromStr;

use indexmap::IndexMap;

use crate::{DataCentre, ParseError, Region};

// Bounds the memory of the list; several times the size of any known deployment.
const MAX_CENTRES: usize = 64;
const RULE: &str = "up to 64 different data centres as name:region, separated by commas";

/// The data centres of a deployment, each with its region.
///
/// ```
/// let centres: usher_types::Centres = "kolkata:bengal,patna:bihar".parse()?;
/// let patna = "patna".parse()?;
/// assert_eq!(centres.region(&patna).map(|region| region.as_str()), Some("bihar"));
/// assert_eq!(centres.to_string(), "kolkata:bengal,patna:bihar");
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Centres(IndexMap<DataCentre, Region>);

impl Centres {
    /// Whether no data centre is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The data centres in the order of the list.
    pub fn names(&self) -> impl Iterator<Item = &DataCentre> {
        self.0.keys()
    }

    /// Region of a data centre; `None` if the list does not name it.
    pub fn region(&self, centre: &DataCentre) -> Option<&Region> {
        self.0.get(centre)
    }
}

impl fmt::Display for Centres {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (centre, region)) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{centre}:{region}")?;
        }
        Ok(())
    }
}

impl FromStr for Centres {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || ParseError::new("list of data centres", text, RULE);
        let mut centres = IndexMap::new();
        let entries = text.split(',').map(str::trim);
        for entry in entries.filter(|entry| !entry.is_empty()) {
            let (centre, region) = entry.split_once(':').ok_or_else(invalid)?;
            let centre = centre.trim().parse()?;
            let known = centres.insert(centre, region.trim().parse()?);
            if known.is_some() || centres.len() > MAX_CENTRES {
                return Err(invalid());
            }
        }
        Ok(Self(centres))
    }
}
