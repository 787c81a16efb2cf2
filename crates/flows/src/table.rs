mod handover;
mod membership;
mod receive;
mod registry;
mod serve;
mod stranded;
mod takeover;

use std::mem;
use std::net::SocketAddrV4;

use indexmap::{IndexMap, IndexSet};
use usher_types::{Body, FlowId, HostId, Packet, Sequence, Span, Time};

use self::membership::Membership;
use self::registry::Rival;
use crate::directory::Directory;
use crate::flow::{Closing, Flow, Held, Open};
use crate::timers::Timers;
use crate::transit::Transit;
use crate::{Action, Counter, Event, Located, PACKET_LIFETIME, Settings};

const SWEEPS_PER_IDLE: u64 = 4;

/// Bytes of one table row: hash, flow id, state and two index slots.
///
/// An idle flow also owns one heap block of 32 bytes, for its completed message numbers.
pub const FLOW_BYTES: usize = size_of::<(u64, FlowId, Held)>() + 2 * size_of::<usize>();

/// Flows of one agent: what it holds, what it knows of others and what it hands over.
///
/// ```
/// use usher_flows::{Event, FlowTable, Settings};
/// use usher_types::{Buckets, Generation, Span, Time};
/// let settings = Settings::new(
///     "booking-desk".parse()?,
///     Generation::new(1),
///     Buckets::new(4_096),
///     "booking-desk-1".parse()?,
///     "127.0.0.1:7001".parse().unwrap(),
///     Span::from_millis(5),
/// );
/// let mut table = FlowTable::new(settings);
/// assert!(table.handle(Time::ZERO, Event::Tick).is_empty());
/// # Ok::<(), usher_types::ParseError>(())
/// ```
#[derive(Debug)]
pub struct FlowTable {
    settings: Settings,
    membership: Membership,
    wait: Span,
    held: IndexMap<FlowId, Held>,
    directory: Directory,
    resend: Timers,
    tombstones: Timers,
    sweep: Time,
    registrations: IndexMap<FlowId, SocketAddrV4>,
    register: Timers,
    pace: Time,
    rivals: IndexMap<FlowId, Rival>,
    yields: IndexMap<FlowId, SocketAddrV4>,
    leaving: IndexSet<FlowId>,
    /// Flows whose transfer ended with its receiver; they wait for one to their next owner.
    stranded: IndexSet<FlowId>,
    deferred: Timers,
    located: Vec<Located>,
    closed: Vec<FlowId>,
    transits: IndexMap<HostId, Transit>,
    transfers: u64,
    taken: IndexMap<SocketAddrV4, (u64, Vec<FlowId>)>,
    draining: bool,
    drained: bool,
    actions: Vec<Action>,
}

