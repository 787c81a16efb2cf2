use usher_types::{Rank, Span, Time};

use super::held_data::HeldData;
use crate::{ForwardHeader, PacketHeader};

// A caller completes the handshake within a round trip of a few milliseconds. One that has timed
// out does not, and must not occupy a slot.
const HANDSHAKE_TIMEOUT: Span = Span::from_millis(30);
// The longest request takes under half a second; without an answer by then the request was lost.
const WORK_TIMEOUT: Span = Span::from_secs(3);

// A caller has at most 16 packets of 1,200 bytes in flight; several times that allows for packets that
// are repeated late. Two flows on one port are further apart, since a caller draws the first sequence
// at random.
pub(crate) const MAX_SEQUENCE_DISTANCE: u32 = 76_800;

// The last copy of an opening packet is sent 600 ms after the first; the rest is for queues.
const COPY_TIME: Span = Span::from_secs(3);
// A sender that has something to say repeats it after 1.6 s at the latest, and a backend server closes
// a flow that is idle for longer.
const IDLE_TIME: Span = Span::from_secs(10);

// Requests count as failed after this multiple of the target, when their answers have lost most of
// their value.
const LATE_TARGETS: u64 = 3;
// Packets of an answer follow each other, and their acknowledgements, within a few milliseconds.
const ACTIVE_TIME: Span = Span::from_millis(50);

/// State of a flow at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The opening packet was delivered.
    Opening,
    /// The backend server answered the opening packet.
    Answered,
    /// The backend server acknowledged data from the caller, so it holds the flow.
    Open,
    /// Both ends have finished, or one has reset the flow.
    Closed,
}

/// How a request was delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// It had a slot, or did not have to wait for one.
    InTurn,
    /// No slot was free, and it had waited for too long.
    Forced,
}

/// How the requests of a flow are served, from the header of its opening packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Terms {
    pub(crate) rank: Rank,
    /// Time within which the caller can use an answer.
    pub(crate) target: Span,
}

impl Terms {
    pub(crate) fn of(forward_header: &ForwardHeader) -> Self {
        Self {
            rank: Rank::new(forward_header.rank),
            target: forward_header.budget,
        }
    }
}

/// How long a caller has waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    InTime,
    /// The request counts as failed, whatever follows.
    Late,
}

/// An agent's record of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) phase: Phase,
    /// When the flow's first packet was seen.
    pub(crate) first_seen: Time,
    /// When the last packet in either direction was seen.
    pub(crate) last_seen: Time,
    /// Sequence of the caller's opening packet, if it was seen.
    opening: Option<u32>,
    /// Terms of the flow, if its opening packet was seen.
    pub(crate) terms: Option<Terms>,
    /// Sequence of the backend server's answer to the opening packet, if it was seen.
    answer: Option<u32>,
    /// Latest sequence of the caller, as it sent it or the backend server acknowledged it.
    sequence: Option<u32>,
    /// Position behind the caller's data that was delivered; `None` before the first.
    delivered: Option<u32>,
    /// Start of the handshake or of the request in progress; `None` when idle.
    busy_since: Option<Time>,
    /// Delivery of the request that is not answered yet.
    request: Option<Delivery>,
    /// Whether the request in progress, or the opening packet, has been counted as late.
    wait: Wait,
    /// Position up to which the caller has received, once it has acknowledged anything.
    received: Option<u32>,
    caller_finished: bool,
    host_finished: bool,
}

impl Entry {
    pub(crate) fn new(now: Time, phase: Phase) -> Self {
        Self {
            phase,
            first_seen: now,
            last_seen: now,
            opening: None,
            terms: None,
            answer: None,
            sequence: None,
            delivered: None,
            busy_since: Some(now),
            request: None,
            wait: Wait::InTime,
            received: None,
            caller_finished: false,
            host_finished: false,
        }
    }

    /// The entry of a flow whose opening packet, with this sequence, is delivered.
    pub(crate) fn opened(now: Time, sequence: u32, terms: Terms) -> Self {
        Self {
            opening: Some(sequence),
            terms: Some(terms),
            sequence: Some(sequence),
            ..Self::new(now, Phase::Opening)
        }
    }

