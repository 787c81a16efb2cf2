use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64;
use usher_platform_standin::store::{Down, Faults};

use super::{BALANCERS, HOSTS, ROUTES};

/// A fault or its end, a configuration change or a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    KillBalancer(u8),
    StopBalancer(u8),
    StartBalancer(u8),
    FreezeBalancer(u8, bool),
    FreezeAgent(u8, bool),
    KillAgent(u8),
    StartAgent(u8),
    RestartBackend(u8, u64),
    Store(Faults),
    StoreWorks,
    Configure(usize),
    Reload(u8),
}

impl Action {
    pub fn name(self) -> &'static str {
        match self {
            Self::KillBalancer(_) => "kill balancer",
            Self::StopBalancer(_) => "stop balancer",
            Self::StartBalancer(_) => "start balancer",
            Self::FreezeBalancer(..) => "freeze balancer",
            Self::FreezeAgent(..) => "freeze agent",
            Self::KillAgent(_) => "kill agent",
            Self::StartAgent(_) => "start agent",
            Self::RestartBackend(..) => "restart backend server",
            Self::Store(_) => "store fault",
            Self::StoreWorks => "store works",
            Self::Configure(_) => "configure",
            Self::Reload(_) => "reload",
        }
    }
}

/// Start and end times of faults: one at a time per machine, overlapping across machines.
pub struct Schedule {
    random: Pcg64,
    next: Instant,
    // End time of each current fault, the action that ends it, and its machine.
    ends: Vec<(Instant, Action, u8)>,
    busy: Vec<u8>,
    born: u64,
}

// Represents the store and its operator, which count as one machine.
const STORE: u8 = 1;
// Time until a stopped balancer starts again. A planned stop takes 2.5 s; its address is free after
// that.
const RESTART_MILLIS: u64 = 4_000;

impl Schedule {
    pub fn new(random: Pcg64) -> Self {
        Self {
            random,
            next: Instant::now(),
            ends: Vec::new(),
            busy: Vec::new(),
            born: 1,
        }
    }

    pub fn is_pending(&self) -> bool {
        !self.ends.is_empty()
    }

    /// The next action that is due; begins new faults only if `wanted`.
    pub fn next(&mut self, now: Instant, wanted: bool) -> Option<Action> {
        if let Some(index) = self.ends.iter().position(|(due, ..)| *due <= now) {
            let (_, action, machine) = self.ends.swap_remove(index);
            self.busy.retain(|other| *other != machine);
            return Some(action);
        }
        if !wanted || now < self.next {
            return None;
        }
        self.next = now + Duration::from_millis(self.random.random_range(200..1_000));
        let balancer = *BALANCERS.choose(&mut self.random).unwrap();
        let host = HOSTS.choose(&mut self.random).unwrap().0;
        let pause = self.random.random_range(200..3_000);
        let kind = self.random.random_range(0..9);
        self.born += 1;
        let (machine, duration, begin, end) = match kind {
            0 => (
                balancer,
                pause,
                Action::KillBalancer(balancer),
                Action::StartBalancer(balancer),
            ),
            1 => (
                balancer,
                RESTART_MILLIS,
                Action::StopBalancer(balancer),
                Action::StartBalancer(balancer),
            ),
            2 => (
                balancer,
                pause,
                Action::FreezeBalancer(balancer, true),
                Action::FreezeBalancer(balancer, false),
            ),
            3 => (
                host,
                pause,
                Action::FreezeAgent(host, true),
                Action::FreezeAgent(host, false),
            ),
            4 => (
                host,
                pause,
                Action::KillAgent(host),
                Action::StartAgent(host),
            ),
            5 => (
                STORE,
                pause,
                Action::Store(self.store_faults()),
                Action::StoreWorks,
            ),
            6 => (
                STORE,
                pause,
                Action::Configure(ROUTES.len() - 1),
                Action::Configure(ROUTES.len()),
            ),
            7 => {
                let restart = Action::RestartBackend(host, self.born);
                // The machine has no other fault meanwhile, so that a heartbeat reaches the agent.
                let reload = Action::Reload(balancer);
                (host, pause, restart, reload)
            }
            _ => (
                balancer,
                pause,
                Action::Reload(balancer),
                Action::Reload(balancer),
            ),
        };
        if self.busy.contains(&machine) {
            return None;
        }
        self.busy.push(machine);
        self.ends
            .push((now + Duration::from_millis(duration), end, machine));
        Some(begin)
    }

    fn store_faults(&mut self) -> Faults {
        let variants = [
            Faults {
                down: Some(Down::Refuse),
                ..Faults::default()
            },
            Faults {
                down: Some(Down::Hang),
                ..Faults::default()
            },
            Faults {
                delay_ms: 400,
                ..Faults::default()
            },
            Faults {
                lose_answers: 2,
                ..Faults::default()
            },
            Faults {
                stale: true,
                ..Faults::default()
            },
            Faults {
                forget: true,
                ..Faults::default()
            },
        ];
        *variants.choose(&mut self.random).unwrap()
    }
}
