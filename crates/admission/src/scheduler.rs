use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use usher_types::{Profile, RequestId, RequestKey, RetryBudget, Slots, Span, Time, Weight};

use crate::class::Class;
use crate::closed_offers::ClosedOffers;
use crate::estimate::Estimates;
use crate::forecast::Forecast;
use crate::meter::Meter;
use crate::peers::Peers;
use crate::runs::Runs;
use crate::table::Table;
use crate::{Action, Counter, Event, Policy};

// Claim lead until the round trip of a claim has been measured.
const INITIAL_CLAIM_LEAD: Span = Span::from_millis(5);
// A drain still dispatches queued requests for the callers' default deadline; it may take seconds.
const DRAIN_QUEUE_TIME: Span = Span::from_secs(2);

/// Decides when and where the requests of a host run.
///
/// It tracks each request from its arrival to its outcome. `handle` takes an event and returns the
/// resulting actions; `next_timer` returns when `Event::Tick` is due.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) profile: Arc<Profile>,
    pub(crate) policy: Policy,
    pub(crate) address: SocketAddrV4,
    pub(crate) table: Table,
    pub(crate) runs: Runs,
    pub(crate) estimates: Estimates,
    pub(crate) meter: Meter,
    pub(crate) retries: RetryBudget,
    pub(crate) peers: Peers,
    pub(crate) closed_offers: ClosedOffers,
    /// Keys of ended requests with a pending claim; a later grant is released.
    pub(crate) releases: HashMap<RequestId, RequestKey>,
    /// How long before its slot is expected to be free a claim is sent.
    pub(crate) claim_lead: Span,
    /// When the next claim is due.
    pub(crate) claim_timer: Option<Time>,
    /// End of the pause in dispatch after the backend server refused a run.
    pub(crate) paused_until: Option<Time>,
    pub(crate) backoff: Span,
    pub(crate) sequence: u64,
    /// During a drain, the time until which queued requests may be dispatched.
    pub(crate) draining: Option<Time>,
    drained: bool,
    pub(crate) out: Vec<Action>,
}

