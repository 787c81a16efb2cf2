//! Checks a configuration before it is sent, and compares it with the one in force.

mod change;
mod check;
mod compare;
mod draft;
mod fault;

pub use change::{Change, ChangeKind, FieldChange};
pub use check::{check, check_order};
pub use compare::compare;
pub use draft::{Draft, DraftRoute, DraftService, Unusable};
pub use fault::{Fault, Level};
