//! Configuration state: versioned objects, tombstones, validation and outcomes of writes.
//!
//! Nothing here performs I/O, reads a clock or encodes a value.

mod cache;
mod catalog;
mod change;
mod check;
mod conflict;
mod diff;
mod error;
mod kind;
mod lease_record;
mod object;
mod object_name;
mod pending;
mod profile_rules;
mod restore_pace;
mod restore_wait;
mod rollout;
mod store_lease;
mod typed;
mod value;
mod write_id;

pub use cache::{Adoption, Cache};
pub use catalog::{Catalog, ServiceEntry};
pub use change::{Change, Condition, Rank, Write};
pub use check::check;
pub use conflict::Conflict;
pub use diff::{Diff, FieldChange};
pub use error::ConfigError;
pub use kind::Kind;
pub use lease_record::LeaseRecord;
pub use object::{Object, ObjectKey};
pub use object_name::ObjectName;
pub use pending::{Answer, Lost, Pending, Sent, Step};
pub use restore_pace::RestorePace;
pub use restore_wait::RestoreWait;
pub use rollout::{Report, Rollout, RolloutState};
pub use store_lease::{Held, Lapsed, StoreLease};
pub use value::Value;
pub use write_id::WriteId;
