use std::sync::Arc;

use usher_config::{Condition, Kind, Object, ObjectKey, Value};
use usher_store::{Store, StoreError};
use usher_types::{DataCentre, Fleet, Roster, ServiceName, Version};

/// Edits a service's roster, with a write conditional on the version read.
///
/// Returns the written roster, or `None` when `edit` finds nothing to change. A proposal names the
/// version that it is based on, so an older value of a restored store is not edited.
///
/// # Errors
/// Fails when the store cannot be reached or another process wrote first.
pub(crate) async fn edit_roster(
    store: &Store,
    service: &ServiceName,
    edit: impl FnOnce(&Roster) -> Option<Roster>,
) -> Result<Option<Arc<Roster>>, StoreError> {
    let key = key(Kind::Roster, service.as_str())?;
    let current = store.get(&key).await?;
    let mut roster = match current.as_ref().and_then(|object| object.value.as_ref()) {
        Some(Value::Roster(roster)) => roster.clone(),
        _ => Roster::default(),
    };
    // The encoded value does not contain the version; a deleted roster has its tombstone's.
    roster.version = current
        .as_ref()
        .map_or_else(Version::default, |object| object.version);
    let Some(mut changed) = edit(&roster) else {
        return Ok(None);
    };
    let value = Value::Roster(changed.clone());
    changed.version = store.put(key, condition(current.as_ref()), value).await?;
    Ok(Some(Arc::new(changed)))
}

/// Edits a data centre's balancer list, with a write conditional on the version read.
///
/// Returns whether the list was written; `edit` returns whether it changed anything.
///
/// # Errors
/// Fails when the store cannot be reached, another process wrote first, or the store was restored
/// and does not hold the `known` version again yet.
pub(crate) async fn edit_fleet(
    store: &Store,
    (centre, known): (&DataCentre, Version),
    edit: impl FnOnce(&mut Fleet) -> bool,
) -> Result<bool, StoreError> {
    let key = key(Kind::Fleet, centre.as_str())?;
    let current = store.get(&key).await?;
    let mut fleet = match current.as_ref().and_then(|object| object.value.as_ref()) {
        Some(Value::Fleet(fleet)) => fleet.clone(),
        _ => Fleet::default(),
    };
    fleet.version = current
        .as_ref()
        .map_or_else(Version::default, |object| object.version);
    if fleet.version < known {
        let found = fleet.version;
        return Err(StoreError::Outdated { key, found, known });
    }
    if !edit(&mut fleet) {
        return Ok(false);
    }
    let value = Value::Fleet(fleet);
    store.put(key, condition(current.as_ref()), value).await?;
    Ok(true)
}

fn key(kind: Kind, name: &str) -> Result<ObjectKey, StoreError> {
    let name = name
        .parse()
        .map_err(|error: usher_config::ConfigError| StoreError::Unreadable(error.to_string()))?;
    Ok(ObjectKey::new(kind, name))
}

// A tombstone has a position too, and is replaced by a write conditional on it.
fn condition(current: Option<&Object>) -> Condition {
    match current {
        Some(object) if object.position > Version::default() => Condition::Version(object.position),
        _ => Condition::Absent,
    }
}
