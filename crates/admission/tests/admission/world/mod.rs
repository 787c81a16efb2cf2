//! Runs the scheduler in a random environment and checks the invariants on its actions.

mod checks;
mod environment;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use usher_admission::{Event, Policy, Scheduler};
use usher_types::{
    Attempt, MethodRule, Offer, OfferOutcomeAck, Outcome, Priority, Profile, Request, RequestId,
    RequestKey, Slots, Span, Time,
};

use crate::common::{self, peer};

pub const SLOTS: u16 = 3;
pub const METHODS: [&str; 3] = ["read", "book", "map"];
const PEERS: [u16; 2] = [1, 2];

#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// This number of milliseconds passes.
    Pass(u64),
    /// `ran`: an earlier attempt ran at another agent.
    Arrive {
        method: usize,
        left: u64,
        priority: u8,
        retry: bool,
        ran: bool,
    },
    /// A copy of a request arrives under the same id.
    Repeat(usize),
    /// Another attempt of a request arrives under a new id.
    NewAttempt {
        which: usize,
        left: u64,
    },
    /// `kind`: 7 denies the claim; otherwise a key that has run is settled, with 6 as unknown, and
    /// any other key is granted.
    Verdict {
        which: usize,
        kind: u8,
    },
    /// `kind`: 7 loses the response, 6 refuses the run, 5 fails it, others answer.
    Run {
        which: usize,
        kind: u8,
    },
    Cancel(usize),
    Offered {
        method: usize,
        left: u64,
    },
    OfferedAgain(usize),
    /// `taken`: the peer takes the offer. `lost`: its reply does not arrive.
    Reply {
        which: usize,
        taken: bool,
        lost: bool,
    },
    /// `kind`: 0 answered, 1 not run, others unknown.
    Outcome {
        which: usize,
        kind: u8,
    },
    OutcomeAck(usize),
    Peers(u64, u64),
    Slots(u16),
}

#[derive(Debug)]
struct Run {
    started: Time,
    /// Whether a request with this key had already run.
    repeated: bool,
}

pub struct World {
    scheduler: Scheduler,
    policy: Policy,
    now: Time,
    slots: u16,
    draining: bool,
    drained: u32,
    requests: BTreeMap<RequestId, Request>,
    /// Requests that arrived during the drain.
    drain_arrivals: BTreeSet<RequestId>,
    /// Outcomes that callers received.
    outcomes: BTreeMap<RequestId, Outcome>,
    claims: Vec<(RequestId, Attempt)>,
    granted: BTreeMap<RequestKey, (Time, Attempt)>,
    /// Released keys, which the owner grants to later attempts only.
    released: BTreeMap<RequestKey, Attempt>,
    running: BTreeMap<RequestId, Run>,
    /// Keys whose request may have run anywhere.
    ran: BTreeSet<RequestKey>,
    /// Offers in transit to a peer, by port and request id.
    sent: BTreeSet<(u16, RequestId)>,
    /// Offers that a peer has taken.
    delegated: BTreeSet<(u16, RequestId)>,
    /// Offers that a peer has declined or completed.
    declined: BTreeSet<(u16, RequestId)>,
    /// Offers from peers to the scheduler.
    offered: Vec<Offer>,
    /// The scheduler's replies to the offers from peers.
    taken: BTreeMap<RequestId, bool>,
    /// Outcomes that the scheduler reported to peers.
    reported: BTreeMap<RequestId, Outcome>,
}

fn pick<T: Clone>(which: usize, items: impl IntoIterator<Item = T>) -> Option<T> {
    let items: Vec<T> = items.into_iter().collect();
    (!items.is_empty()).then(|| items[which % items.len()].clone())
}

