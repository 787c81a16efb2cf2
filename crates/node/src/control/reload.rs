use std::path::Path;

use crate::{Settings, event};

/// Reads the settings again and applies their log level.
pub(crate) fn reload(file: &Path) {
    match Settings::read(file) {
        Ok(settings) => {
            log::set_max_level(settings.level);
            settings.log_unfilled();
            event::SETTINGS_READ.log(&[("level", &settings.level)]);
        }
        Err(fault) => event::SETTINGS_REFUSED.log(&[("fault", &fault)]),
    }
}
