use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use usher_types::{DataCentre, Span, Time, Version};

use crate::{ActiveEvacuations, Evacuations};

/// The evacuations in force at one process, as it tells operators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// Version of the store as of which the process knows the requests; `None` if it knows none.
    pub known: Option<Version>,
    /// For how long each evacuation has been in force.
    pub centres: IndexMap<DataCentre, Span>,
}

impl EvacuationStatus {
    /// The status of a process at `now`.
    ///
    /// ```
    /// use usher_evacuation::{ActiveEvacuations, EvacuationStatus};
    /// use usher_types::Time;
    /// let status = EvacuationStatus::new(Time::ZERO, &ActiveEvacuations::default());
    /// assert_eq!(status, EvacuationStatus::default());
    /// ```
    pub fn new(now: Time, active: &ActiveEvacuations) -> Self {
        let centres = active.iter(now);
        Self {
            known: active.latest().map(Evacuations::as_of),
            centres: centres
                .map(|(centre, span)| (centre.clone(), span))
                .collect(),
        }
    }
}
