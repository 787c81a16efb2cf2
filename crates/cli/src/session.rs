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

/// A connection to the store for the time of one command.
#[derive(Debug)]
pub(crate) struct Session {
    store: Store,
}

impl Session {
    pub(crate) fn open(
        store: Option<SocketAddrV4>,
        settings: Option<&Path>,
    ) -> Result<Self, CliError> {
        let address = match (store, settings) {
            (Some(address), _) => address,
            (None, Some(path)) => Settings::read(path)?.store.address,
            (None, None) => return Err(CliError::NoStore),
        };
        let store = Store::new(address, Limits::default());
        Ok(Self { store })
    }

    /// Profiles and services, with tombstones.
    pub(crate) fn store(&self) -> &Store {
        &self.store
    }

    pub(crate) async fn load(&self) -> Result<Cache, CliError> {
        let mut cache = Cache::default();
        for kind in [Kind::Profile, Kind::Service] {
            let batch = self.store.list(Some(kind), Version::default()).await?;
            // Rules that span objects cannot be checked without reading all of them.
            if let Some(error) = batch.unreadable.into_iter().next() {
                return Err(error.into());
            }
            for object in batch.objects {
                cache.adopt(object);
            }
        }
        Ok(cache)
    }

    pub(crate) async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, CliError> {
        let object = self.store.get(key).await?;
        Ok(object.filter(|object| object.value.is_some()))
    }

    /// Checks changes as a whole, and only then makes them one after the other.
    pub(crate) async fn commit(
        &self,
        cache: &Cache,
        changes: Vec<Change>,
    ) -> Result<Output, CliError> {
        let changes = check(cache, changes).map_err(CliError::Refused)?;
        let (unchanged, changes): (Vec<_>, Vec<_>) = changes
            .into_iter()
            .partition(|change| is_current(cache, change));
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
                    return Err(CliError::Write {
                        written: written.into_iter().map(|written| written.key).collect(),
                        total,
                        cause: Box::new(cause),
                    });
                }
            }
        }
        if total > 0 {
            self.check_clashes(cache).await?;
        }
        let unchanged = unchanged.into_iter().map(|change| change.key).collect();
        Ok(report(&written, unchanged))
    }

    // A write depends on its own object only, so a concurrent change of another object can break a
    // rule that spans both.
    async fn check_clashes(&self, before: &Cache) -> Result<(), CliError> {
        let known = Catalog::new(before).faults;
        let now = Catalog::new(&self.load().await?).faults;
        let new: Vec<ConfigError> = now
            .into_iter()
            .filter(|fault| !known.contains(fault))
            .collect();
        if new.is_empty() {
            Ok(())
        } else {
            Err(CliError::Clash(new))
        }
    }
}

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

fn is_current(cache: &Cache, change: &Change) -> bool {
    let current = cache
        .get(&change.key)
        .and_then(|object| object.value.as_ref());
    change.value.is_some() && current == change.value.as_ref()
}

fn report(written: &[Written], unchanged: Vec<ObjectKey>) -> Output {
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

/// The change from what was read to a value; `None` deletes.
pub(crate) fn change(key: ObjectKey, read: Option<&Object>, value: Option<Value>) -> Change {
    Change {
        key,
        condition: Condition::unchanged(read),
        value,
    }
}
