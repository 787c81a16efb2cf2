use rand::Rng;
use rand::seq::IteratorRandom;
use usher_config::{RestorePace, Write};
use usher_types::{Span, Version};

use super::Simulation;
use crate::network::between;
use crate::scheduled_event::MachineEvent;

const RETRY_DELAY: Span = Span::from_secs(1);

// What processes do after the store was restored from a copy.

impl Simulation<'_> {
    /// Schedules the first write of a process whose objects the store has lost.
    pub(super) fn begin_restore(&mut self, name: &str) {
        let machines = self.machines.len();
        let Some(process) = &mut self.machines[name].process else {
            return;
        };
        let lost = process.role.cache().lost().count();
        if lost == 0 || process.restoring {
            return;
        }
        process.restoring = true;
        let pace = RestorePace::new(machines, lost);
        let delay = between(&mut self.rng, Span::ZERO, pace.delay);
        self.push_on(delay, name, MachineEvent::WriteAgain);
    }

    /// Writes a random object that the store has lost, if it still holds an older value.
    pub(super) fn write_again(&mut self, name: &str) {
        if self.is_store_cut(name) {
            return self.push_on(RETRY_DELAY, name, MachineEvent::WriteAgain);
        }
        let Some(process) = &mut self.machines[name].process else {
            return;
        };
        let cache = process.role.cache();
        let Some(lost) = cache.lost().choose(&mut self.rng).cloned() else {
            process.restoring = false;
            return;
        };
        let pace = RestorePace::new(0, cache.lost().count());
        let stored = self.store.get(&lost.key(), &mut self.rng);
        let again = Write::again(&lost, stored.as_ref());
        let written = again.is_some_and(|write| self.store.put(write, &mut self.rng).is_ok());
        if written {
            self.wake_watches();
        }
        // The process may hold a later value by then, so the watch reports the outcome.
        let pause = between(&mut self.rng, Span::ZERO, pace.pause);
        let pause = pause.max(Span::from_millis(self.rng.random_range(1..20)));
        self.push_on(pause, name, MachineEvent::WriteAgain);
    }

    /// How long a process waits before it edits an object that it knows in version `base`.
    pub(super) fn edit_delay(&self, name: &str, base: Version) -> Span {
        let machine = &self.machines[name];
        let now = machine.clock.read(self.now);
        let process = machine.process.as_ref();
        process.map_or(Span::ZERO, |process| {
            process.restore_wait.before_edit(now, base)
        })
    }
}