impl FlowTable {
    /// An empty table without a roster.
    ///
    /// ```
    /// use usher_flows::{FlowTable, Settings};
    /// use usher_types::{Buckets, Generation, Span};
    /// let agent = "127.0.0.1:7001".parse().unwrap();
    /// let (service, host) = ("booking-desk".parse()?, "booking-desk-1".parse()?);
    /// let buckets = Buckets::new(16);
    /// let hunt = Span::from_millis(5);
    /// let table =
    ///     FlowTable::new(Settings::new(service, Generation::new(1), buckets, host, agent, hunt));
    /// assert_eq!(table.flows(), 0);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            membership: Membership::default(),
            wait: Span::ZERO,
            held: IndexMap::new(),
            directory: Directory::default(),
            resend: Timers::default(),
            tombstones: Timers::default(),
            sweep: Time::ZERO,
            registrations: IndexMap::new(),
            register: Timers::default(),
            pace: Time::ZERO,
            rivals: IndexMap::new(),
            yields: IndexMap::new(),
            leaving: IndexSet::new(),
            stranded: IndexSet::new(),
            deferred: Timers::default(),
            located: Vec::new(),
            closed: Vec::new(),
            transits: IndexMap::new(),
            transfers: 0,
            taken: IndexMap::new(),
            draining: false,
            drained: false,
            actions: Vec::new(),
        }
    }

    /// Takes one event and returns what is to be done, in order.
    ///
    /// ```
    /// # use usher_flows::{FlowTable, Settings};
    /// # use usher_types::{Buckets, Generation, Span};
    /// # let agent = "127.0.0.1:7001".parse().unwrap();
    /// # let (service, host) = ("booking-desk".parse()?, "booking-desk-1".parse()?);
    /// # let hunt = Span::from_millis(5);
    /// # let generation = Generation::new(1);
    /// # let settings = Settings::new(service, generation, Buckets::new(16), host, agent, hunt);
    /// use usher_flows::{Action, Event};
    /// use usher_types::Time;
    /// let mut table = FlowTable::new(settings);
    /// assert_eq!(table.handle(Time::ZERO, Event::Drain), [Action::Drained]);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Relay(relay) => self.receive(now, relay),
            Event::Roster(roster) => self.adopt_roster(now, &roster),
            Event::Adopted(version) => self.membership.confirm(now, version),
            Event::Wait(wait) => self.wait = wait,
            Event::Generation(generation) => {
                self.settings.generation = self.settings.generation.max(generation);
            }
            Event::Reply { id, bytes } => self.reply(now, id, bytes),
            Event::Register { from, register } => self.registration(now, from, &register),
            Event::Registered { from, registered } => self.registered(now, from, &registered),
            Event::Handover(transfer) => self.take_over(now, transfer),
            Event::HandedOver { to, flows } => self.handed_over(now, &to, &flows),
            Event::HandoverFailed { to } => self.handover_failed(now, &to),
            Event::Drain => self.drain(now),
            Event::Tick => self.tick(now),
        }
        self.dispatch(now);
        self.report_drained();
        mem::take(&mut self.actions)
    }

    /// When the table wants `Event::Tick`.
    ///
    /// ```
    /// # use usher_flows::{FlowTable, Settings};
    /// # use usher_types::{Buckets, Generation, Span};
    /// # let agent = "127.0.0.1:7001".parse().unwrap();
    /// # let (service, host) = ("booking-desk".parse()?, "booking-desk-1".parse()?);
    /// # let hunt = Span::from_millis(5);
    /// # let generation = Generation::new(1);
    /// # let settings = Settings::new(service, generation, Buckets::new(16), host, agent, hunt);
    /// assert_eq!(FlowTable::new(settings).next_timer(), None);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn next_timer(&self) -> Option<Time> {
        let sweep = (!self.held.is_empty() || !self.directory.is_empty()).then_some(self.sweep);
        let register = self.register.next().map(|due| due.max(self.pace));
        let retry = self
            .transits
            .values()
            .filter_map(|transit| transit.retry)
            .min();
        let timers = [
            self.resend.next(),
            self.tombstones.next(),
            self.deferred.next(),
            register,
            retry,
            sweep,
        ];
        timers.into_iter().flatten().min()
    }

    /// Number of flows that are held here, open or on their way to another agent.
    ///
    /// ```
    /// # use usher_flows::{FlowTable, Settings};
    /// # use usher_types::{Buckets, Generation, Span};
    /// # let agent = "127.0.0.1:7001".parse().unwrap();
    /// # let (service, host) = ("booking-desk".parse()?, "booking-desk-1".parse()?);
    /// # let hunt = Span::from_millis(5);
    /// # let generation = Generation::new(1);
    /// # let settings = Settings::new(service, generation, Buckets::new(16), host, agent, hunt);
    /// assert_eq!(FlowTable::new(settings).flows(), 0);
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn flows(&self) -> usize {
        let closing = |held: &&Held| matches!(held, Held::Closing(_));
        self.held.len() - self.held.values().filter(closing).count()
    }

    fn tick(&mut self, now: Time) {
        while let Some(flow) = self.tombstones.pop(now) {
            self.held.swap_remove(&flow);
        }
        while let Some(flow) = self.resend.pop(now) {
            self.retransmit(now, flow);
        }
        while let Some(flow) = self.deferred.pop(now) {
            self.queue_if_leaving(flow);
        }
        self.register_due(now);
        self.retry_transits(now);
        if self.sweep <= now {
            self.sweep(now);
        }
    }

    fn sweep(&mut self, now: Time) {
        let idle = self.settings.idle;
        self.sweep = now + idle.scale(1.0 / SWEEPS_PER_IDLE as f64);
        self.directory.sweep(now);
        let expired =
            |flow: &Flow<Open>| now.since(flow.used()) >= idle && flow.view().pending() == 0;
        let stale: Vec<FlowId> = self
            .held
            .iter()
            .filter(|(_, held)| matches!(held, Held::Open(flow) if expired(flow)))
            .map(|(flow, _)| *flow)
            .collect();
        for flow in stale {
            self.forget(now, flow);
            self.count(Counter::Expired);
        }
        self.register_all(now);
    }

    /// Ends an open flow and keeps a tombstone; late packets of it open nothing.
    fn forget(&mut self, now: Time, flow: FlowId) {
        let Some(Held::Open(open)) = self.held.swap_remove(&flow) else {
            return;
        };
        self.bury(now, flow, open.close());
        self.retire_at_owner(flow);
        self.resend.clear(&flow);
        self.unregister(&flow);
        self.yields.swap_remove(&flow);
        self.leaving.swap_remove(&flow);
        self.deferred.clear(&flow);
    }

    /// Keeps a tombstone, here and, while draining, at the next owner of the bucket.
    fn bury(&mut self, now: Time, flow: FlowId, closing: Flow<Closing>) {
        self.held.insert(flow, Held::Closing(closing));
        self.tombstones.set(flow, now + PACKET_LIFETIME);
        if self.draining {
            self.closed.push(flow);
        }
    }

    fn open_flow(&mut self, flow: &FlowId) -> Option<&mut Flow<Open>> {
        match self.held.get_mut(flow) {
            Some(Held::Open(open)) => Some(open),
            _ => None,
        }
    }

    /// Sends a packet of an open or closed flow to its caller.
    fn send(&mut self, flow: FlowId, body: Body) {
        let packet = match self.held.get_mut(&flow) {
            Some(Held::Open(open)) => open.packet(flow, body),
            Some(Held::Closing(closing)) => closing.packet(flow, body),
            Some(Held::Moving(_)) | None => Packet {
                flow,
                sequence: Sequence::default(),
                body,
            },
        };
        self.actions.push(Action::Send(packet));
    }

    fn count(&mut self, counter: Counter) {
        self.actions.push(Action::Count(counter));
    }
}
