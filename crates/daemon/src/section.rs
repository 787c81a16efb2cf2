use std::path::PathBuf;
use std::str::FromStr;

use indexmap::IndexMap;

use crate::{DefaultValue, Key, SettingsError};

/// One section of a settings file; reading a key removes it.
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

    /// Reads a key that must have a value, in the file or by default.
    pub(crate) fn read<T: FromStr>(&mut self, key: &Key) -> Result<T, SettingsError> {
        if let Some(value) = self.read_optional(key)? {
            return Ok(value);
        }
        let DefaultValue::Value(value) = key.default else {
            return Err(SettingsError::Missing {
                file: self.file.clone(),
                section: self.name,
                key: key.name,
                allowed: key.allowed,
            });
        };
        self.parse(key, value)
    }

    /// Reads a key that may be absent.
    pub(crate) fn read_optional<T: FromStr>(
        &mut self,
        key: &Key,
    ) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.keys.shift_remove(key.name) else {
            return Ok(None);
        };
        self.parse(key, &value).map(Some)
    }

    /// Reads a comma-separated list; an absent key gives an empty list.
    pub(crate) fn read_list<T: FromStr>(&mut self, key: &Key) -> Result<Vec<T>, SettingsError> {
        let Some(value) = self.keys.shift_remove(key.name) else {
            return Ok(Vec::new());
        };
        let parts = value
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        let parsed: Result<Vec<T>, _> = parts.map(T::from_str).collect();
        parsed.map_err(|_error| self.invalid(key, &value))
    }

    /// Fails if a key is left that has not been read.
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

    /// The error for a value that a key does not accept.
    pub(crate) fn invalid(&self, key: &Key, value: &str) -> SettingsError {
        SettingsError::Value {
            file: self.file.clone(),
            section: self.name,
            key: key.name,
            value: value.to_owned(),
            allowed: key.allowed,
        }
    }

    fn parse<T: FromStr>(&self, key: &Key, value: &str) -> Result<T, SettingsError> {
        let parsed = value.trim().parse();
        parsed.map_err(|_error| self.invalid(key, value))
    }
}
