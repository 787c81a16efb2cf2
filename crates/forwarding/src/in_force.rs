use std::sync::Arc;

use usher_types::Version;

use crate::Configuration;

/// The configuration in force; it never goes back to an older version.
///
/// ```
/// use usher_forwarding::{Configuration, InForce};
/// use usher_types::Version;
/// let mut in_force = InForce::default();
/// let version = Version::new(5);
/// assert!(in_force.adopt(Configuration { version, ..Configuration::default() }));
/// assert!(!in_force.adopt(Configuration { version, ..Configuration::default() }));
/// ```
#[derive(Debug, Clone, Default)]
pub struct InForce {
    current: Arc<Configuration>,
}

impl InForce {
    /// Takes a configuration, if it is newer.
    pub fn adopt(&mut self, offered: Configuration) -> bool {
        let newer = offered.version > self.current.version;
        if newer {
            self.current = Arc::new(offered);
        }
        newer
    }

    /// The configuration; version 0 before the first one.
    pub fn current(&self) -> Arc<Configuration> {
        Arc::clone(&self.current)
    }

    /// Version of the configuration.
    pub fn version(&self) -> Version {
        self.current.version
    }
}
