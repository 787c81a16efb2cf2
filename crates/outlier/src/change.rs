use usher_types::Span;

use crate::{Cause, OutcomeCounts, Standing};

/// A host whose standing has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change<Key> {
    /// The host.
    pub host: Key,
    /// Its standing from now on.
    pub standing: Standing,
    /// In what it differs most from the others.
    pub cause: Cause,
    /// Its outcomes.
    pub outcomes: OutcomeCounts,
    /// Its mean processing time.
    pub work: Span,
    /// Processing time that is usual in its service.
    pub usual: Span,
}
