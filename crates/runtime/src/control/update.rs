use usher_config::{Object, ObjectKey};
use usher_store::Batch;
use usher_types::Version;

use super::ObjectBatch;
use crate::event;

/// All objects that a source holds above `after`, complete up to `through`.
#[derive(Debug, Default)]
pub(crate) struct Update {
    pub(crate) after: Version,
    pub(crate) through: Version,
    pub(crate) objects: Vec<Object>,
    /// Objects that the store holds and that could not be decoded.
    pub(crate) held: Vec<ObjectKey>,
    /// An object that is neither among `objects` nor in `held` is missing in the store.
    pub(crate) whole: bool,
}

impl Update {
    /// What a peer holds above `after`.
    pub(crate) fn from_peer(after: Version, batch: ObjectBatch) -> Self {
        Self {
            after,
            through: batch.through,
            objects: batch.objects,
            ..Self::default()
        }
    }

    /// One object as the store holds it.
    pub(crate) fn of(object: Object) -> Self {
        Self {
            objects: vec![object],
            ..Self::default()
        }
    }
}

impl From<Batch> for Update {
    fn from(batch: Batch) -> Self {
        for fault in &batch.unreadable {
            event::CONFIG_INVALID.log(&[("fault", fault)]);
        }
        let (held, whole) = (batch.held(), batch.is_complete());
        Self {
            after: batch.after,
            through: batch.through,
            objects: batch.objects,
            held,
            whole,
        }
    }
}
