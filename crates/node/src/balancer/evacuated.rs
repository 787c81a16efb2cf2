use indexmap::IndexSet;
use usher_evacuation::Evacuations;
use usher_forwarding::{Hello, NodeId, ServiceKey};
use usher_types::Time;

use super::state::State;
use crate::event;

// Evacuations of data centres.
impl State {
    /// Takes the evacuations as the store holds them.
    pub(crate) fn on_stored_evacuations(&mut self, stored: &Evacuations) {
        self.unread = false;
        let changed = self.evacuations.adopt(usher_clock::now(), stored, &"store");
        self.apply_evacuations(changed);
    }

    /// The evacuations in force as JSON, for operators.
    pub(crate) fn evacuation_status(&self) -> String {
        self.evacuations.status()
    }

    /// Whether the evacuations have to be read: the balancer has just started or was paused.
    pub(crate) fn is_unread(&self) -> bool {
        self.unread
    }

    /// The newest evacuations that were read from the store here or by another balancer.
    pub(crate) fn stored_evacuations(&self) -> Option<&Evacuations> {
        self.evacuations.latest()
    }

    // Takes the evacuations that another balancer knows.
    //
    // A message that was queued during a pause does not show that none has come since.
    pub(super) fn on_evacuations(&mut self, now: Time, node: NodeId, hello: &Hello) {
        let Some(offered) = &hello.evacuations else {
            return;
        };
        self.unread &= self.start_up.is_unconfirmed();
        let changed = self.evacuations.adopt(now, offered, &node);
        self.apply_evacuations(changed);
    }

    pub(super) fn apply_evacuations(&mut self, changed: bool) {
        if changed {
            self.evacuated_at = Some(usher_clock::now());
            self.directory.set_evacuated(self.evacuations.centres());
            self.publish();
        }
    }

    pub(super) fn on_evacuated_services(&mut self, services: IndexSet<ServiceKey>) {
        for service in services.difference(&self.evacuated) {
            event::SERVICE_EVACUATED.log(&[("service", service)]);
        }
        for service in self.evacuated.difference(&services) {
            event::SERVICE_RETURNED.log(&[("service", service)]);
        }
        self.evacuated = services;
    }
}