impl World {
    pub fn new(policy: Policy) -> Self {
        let mut profile = Profile::default();
        let long = true;
        let rule = MethodRule {
            long,
            ..MethodRule::default()
        };
        profile.methods.insert("map".to_owned(), rule);
        let own_address = peer(common::OWN_PORT);
        Self {
            scheduler: Scheduler::new(Arc::new(profile), Slots::new(SLOTS), policy, own_address),
            policy,
            now: Time::ZERO,
            slots: SLOTS,
            draining: false,
            drained: 0,
            requests: BTreeMap::new(),
            drain_arrivals: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            claims: Vec::new(),
            granted: BTreeMap::new(),
            released: BTreeMap::new(),
            running: BTreeMap::new(),
            ran: BTreeSet::new(),
            sent: BTreeSet::new(),
            delegated: BTreeSet::new(),
            declined: BTreeSet::new(),
            offered: Vec::new(),
            taken: BTreeMap::new(),
            reported: BTreeMap::new(),
        }
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Pass(millis) => self.pass(Span::from_millis(millis)),
            Step::Arrive {
                method,
                left,
                priority,
                retry,
                ran,
            } => {
                let mut request = self.request(method, left);
                request.priority = Priority::new(priority);
                request.attempt = Attempt::new(1 + u16::from(retry));
                if ran {
                    self.ran.insert(request.key);
                }
                self.arrive(request);
            }
            Step::Repeat(which) => {
                // Flows deliver no copy after the outcome, so due timers are handled first.
                self.send_event(Event::Tick);
                if let Some(request) = pick(which, self.open()) {
                    self.send_event(Event::Arrive(request));
                }
            }
            Step::NewAttempt { which, left } => self.new_attempt(which, left),
            Step::Verdict { which, kind } => self.verdict(which, kind),
            Step::Run { which, kind } => self.end_run(which, kind),
            Step::Cancel(which) => {
                if let Some(request) = pick(which, self.open()) {
                    self.send_event(Event::Cancel { id: request.id });
                }
            }
            Step::Offered { method, left } => self.offer(method, left),
            Step::OfferedAgain(which) => {
                if let Some(offer) = pick(which, self.offered.clone()) {
                    self.send_event(Event::Offered(offer));
                }
            }
            Step::Reply { which, taken, lost } => self.reply(which, taken, lost),
            Step::Outcome { which, kind } => self.peer_outcome(which, kind),
            Step::OutcomeAck(which) => {
                if let Some(id) = pick(which, self.reported.keys().copied()) {
                    self.send_event(Event::OfferOutcomeAck(OfferOutcomeAck { id }));
                }
            }
            Step::Peers(a, b) => {
                let waits = PEERS.into_iter().zip([a, b]);
                let waits = waits.map(|(port, ms)| (peer(port), Span::from_millis(ms)));
                self.send_event(Event::Peers(waits.collect()));
            }
            Step::Slots(count) => {
                self.slots = count;
                self.send_event(Event::Slots(Slots::new(count)));
            }
        }
    }

    pub fn drain(&mut self) {
        self.draining = true;
        self.send_event(Event::Drain);
    }

    /// Answers everything that is pending and checks that each request has an outcome.
    pub fn settle(&mut self) {
        let first = 0;
        for _ in 0..200 {
            self.verdict(first, 0);
            self.end_run(first, 0);
            self.reply(first, false, false);
            self.peer_outcome(first, 0);
            for id in self.reported.keys().copied().collect::<Vec<_>>() {
                self.send_event(Event::OfferOutcomeAck(OfferOutcomeAck { id }));
            }
            self.pass(Span::from_millis(20));
        }
        self.pass(Span::from_secs(10));
        for id in self
            .requests
            .keys()
            .filter(|id| !self.taken.contains_key(*id))
        {
            assert!(self.outcomes.contains_key(id), "{id} has no outcome");
        }
        for (id, _) in self.taken.iter().filter(|(_, taken)| **taken) {
            assert!(self.reported.contains_key(id), "{id} was not reported");
        }
        assert_eq!(
            self.drained, 1,
            "the drain was not reported as complete exactly once"
        );
    }
}
