use usher_config::{Change, Condition, Kind, ObjectKey, Value, Write, WriteId, check};
use usher_types::{Profile, ProfileName, Service, ServiceName, Span};

use rand::Rng;

use super::Simulation;
use crate::scheduled_event::ScheduledEvent;
use crate::store::Failure;

// Time from the read of an operator's command to its write.
const COMMAND_TIME: Span = Span::from_millis(20);
const COMMAND_INTERVAL: Span = Span::from_millis(500);

impl Simulation<'_> {
    pub(super) fn set_profile(&mut self, name: &ProfileName, fields: &[String]) {
        let cache = self.read_all();
        let mut profile = cache.profile(name).cloned().unwrap_or(Profile {
            buckets: super::BUCKETS,
            ..Profile::default()
        });
        for field in fields {
            set_field(&mut profile, field);
        }
        self.apply(vec![(profile_key(name), Some(profile.into()))]);
    }

    /// Two operators change one profile; both read it before either of them writes.
    pub(super) fn race_profile(&mut self, name: &ProfileName, fields: &[String; 2]) {
        for field in fields {
            self.set_profile(name, std::slice::from_ref(field));
        }
    }

    pub(super) fn delete_profile(&mut self, name: &ProfileName) {
        self.apply(vec![(profile_key(name), None)]);
    }

    /// Exchanges two addresses by way of a free one, as no two services may share an address.
    pub(super) fn swap_addresses(&mut self, first: &ServiceName, second: &ServiceName) {
        let (one, two) = (self.service_address(first), self.service_address(second));
        let mut free = one;
        free.set_port(one.port() + 1);
        for (number, (name, address)) in [(first, free), (second, one), (first, two)]
            .into_iter()
            .enumerate()
        {
            let fault = crate::fault::Fault::MoveService(name.clone(), address);
            self.push(
                COMMAND_INTERVAL * number as u64,
                ScheduledEvent::Fault(fault),
            );
        }
    }

    pub(super) fn move_service(&mut self, name: &ServiceName, address: std::net::SocketAddrV4) {
        let cache = self.read_all();
        if let Some(service) = cache.service(name) {
            let moved = Service {
                address,
                generation: usher_types::Generation::default(),
                ..service.clone()
            };
            let key = ObjectKey::new(Kind::Service, name.into());
            self.apply(vec![(key, Some(moved.into()))]);
        }
    }

    // Checks the changes together and schedules their writes.
    fn apply(&mut self, values: Vec<(ObjectKey, Option<Value>)>) {
        let cache = self.read_all();
        let changes = values.into_iter().map(|(key, value)| Change {
            condition: Condition::unchanged(cache.get(&key)),
            key,
            value,
        });
        let Ok(changes) = check(&cache, changes.collect()) else {
            *self
                .tally
                .counts
                .entry("operator refused".to_owned())
                .or_default() += 1;
            return;
        };
        let era = self.store.era();
        let writes = changes
            .into_iter()
            .map(|change| Write::new(WriteId::new(self.rng.random()), change, era));
        let writes = writes.collect();
        self.push(COMMAND_TIME, ScheduledEvent::OperatorWrites(writes));
    }

    pub(super) fn write_as_operator(&mut self, writes: Vec<Write>) {
        for write in writes {
            if self.store.down {
                *self
                    .tally
                    .counts
                    .entry("operator unavailable".to_owned())
                    .or_default() += 1;
                return;
            }
            match self.store.put(write, &mut self.rng) {
                Ok(version) => {
                    self.tally.accept(version, self.now);
                    self.wake_watches();
                }
                Err(Failure::Conflict) => {
                    self.tally.conflicts += 1;
                    return;
                }
                Err(Failure::NoAnswer) => {
                    *self
                        .tally
                        .counts
                        .entry("operator unknown".to_owned())
                        .or_default() += 1;
                    return;
                }
            }
        }
    }
}

fn profile_key(name: &ProfileName) -> ObjectKey {
    ObjectKey::new(Kind::Profile, name.into())
}

fn set_field(profile: &mut Profile, field: &str) {
    match field.split_once('=') {
        Some(("hunt", value)) => profile.hunt = value.parse().unwrap_or(profile.hunt),
        Some(("deadline", value)) => profile.deadline = value.parse().unwrap_or(profile.deadline),
        _ => {}
    }
}
