//! Hosts that mislead: they report good health, and fail part of their requests or are slow.
//!
//! An agent counts what becomes of the requests of its host. A balancer compares the hosts of a
//! service, ejects those that differ from the others, and returns them after successful trials.
//! Nothing here performs I/O, reads a clock or encodes a message.

mod cause;
mod change;
mod host;
mod lifecycle;
mod norm;
mod observation;
mod outcome_counts;
mod outcome_window;
mod outliers;
mod standing;

pub use cause::Cause;
pub use change::Change;
pub use observation::Observation;
pub use outcome_counts::OutcomeCounts;
pub use outcome_window::OutcomeWindow;
pub use outliers::Outliers;
pub use standing::Standing;
