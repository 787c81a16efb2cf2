use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;
use usher_types::{Balancer, Fleet, Member, MethodRule, Profile, Roster, Service};

use crate::{LeaseRecord, Value};

/// One field that differs between two values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Path of the field, for example `methods.book.long`.
    pub field: String,
    /// Value before; `None` when the field is new.
    pub before: Option<String>,
    /// Value after; `None` when the field is removed.
    pub after: Option<String>,
}

/// Fields that differ between two values of one object.
///
/// ```
/// use usher_config::Diff;
/// use usher_types::{Profile, Span};
/// let before = Profile::default().into();
/// let after = Profile { hunt: Span::from_millis(7), ..Profile::default() }.into();
/// let diff = Diff::new(Some(&before), Some(&after));
/// assert_eq!(diff.to_string(), "hunt: 5ms -> 7ms\n");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Diff {
    /// Fields of the new value in its order, then removed fields.
    pub fields: Vec<FieldChange>,
}

impl Diff {
    /// Compares two values field by field; an absent value has no fields.
    ///
    /// ```
    /// assert!(usher_config::Diff::new(None, None).fields.is_empty());
    /// ```
    pub fn new(before: Option<&Value>, after: Option<&Value>) -> Self {
        let before = before.map(Fields::of).unwrap_or_default();
        let after = after.map(Fields::of).unwrap_or_default();
        let removed = before
            .0
            .keys()
            .filter(|field| !after.0.contains_key(*field));
        let fields = after
            .0
            .keys()
            .chain(removed)
            .filter(|field| before.0.get(*field) != after.0.get(*field))
            .map(|field| FieldChange {
                field: field.clone(),
                before: before.0.get(field).cloned(),
                after: after.0.get(field).cloned(),
            })
            .collect();
        Self { fields }
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.fields {
            let before = change.before.as_deref().unwrap_or("(none)");
            let after = change.after.as_deref().unwrap_or("(none)");
            writeln!(f, "{}: {before} -> {after}", change.field)?;
        }
        Ok(())
    }
}

// Values are destructured without `..`, so that a new field without an entry does not compile.
#[derive(Default)]
struct Fields(IndexMap<String, String>);

impl Fields {
    fn of(value: &Value) -> Self {
        let mut fields = Self::default();
        match value {
            Value::Profile(profile) => fields.profile(profile),
            Value::Service(service) => fields.service(service),
            Value::Roster(roster) => fields.roster(roster),
            Value::Fleet(fleet) => fields.fleet(fleet),
            Value::Lease(lease) => fields.lease(lease),
        }
        fields
    }

    fn add(&mut self, field: impl Into<String>, value: &dyn fmt::Display) {
        self.0.insert(field.into(), value.to_string());
    }

    fn profile(&mut self, profile: &Profile) {
        let Profile {
            buckets,
            hunt,
            short_bound,
            deadline,
            attempts,
            retries,
            objective,
            methods,
        } = profile;
        self.add("buckets", buckets);
        self.add("hunt", hunt);
        self.add("short_bound", short_bound);
        self.add("deadline", deadline);
        self.add("attempts", attempts);
        self.add("retries", retries);
        self.add("objective", objective);
        for (method, MethodRule { long, priority }) in methods {
            self.add(format!("methods.{method}.long"), long);
            self.add(format!("methods.{method}.priority"), priority);
        }
    }

    fn service(&mut self, service: &Service) {
        let Service {
            address,
            profile,
            generation,
        } = service;
        self.add("address", address);
        self.add("profile", profile);
        self.add("generation", generation);
    }

    fn roster(&mut self, roster: &Roster) {
        let Roster {
            version: _,
            members,
            earlier: _,
        } = roster;
        for (host, member) in members {
            let Member {
                incarnation,
                agent,
                admin,
                centre,
                weight,
                state,
            } = member;
            self.add(format!("members.{host}.incarnation"), incarnation);
            self.add(format!("members.{host}.agent"), agent);
            self.add(format!("members.{host}.admin"), admin);
            self.add(format!("members.{host}.centre"), centre);
            self.add(format!("members.{host}.weight"), weight);
            self.add(format!("members.{host}.state"), &format!("{state:?}"));
        }
    }

    fn fleet(&mut self, fleet: &Fleet) {
        let Fleet {
            version: _,
            balancers,
        } = fleet;
        for (instance, balancer) in balancers {
            let Balancer {
                incarnation,
                control,
                admin,
            } = balancer;
            self.add(format!("balancers.{instance}.incarnation"), incarnation);
            self.add(format!("balancers.{instance}.control"), control);
            self.add(format!("balancers.{instance}.admin"), admin);
        }
    }

    fn lease(&mut self, lease: &LeaseRecord) {
        let LeaseRecord { holder, term } = lease;
        self.add("holder", holder);
        self.add("term", term);
    }
}