    /// Whether a packet of the caller is of this flow, and not of a later one from the same port.
    pub(crate) fn is_of(&self, now: Time, packet_header: &PacketHeader) -> bool {
        let sequence = packet_header.sequence;
        if packet_header.opens() {
            return self.phase != Phase::Closed && self.is_copy(now, sequence);
        }
        self.sequence.is_none_or(|known| is_near(known, sequence))
    }

    // Whether an opening packet is a copy of the one that opened this flow.
    //
    // A copy may have waited at another node for any time. On a flow that both ends may have given up,
    // only an early one counts as such.
    fn is_copy(&self, now: Time, sequence: u32) -> bool {
        let early = now - self.first_seen < COPY_TIME;
        let active = !self.is_idle(now);
        match self.opening {
            Some(known) => (early || active) && known == sequence,
            // The flow opened before this agent started.
            None => {
                early || (active && self.sequence.is_some_and(|known| is_near(known, sequence)))
            }
        }
    }

    /// Whether a packet of the caller shows that the flow has opened at another host.
    ///
    /// An opening packet that goes to two hosts is answered by both, and the caller goes on with one
    /// of the answers. All answers of this backend server pass this agent, so a packet that
    /// acknowledges something else is not for it.
    pub(crate) fn is_elsewhere(&self, packet_header: &PacketHeader) -> bool {
        let opened_here = self.received.is_some() || self.opening.is_none();
        let position = packet_header.acknowledged;
        let answers = |answer: u32| is_near(answer, position);
        packet_header.flags.acknowledging
            && matches!(self.phase, Phase::Opening | Phase::Answered)
            && !opened_here
            && !self.answer.is_some_and(answers)
    }

    /// Whether the flow has been idle for so long that both ends may have given it up.
    pub(crate) fn is_idle(&self, now: Time) -> bool {
        now - self.last_seen > IDLE_TIME
    }

    /// The flow no longer counts as open: its packets may be of a later flow of the port, whose data may
    /// have the same sequences.
    pub(crate) fn become_uncertain(&mut self) {
        self.phase = Phase::Answered;
        self.delivered = None;
    }

    /// Whether the packet begins a request that has no slot: data that was not sent before, while no
    /// request is in progress.
    pub(crate) fn begins_request(&self, now: Time, packet_header: &PacketHeader) -> bool {
        self.request.is_none() && !self.is_working(now) && self.is_new_data(packet_header)
    }

    /// Whether all data of the packet was delivered before.
    pub(crate) fn was_delivered(&self, packet_header: &PacketHeader) -> bool {
        packet_header.data > 0 && !self.is_new_data(packet_header)
    }

    /// Records a packet from the caller that is delivered.
    pub(crate) fn on_caller(&mut self, now: Time, packet_header: &PacketHeader) {
        self.on_held(now, packet_header);
        // A copy of a request that was answered is not work.
        if self.is_new_data(packet_header) {
            self.deliver_data(now, packet_header.end(), Delivery::InTurn);
        }
        self.caller_finished |= packet_header.flags.finishing;
        self.close_if_finished(packet_header.flags.resetting);
    }

    /// Records a packet from the caller that waits.
    pub(crate) fn on_held(&mut self, now: Time, packet_header: &PacketHeader) {
        self.last_seen = now;
        // The flow that has opened at another host is not lost with this one.
        if packet_header.flags.acknowledging && !self.is_elsewhere(packet_header) {
            self.received = Some(packet_header.acknowledged);
        }
        if !packet_header.opens() {
            self.sequence = Some(packet_header.sequence);
        }
    }

    /// Records that held packets are delivered.
    pub(crate) fn on_released(&mut self, now: Time, held: &HeldData, delivery: Delivery) {
        self.deliver_data(now, held.end, delivery);
        self.caller_finished |= held.finishing;
        self.close_if_finished(false);
    }

