use serde::{Deserialize, Serialize};

/// Order in which queued requests of one class are dispatched.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum QueueOrder {
    /// Order of arrival, with a fixed number of places.
    Fifo {
        /// Requests that may wait at the same time.
        length: usize,
    },
    /// Earliest deadline first, bounded by time.
    #[default]
    Deadline,
}

/// Selects the parts of the scheduler that are in use, so that alternatives can be compared.
///
/// ```
/// let policy = usher_admission::Policy::default();
/// assert!(policy.classes && policy.offers);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the switches are independent of each other"
)]
pub struct Policy {
    /// Order within a class.
    pub order: QueueOrder,
    /// Short and long work wait in separate queues.
    pub classes: bool,
    /// Long work leaves one slot to short work.
    pub reservation: bool,
    /// Requests that cannot finish before their deadline are refused on arrival.
    pub refusal: bool,
    /// Queued work of lower priority makes room for work of higher priority.
    pub shedding: bool,
    /// Share of the time to its deadline, in percent, within which a request must be expected to end
    /// to be queued. The rest covers wrong estimates and the way back to the caller.
    pub horizon: u8,
    /// Queued requests are offered to peers with a shorter wait.
    pub offers: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            order: QueueOrder::default(),
            classes: true,
            reservation: true,
            refusal: true,
            shedding: true,
            horizon: 50,
            offers: true,
        }
    }
}
