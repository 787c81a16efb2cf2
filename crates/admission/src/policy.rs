use serde::{Deserialize, Serialize};

/// Order in which queued requests of one class are dispatched.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum QueueOrder {
    /// Order of arrival, in a queue of fixed length.
    Fifo {
        /// Requests that may wait at the same time.
        length: usize,
    },
    /// Earliest deadline first; the queue is limited by the estimated wait.
    #[default]
    Deadline,
}

/// Switches for parts of the scheduler, so that alternatives can be compared.
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
    /// Short and long requests wait in separate queues.
    pub classes: bool,
    /// Long requests leave one slot to short requests.
    pub reservation: bool,
    /// Requests that cannot finish before their deadline are refused on arrival.
    pub refusal: bool,
    /// Queued requests of lower priority are shed for requests of higher priority.
    pub shedding: bool,
    /// Admission limit, in percent of the time to the deadline.
    ///
    /// A request is queued only if it is expected to finish within this limit. The rest covers
    /// wrong estimates and the way back to the caller.
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
