mod handover;
mod membership;
mod orphaned;
mod receive;
mod registry;
mod serve;
mod takeover;

use std::mem;
use std::net::SocketAddrV4;

use indexmap::{IndexMap, IndexSet};
use usher_types::{Body, FlowId, HostId, Packet, Sequence, Span, Time};

use self::membership::Membership;
use self::registry::OtherHolder;
use crate::directory::Directory;
use crate::flow::{Flow, Open, StoredFlow, Tombstone};
use crate::outgoing_transfer::OutgoingTransfer;
use crate::timers::Timers;
use crate::{Action, Counter, Event, FlowLocation, PACKET_LIFETIME, Settings};

// A flow expires at most a quarter of its idle time late.
const SWEEPS_PER_IDLE: u64 = 4;

/// Bytes of one flow in the table: hash, id, state and two index slots.
///
/// An idle flow also owns a heap block of 32 bytes with its completed message numbers.
pub const FLOW_BYTES: usize = size_of::<(u64, FlowId, StoredFlow)>() + 2 * size_of::<usize>();

/// Flows that an agent holds or hands over, and holders of other flows.
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
    held: IndexMap<FlowId, StoredFlow>,
    directory: Directory,
    resend_timers: Timers,
    tombstone_timers: Timers,
    next_sweep: Time,
    /// Holders that the owners of the buckets have not acknowledged yet.
    registrations: IndexMap<FlowId, SocketAddrV4>,
    register_timers: Timers,
    /// Earliest time of the next batch of registrations.
    next_batch: Time,
    /// Registrations per batch, so that all waiting ones are sent in time.
    batch_size: usize,
    /// Agents being asked whether they hold a flow that is open here too.
    other_holders: IndexMap<FlowId, OtherHolder>,
    /// Agents to which flows must be handed over even without a drain.
    handover_targets: IndexMap<FlowId, SocketAddrV4>,
    handover_queue: IndexSet<FlowId>,
    /// Frozen flows whose receiver has left; queued for a transfer to their next owner.
    orphaned: IndexSet<FlowId>,
    /// When to queue flows for handover again.
    requeue_timers: Timers,
    /// Directory entries queued for handover.
    locations: Vec<FlowLocation>,
    /// Tombstones queued for handover.
    closed: Vec<FlowId>,
    outgoing_transfers: IndexMap<HostId, OutgoingTransfer>,
    transfer_number: u64,
    /// Number of the last transfer from each agent and the flows acknowledged for it.
    answered_transfers: IndexMap<SocketAddrV4, (u64, Vec<FlowId>)>,
    draining: bool,
    drained: bool,
    actions: Vec<Action>,
}

impl FlowTable {
    /// Creates an empty table without a roster.
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
            resend_timers: Timers::default(),
            tombstone_timers: Timers::default(),
            next_sweep: Time::ZERO,
            registrations: IndexMap::new(),
            register_timers: Timers::default(),
            next_batch: Time::ZERO,
            batch_size: 0,
            other_holders: IndexMap::new(),
            handover_targets: IndexMap::new(),
            handover_queue: IndexSet::new(),
            orphaned: IndexSet::new(),
            requeue_timers: Timers::default(),
            locations: Vec::new(),
            closed: Vec::new(),
            outgoing_transfers: IndexMap::new(),
            transfer_number: 0,
            answered_transfers: IndexMap::new(),
            draining: false,
            drained: false,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to perform, in order.
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
            Event::Adopted(version) => self.membership.confirm_adoption(now, version),
            Event::Wait(wait) => self.wait = wait,
            Event::Generation(generation) => {
                self.settings.generation = self.settings.generation.max(generation);
            }
            Event::Reply { id, bytes } => self.reply(now, id, bytes),
            Event::Registration { from, registration } => {
                self.on_registration(now, from, &registration);
            }
            Event::RegistrationAck {
                from,
                registration_ack,
            } => self.on_registration_ack(now, from, &registration_ack),
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

    /// When `Event::Tick` is due.
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
        let sweep =
            (!self.held.is_empty() || !self.directory.is_empty()).then_some(self.next_sweep);
        let register = self
            .register_timers
            .next()
            .map(|due| due.max(self.next_batch));
        let retry = self
            .outgoing_transfers
            .values()
            .filter_map(|outgoing| outgoing.retry)
            .min();
        let timers = [
            self.resend_timers.next(),
            self.tombstone_timers.next(),
            self.requeue_timers.next(),
            register,
            retry,
            sweep,
        ];
        timers.into_iter().flatten().min()
    }

    /// Number of flows held here, open or moving to another agent.
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
        let tombstone = |held: &&StoredFlow| matches!(held, StoredFlow::Tombstone(_));
        self.held.len() - self.held.values().filter(tombstone).count()
    }

    fn tick(&mut self, now: Time) {
        while let Some(flow) = self.tombstone_timers.pop(now) {
            self.held.swap_remove(&flow);
        }
        while let Some(flow) = self.resend_timers.pop(now) {
            self.retransmit(now, flow);
        }
        while let Some(flow) = self.requeue_timers.pop(now) {
            self.queue_handover(flow);
        }
        self.register_due(now);
        self.retry_transfers(now);
        if self.next_sweep <= now {
            self.sweep(now);
        }
    }

    fn sweep(&mut self, now: Time) {
        let idle = self.settings.idle;
        self.next_sweep = now + idle.scale(1.0 / SWEEPS_PER_IDLE as f64);
        self.directory.sweep(now);
        let expired =
            |flow: &Flow<Open>| now.since(flow.used_at()) >= idle && flow.view().unanswered() == 0;
        let stale: Vec<FlowId> = self
            .held
            .iter()
            .filter(|(_, held)| matches!(held, StoredFlow::Open(flow) if expired(flow)))
            .map(|(flow, _)| *flow)
            .collect();
        for flow in stale {
            self.end_flow(now, flow);
            self.count(Counter::Expired);
        }
        self.register_all(now);
    }

    /// Ends an open flow and keeps a tombstone; late packets do not reopen it.
    fn end_flow(&mut self, now: Time, flow: FlowId) {
        let Some(StoredFlow::Open(open)) = self.held.swap_remove(&flow) else {
            return;
        };
        self.add_tombstone(now, flow, open.close());
        self.retire_at_owner(flow);
        self.resend_timers.clear(&flow);
        self.unregister(&flow);
        self.handover_targets.swap_remove(&flow);
        self.handover_queue.swap_remove(&flow);
        self.requeue_timers.clear(&flow);
    }

    /// Keeps a tombstone and, while draining, queues it for the bucket's next owner.
    fn add_tombstone(&mut self, now: Time, flow: FlowId, tombstone: Flow<Tombstone>) {
        self.held.insert(flow, StoredFlow::Tombstone(tombstone));
        self.tombstone_timers.set(flow, now + PACKET_LIFETIME);
        if self.draining {
            self.closed.push(flow);
        }
    }

    fn open_flow(&mut self, flow: &FlowId) -> Option<&mut Flow<Open>> {
        match self.held.get_mut(flow) {
            Some(StoredFlow::Open(open)) => Some(open),
            _ => None,
        }
    }

    /// Sends a packet of an open or closed flow to its caller.
    fn send(&mut self, flow: FlowId, body: Body) {
        let packet = match self.held.get_mut(&flow) {
            Some(StoredFlow::Open(open)) => open.packet(flow, body),
            Some(StoredFlow::Tombstone(tombstone)) => tombstone.packet(flow, body),
            Some(StoredFlow::Moving(_)) | None => Packet {
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
