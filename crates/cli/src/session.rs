use std::net::SocketAddrV4;
use std::path::Path;

use serde_json::json;
use usher_config::{
    Cache, Catalog, Change, Condition, ConfigError, Kind, Object, ObjectKey, Value, check,
};
use usher_store::{Limits, Store};
use usher_types::Version;

use crate::error::CliError;
use crate::output::{Output, table};
use crate::settings::Settings;

/// Access to the store for one command.
#[derive(Debug)]
pub(crate) struct Session {
    store: Store,
}

impl Session {
    /// Uses the given address of the store, or else the one in the settings file.
    pub(crate) fn open(
        store: Option<SocketAddrV4>,
        settings: Option<&Path>,
    ) -> Result<Self, CliError> {
        let address = store_address(store, settings)?;
        let store = Store::new(address, Limits::default());
        Ok(Self { store })
    }

    pub(crate) fn store(&self) -> &Store {
        &self.store
    }

    /// Reads all profiles and services, including tombstones.
    pub(crate) async fn load(&self) -> Result<Cache, CliError> {
        let mut cache = Cache::default();
        for kind in [Kind::Profile, Kind::Service] {
            let batch = self.store.list(Some(kind), Version::default()).await?;
            // Rules that span several objects can be checked only if all of them are readable.
            // Entries that other tools keep under names of their own take no part in the rules.
            let mut unreadable = batch.unreadable.into_iter();
            if let Some(error) = unreadable.find(|error| !error.is_foreign()) {
                return Err(error.into());
            }
            for object in batch.objects {
                cache.adopt(object);
            }
        }
        Ok(cache)
    }

    /// Reads one object; `None` if it does not exist or was deleted.
    pub(crate) async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, CliError> {
        let object = self.store.get(key).await?;
        Ok(object.filter(|object| object.value.is_some()))
    }

    /// Checks all changes together, then writes them one after the other.
    ///
    /// Nothing is written if the check fails; the first failed write stops the rest.
    pub(crate) async fn commit(
        &self,
        cache: &Cache,
        changes: Vec<Change>,
    ) -> Result<Output, CliError> {
        let changes = check(cache, changes).map_err(CliError::Refused)?;
        let (unchanged, changes): (Vec<_>, Vec<_>) = changes
            .into_iter()
            .partition(|change| is_no_op(cache, change));
        let total = changes.len();
        let mut written: Vec<Written> = Vec::new();
        for change in changes {
            let key = change.key.clone();
            let effect = effect(&change);
            match self.store.write(change).await {
                Ok(version) => written.push(Written {
                    key,
                    effect,
                    version,
                }),
                Err(cause) => {
                    return Err(CliError::WriteFailed {
                        written: written.into_iter().map(|written| written.key).collect(),
                        total,
                        cause: Box::new(cause),
                    });
                }
            }
        }
        if total > 0 {
            self.check_concurrent_changes(cache).await?;
        }
        let unchanged = unchanged.into_iter().map(|change| change.key).collect();
        Ok(commit_output(&written, unchanged))
    }

    // Each write is conditional only on the version of its own object, so a concurrent change of
    // another object can break a rule that spans both.
    async fn check_concurrent_changes(&self, before: &Cache) -> Result<(), CliError> {
        let faults_before = Catalog::new(before).faults;
        let faults_now = Catalog::new(&self.load().await?).faults;
        let new_faults: Vec<ConfigError> = faults_now
            .into_iter()
            .filter(|fault| !faults_before.contains(fault))
            .collect();
        if new_faults.is_empty() {
            Ok(())
        } else {
            Err(CliError::ConcurrentChange(new_faults))
        }
    }
}

/// The given address of the store, or else the one in the settings file.
pub(crate) fn store_address(
    store: Option<SocketAddrV4>,
    settings: Option<&Path>,
) -> Result<SocketAddrV4, CliError> {
    match (store, settings) {
        (Some(address), _) => Ok(address),
        (None, Some(path)) => Ok(Settings::read(path)?.store.address),
        (None, None) => Err(CliError::NoStore),
    }
}

/// A write that the store has accepted.
struct Written {
    key: ObjectKey,
    effect: &'static str,
    version: Version,
}

fn effect(change: &Change) -> &'static str {
    match (change.condition, &change.value) {
        (_, None) => "deleted",
        (Condition::Absent, _) => "created",
        (Condition::Version(_), _) => "changed",
    }
}

// Whether the object already has the value of the change.
fn is_no_op(cache: &Cache, change: &Change) -> bool {
    let current = cache
        .get(&change.key)
        .and_then(|object| object.value.as_ref());
    change.value.is_some() && current == change.value.as_ref()
}

fn commit_output(written: &[Written], unchanged: Vec<ObjectKey>) -> Output {
    let mut rows: Vec<Vec<String>> = Vec::new();
    let mut objects = Vec::new();
    for Written {
        key,
        effect,
        version,
    } in written
    {
        rows.push(vec![
            key.to_string(),
            (*effect).to_owned(),
            version.to_string(),
        ]);
        objects.push(json!({ "object": key.to_string(), "effect": effect, "version": version }));
    }
    for key in unchanged {
        rows.push(vec![
            key.to_string(),
            "unchanged".to_owned(),
            "-".to_owned(),
        ]);
        objects.push(json!({ "object": key.to_string(), "effect": "unchanged" }));
    }
    Output {
        text: table(&["OBJECT", "EFFECT", "VERSION"], &rows),
        json: json!({ "objects": objects }),
    }
}

/// Builds a change that is conditional on the version read; a `None` value deletes.
pub(crate) fn change(key: ObjectKey, stored: Option<&Object>, value: Option<Value>) -> Change {
    Change {
        key,
        condition: Condition::unchanged(stored),
        value,
    }
}
