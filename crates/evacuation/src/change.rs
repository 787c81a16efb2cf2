use usher_types::DataCentre;

/// What a newer set of evacuations, or the passing of time, has changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Data centres whose evacuation came into force.
    pub began: Vec<DataCentre>,
    /// Data centres whose evacuation ended.
    pub ended: Vec<DataCentre>,
    /// Data centres whose evacuation stays in force for a while, although a restored store lacks it.
    pub retained: Vec<DataCentre>,
}

impl Change {
    /// Whether the same data centres are evacuated as before.
    ///
    /// ```
    /// assert!(usher_evacuation::Change::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.began.is_empty() && self.ended.is_empty()
    }
}
