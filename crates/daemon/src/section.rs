use std::path::PathBuf;
use std::str::FromStr;

use indexmap::IndexMap;

use crate::SettingsError;

/// One section of a settings file; keys are taken out as they are read.
#[derive(Debug)]
pub(crate) struct Section {
    file: PathBuf,
    name: &'static str,
    keys: IndexMap<String, String>,
}

impl Section {
    pub(crate) fn new(file: PathBuf, name: &'static str, keys: IndexMap<String, String>) -> Self {
        Self { file, name, keys }
    }

    /// Reads a key that must be present.
    pub(crate) fn required<T: FromStr>(
        &mut self,
        key: &'static str,
        allowed: &'static str,
    ) -> Result<T, SettingsError> {
        let file = self.file.clone();
        let missing = SettingsError::Missing {
            file,
            section: self.name,
            key,
            allowed,
        };
        self.optional(key, allowed)?.ok_or(missing)
    }

    /// Reads a key that may be absent.
    pub(crate) fn optional<T: FromStr>(
        &mut self,
        key: &'static str,
        allowed: &'static str,
    ) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.keys.shift_remove(key) else {
            return Ok(None);
        };
        match value.trim().parse() {
            Ok(parsed) => Ok(Some(parsed)),
            Err(_) => Err(self.invalid(key, value, allowed)),
        }
    }

    /// Reads a list separated by commas; an absent key gives an empty list.
    pub(crate) fn list<T: FromStr>(
        &mut self,
        key: &'static str,
        allowed: &'static str,
    ) -> Result<Vec<T>, SettingsError> {
        let Some(value) = self.keys.shift_remove(key) else {
            return Ok(Vec::new());
        };
        let parts = value
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        let parsed: Result<Vec<T>, _> = parts.map(T::from_str).collect();
        parsed.map_err(|_fault| self.invalid(key, value, allowed))
    }

    /// Refuses keys that nothing has read.
    pub(crate) fn finish(self) -> Result<(), SettingsError> {
        match self.keys.into_keys().next() {
            Some(key) => Err(SettingsError::Key {
                file: self.file,
                section: self.name.to_owned(),
                key,
            }),
            None => Ok(()),
        }
    }

    fn invalid(&self, key: &'static str, value: String, allowed: &'static str) -> SettingsError {
        SettingsError::Value {
            file: self.file.clone(),
            section: self.name,
            key,
            value,
            allowed,
        }
    }
}
