use std::time::Duration;

use async_std::task;
use usher_clock::now;
use usher_config::RestoreWait;
use usher_members::FleetProposal;
use usher_store::Store;
use usher_types::{Balancer, DataCentre, Fleet, Incarnation, InstanceId, Span, Version};

use crate::control::edit_fleet;
use crate::{BalancerSettings, event};

const RETRY_DELAY: Duration = Duration::from_millis(300);
// A planned stop does not wait for a store that is down; the other balancers remove the entry.
const LEAVE_ATTEMPTS: usize = 5;

/// This balancer's entry in the fleet of its data centre.
#[derive(Debug, Clone)]
pub(crate) struct FleetEntry {
    store: Store,
    centre: DataCentre,
    instance: InstanceId,
    entry: Balancer,
}

impl FleetEntry {
    pub(crate) fn new(store: Store, settings: &BalancerSettings, incarnation: Incarnation) -> Self {
        Self {
            store,
            centre: settings.common.centre.clone(),
            instance: settings.instance.clone(),
            entry: Balancer {
                incarnation,
                control: settings.control,
                admin: settings.common.admin,
            },
        }
    }

    /// Writes the entry, and retries until the store has accepted it.
    ///
    /// `known` is the version of the fleet that this balancer has adopted.
    pub(crate) async fn join(self, known: Version) {
        let mut restore_wait = RestoreWait::default();
        loop {
            let mut delay = Span::ZERO;
            let edit = |fleet: &mut Fleet| {
                restore_wait.observe(now(), self.store.era());
                delay = restore_wait.before_edit(now(), fleet.version);
                if delay > Span::ZERO {
                    return false;
                }
                let earlier = fleet
                    .balancers
                    .insert(self.instance.clone(), self.entry.clone());
                earlier.as_ref() != Some(&self.entry)
            };
            match edit_fleet(&self.store, (&self.centre, known), edit).await {
                Ok(_) if delay > Span::ZERO => {}
                Ok(_) => return event::JOINED.log(&[("centre", &self.centre)]),
                Err(error) => event::ROSTER_WRITE.log(&[("fault", &error)]),
            }
            task::sleep(RETRY_DELAY).await;
        }
    }

    /// Removes the entry of this process; a later process's entry stays.
    pub(crate) async fn leave(self, known: Version) {
        for _ in 0..LEAVE_ATTEMPTS {
            let edit = |fleet: &mut Fleet| {
                let listed = fleet.balancers.get(&self.instance);
                let is_own =
                    listed.is_some_and(|entry| entry.incarnation == self.entry.incarnation);
                is_own && fleet.balancers.shift_remove(&self.instance).is_some()
            };
            match edit_fleet(&self.store, (&self.centre, known), edit).await {
                Ok(_) => return event::LEFT.log(&[("centre", &self.centre)]),
                Err(error) => event::ROSTER_WRITE.log(&[("fault", &error)]),
            }
            task::sleep(RETRY_DELAY).await;
        }
    }

    /// Removes silent balancers.
    ///
    /// A write that conflicts with another is not repeated: membership decides again on the newer
    /// fleet.
    pub(crate) async fn remove(self, proposal: FleetProposal) {
        let edit = |fleet: &mut Fleet| match proposal.apply(fleet) {
            Some(changed) => {
                *fleet = changed;
                true
            }
            None => false,
        };
        let target = (&proposal.centre, proposal.base);
        match edit_fleet(&self.store, target, edit).await {
            Ok(true) => {
                for (balancer, _) in &proposal.balancers {
                    event::REMOVED.log(&[("centre", &proposal.centre), ("balancer", balancer)]);
                }
            }
            Ok(false) => {}
            Err(error) => event::ROSTER_WRITE.log(&[("fault", &error)]),
        }
    }
}