impl Scheduler {
    /// Creates a scheduler without requests; peers send replies to its offers to `address`.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use usher_admission::{Policy, Scheduler};
    /// use usher_types::{Profile, Slots, Span, Time};
    /// let address = "127.0.0.1:7000".parse()?;
    /// let profile = Arc::new(Profile::default());
    /// let scheduler = Scheduler::new(profile, Slots::new(3), Policy::default(), address);
    /// assert_eq!(scheduler.wait(Time::ZERO), Span::ZERO);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(profile: Arc<Profile>, slots: Slots, policy: Policy, address: SocketAddrV4) -> Self {
        Self {
            profile,
            policy,
            address,
            table: Table::default(),
            runs: Runs::new(slots),
            estimates: Estimates::default(),
            meter: Meter::default(),
            retries: RetryBudget::default(),
            peers: Peers::default(),
            closed_offers: ClosedOffers::default(),
            releases: HashMap::new(),
            claim_lead: INITIAL_CLAIM_LEAD,
            claim_timer: None,
            paused_until: None,
            backoff: Span::ZERO,
            sequence: 0,
            draining: None,
            drained: false,
            out: Vec::new(),
        }
    }

    /// Handles an event and returns the resulting actions in order.
    ///
    /// Timers that are due are handled first.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use usher_admission::{Action, Event, Policy, Scheduler};
    /// use usher_types::{Profile, Slots, Time};
    /// let address = "127.0.0.1:7000".parse()?;
    /// let profile = Arc::new(Profile::default());
    /// let mut scheduler = Scheduler::new(profile, Slots::new(3), Policy::default(), address);
    /// assert_eq!(scheduler.handle(Time::ZERO, Event::Drain), [Action::Drained]);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.meter.advance(now, self.runs.slots);
        self.expire(now);
        self.apply(now, event);
        self.dispatch_ready(now);
        self.share(now);
        self.send_claims(now);
        self.check_drained();
        std::mem::take(&mut self.out)
    }

    fn apply(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(now, request),
            Event::Permit { id, start_by } => self.permit(now, id, start_by),
            Event::Settled { id, outcome } => self.settled(now, id, outcome),
            Event::Denied { id } => self.denied(now, id),
            Event::Finished { id, outcome } => self.finished(now, id, outcome),
            Event::Lost { id } => self.lost(now, id),
            Event::Refused { id } => self.refused(now, id),
            Event::Cancel { id } => self.cancel(now, id),
            Event::Offered(offer) => self.offered(now, offer),
            Event::OfferReply { from, reply } => self.offer_reply(now, from, &reply),
            Event::OfferOutcome(outcome) => self.offer_outcome(now, outcome),
            Event::OfferOutcomeAck(outcome_ack) => self.offer_outcome_ack(now, outcome_ack.id),
            Event::Peers(waits) => self.peers = Peers::new(waits),
            Event::Profile(profile) => self.profile = profile,
            Event::Slots(slots) => self.runs.slots = slots,
            Event::Drain => {
                self.draining.get_or_insert(now + DRAIN_QUEUE_TIME);
            }
            Event::Tick => {}
        }
    }

    /// When `Event::Tick` is due if no other event occurs.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use usher_admission::{Policy, Scheduler};
    /// use usher_types::{Profile, Slots};
    /// let address = "127.0.0.1:7000".parse()?;
    /// let profile = Arc::new(Profile::default());
    /// let scheduler = Scheduler::new(profile, Slots::new(3), Policy::default(), address);
    /// assert_eq!(scheduler.next_timer(), None);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn next_timer(&self) -> Option<Time> {
        let waiting = self.table.waiting_count() > 0;
        let timers = [
            self.table.next_timer(),
            self.meter.next_timer(),
            self.claim_timer,
            self.paused_until.filter(|_| waiting),
            self.draining.filter(|_| waiting),
        ];
        timers.into_iter().flatten().min()
    }

    /// Estimated wait of a short request that arrives now.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use usher_admission::{Policy, Scheduler};
    /// use usher_types::{Profile, Slots, Span, Time};
    /// let address = "127.0.0.1:7000".parse()?;
    /// let profile = Arc::new(Profile::default());
    /// let scheduler = Scheduler::new(profile, Slots::new(0), Policy::default(), address);
    /// assert!(scheduler.wait(Time::ZERO) > Span::from_secs(60));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn wait(&self, now: Time) -> Span {
        self.class_wait(now, Class::Short)
    }

    /// Weight from the measured capacity of the backend server, reduced during a cold start.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use usher_admission::{Policy, Scheduler};
    /// use usher_types::{Profile, Slots, Weight};
    /// let address = "127.0.0.1:7000".parse()?;
    /// let profile = Arc::new(Profile::default());
    /// let scheduler = Scheduler::new(profile, Slots::new(3), Policy::default(), address);
    /// assert_eq!(scheduler.weight(), Weight::new(100));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn weight(&self) -> Weight {
        self.meter.weight()
    }

    pub(crate) fn class_wait(&self, now: Time, class: Class) -> Span {
        let work = self.table.queue(class).work();
        self.forecast(now, class).wait(work)
    }

    pub(crate) fn forecast(&self, now: Time, class: Class) -> Forecast {
        let forecast = Forecast::new(self.runs.remaining(now));
        if class == Class::Short {
            return forecast;
        }
        let long = self.runs.remaining_long(now, self.long_limit());
        let short = self.table.queue(Class::Short).work();
        forecast.with_work_ahead(short).with_limit(long)
    }

    /// Number of slots that long requests may occupy.
    pub(crate) fn long_limit(&self) -> usize {
        let slots = usize::from(self.runs.slots.get());
        if self.policy.reservation {
            slots.saturating_sub(1).max(1)
        } else {
            slots
        }
    }

    pub(crate) fn count(&mut self, counter: Counter) {
        self.out.push(Action::Count(counter));
    }

    fn check_drained(&mut self) {
        if self.draining.is_some() && !self.drained && self.table.is_empty() {
            self.drained = true;
            self.out.push(Action::Drained);
        }
    }
}
