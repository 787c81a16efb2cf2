use std::sync::Arc;

use usher_types::{Generation, Profile, Roster, Version};

/// Control state that an agent acts on; immutable.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// Generation of the service's address.
    pub generation: Generation,
    /// Profile of the service.
    pub profile: Arc<Profile>,
    /// Roster of the service.
    pub roster: Arc<Roster>,
    /// Configuration version that the view was built from.
    pub revision: Version,
    /// Whether this process wrote the service's first roster.
    pub created: bool,
}
