use std::sync::Arc;

use crate::{Configuration, ConfigurationVersion};

/// The active configuration; it is never replaced by an older version.
///
/// ```
/// use usher_forwarding::{ActiveConfiguration, Configuration, ConfigurationVersion};
/// let mut active_configuration = ActiveConfiguration::default();
/// let version = "5@9".parse::<ConfigurationVersion>()?;
/// assert!(active_configuration.adopt(Configuration { version, ..Configuration::default() }));
/// assert!(!active_configuration.adopt(Configuration { version, ..Configuration::default() }));
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct ActiveConfiguration {
    current: Arc<Configuration>,
}

impl ActiveConfiguration {
    /// Activates a configuration if it is newer; returns whether it was.
    pub fn adopt(&mut self, offered: Configuration) -> bool {
        let newer = offered.version > self.current.version;
        if newer {
            self.current = Arc::new(offered);
        }
        newer
    }

    /// The active configuration; version 0 until one is adopted.
    pub fn current(&self) -> Arc<Configuration> {
        Arc::clone(&self.current)
    }

    /// Version of the active configuration.
    pub fn version(&self) -> ConfigurationVersion {
        self.current.version
    }
}