    /// Records a packet from the backend server.
    ///
    /// Returns the start of the request that the packet answers.
    pub(crate) fn on_host(&mut self, now: Time, packet_header: &PacketHeader) -> Option<Time> {
        self.last_seen = now;
        if packet_header.flags.acknowledging && !packet_header.flags.opening {
            self.sequence.get_or_insert(packet_header.acknowledged);
        }
        if packet_header.flags.opening {
            if self.phase == Phase::Opening {
                self.phase = Phase::Answered;
            }
            self.answer = Some(packet_header.sequence);
            return None;
        }
        if matches!(self.phase, Phase::Opening | Phase::Answered) {
            self.phase = Phase::Open;
        }
        self.host_finished |= packet_header.flags.finishing;
        self.close_if_finished(packet_header.flags.resetting);
        let answered = packet_header.data > 0
            || packet_header.flags.finishing
            || packet_header.flags.resetting;
        let request = self.request.take_if(|_| answered);
        let start = self.busy_since.take_if(|_| answered);
        start.filter(|_| request.is_some())
    }

    /// Start of the request in progress, or of the handshake, if it has just become late.
    pub(crate) fn take_late(&mut self, now: Time) -> Option<Time> {
        let waiting = self.request.is_some() || self.phase == Phase::Opening;
        let since = self.busy_since.filter(|_| waiting && !self.is_late())?;
        let limit = self.terms?.target * LATE_TARGETS;
        if limit == Span::ZERO || now - since <= limit || self.phase == Phase::Closed {
            return None;
        }
        self.wait = Wait::Late;
        Some(since)
    }

    /// Whether the request in progress has been counted as late.
    pub(crate) fn is_late(&self) -> bool {
        self.wait == Wait::Late
    }

    /// Whether the caller waits for an answer that does not count as late yet.
    pub(crate) fn is_requested(&self) -> bool {
        self.request.is_some() && !self.is_late() && self.phase != Phase::Closed
    }

    /// Whether a packet from the backend server resets the flow before the answer is complete.
    ///
    /// The end of an answer cannot be seen, so a flow on which packets have just passed counts too.
    pub(crate) fn is_broken_off(&self, now: Time, packet_header: &PacketHeader) -> bool {
        let ended = self.phase == Phase::Closed || self.host_finished || self.caller_finished;
        let active = self.request.is_some() || now - self.last_seen < ACTIVE_TIME;
        packet_header.flags.resetting && !ended && active
    }

    /// Whether the flow is lost if the backend server ends.
    ///
    /// Until the caller completes the handshake, the entry may stem from a late copy of the opening
    /// packet of a flow that another host holds.
    pub(crate) fn is_held(&self) -> bool {
        match self.phase {
            Phase::Opening | Phase::Answered => self.received.is_some(),
            Phase::Open => true,
            Phase::Closed => false,
        }
    }

    /// Position up to which the caller has received.
    ///
    /// The caller accepts only a reset near this position.
    pub(crate) fn received(&self) -> u32 {
        self.received.unwrap_or(0)
    }

    /// Whether the flow takes a slot, or will once its handshake is complete.
    pub(crate) fn is_working(&self, now: Time) -> bool {
        let limit = if self.request.is_some() {
            WORK_TIMEOUT
        } else {
            HANDSHAKE_TIMEOUT
        };
        self.busy_since.is_some_and(|start| now - start < limit)
    }

    /// Whether the flow is in progress, or its handshake or request has timed out.
    pub(crate) fn is_busy(&self) -> bool {
        self.busy_since.is_some()
    }

    /// Whether the request in progress was delivered without a free slot.
    pub(crate) fn is_forced(&self) -> bool {
        self.request == Some(Delivery::Forced)
    }

    fn is_new_data(&self, packet_header: &PacketHeader) -> bool {
        packet_header.data > 0
            && self
                .delivered
                .is_none_or(|delivered| packet_header.ends_after(delivered))
    }

    fn deliver_data(&mut self, now: Time, end: u32, delivery: Delivery) {
        self.delivered = Some(end);
        if self.phase != Phase::Closed && self.request.is_none() {
            self.busy_since = Some(now);
            self.request = Some(delivery);
            self.wait = Wait::InTime;
        }
    }

    fn close_if_finished(&mut self, resetting: bool) {
        if resetting || (self.caller_finished && self.host_finished) {
            self.phase = Phase::Closed;
            self.busy_since = None;
        }
    }
}

// Whether two positions of one sender may be of one flow.
fn is_near(a: u32, b: u32) -> bool {
    a.wrapping_sub(b) <= MAX_SEQUENCE_DISTANCE || b.wrapping_sub(a) <= MAX_SEQUENCE_DISTANCE
}
