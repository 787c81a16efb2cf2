//! One end of the two byte streams of a flow.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::packet::{ACK, MAX_DATA};

const IN_FLIGHT: u32 = 16;
const FIRST_RETRY: Duration = Duration::from_millis(200);
const LONGEST_RETRY: Duration = Duration::from_millis(1_600);
const ACK_DELAY: Duration = Duration::from_millis(20);

/// A segment to send: flags, sequence, acknowledgement and data.
pub type Segment = (u8, u32, u32, Vec<u8>);

#[derive(Debug)]
pub struct Stream {
    // Position of the first byte that the other end has not acknowledged.
    acked: u32,
    // Position of the next byte to send for the first time.
    next: u32,
    unacked: VecDeque<u8>,
    received: u32,
    early: BTreeMap<u32, Vec<u8>>,
    retry: Duration,
    retry_at: Option<Instant>,
    pub retries: u32,
    since_ack: u32,
    ack_at: Option<Instant>,
}

impl Stream {
    pub fn new(send: u32, receive: u32) -> Self {
        Self {
            acked: send,
            next: send,
            unacked: VecDeque::new(),
            received: receive,
            early: BTreeMap::new(),
            retry: FIRST_RETRY,
            retry_at: None,
            retries: 0,
            since_ack: 0,
            ack_at: None,
        }
    }

    pub fn received(&self) -> u32 {
        self.received
    }

    pub fn sent(&self) -> u32 {
        self.next
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.unacked.extend(bytes);
    }

    pub fn is_acked(&self) -> bool {
        self.unacked.is_empty()
    }

    pub fn on_ack(&mut self, ack: u32) {
        let count = ack.wrapping_sub(self.acked);
        if count == 0 || count as usize > self.unacked.len() {
            return;
        }
        self.unacked.drain(..count as usize);
        self.acked = ack;
        if self.next.wrapping_sub(ack) > u32::MAX / 2 {
            self.next = ack;
        }
        self.retry = FIRST_RETRY;
        self.retries = 0;
        self.retry_at = None;
    }

    /// Takes data; returns the bytes that are next in order.
    pub fn on_data(&mut self, now: Instant, seq: u32, data: &[u8]) -> Vec<u8> {
        let mut out = Vec::new();
        if data.is_empty() {
            return out;
        }
        self.since_ack += 1;
        self.ack_at.get_or_insert(now + ACK_DELAY);
        let ahead = seq.wrapping_sub(self.received);
        if ahead > u32::MAX / 2 {
            // A copy, perhaps with new bytes at its end.
            let known = self.received.wrapping_sub(seq) as usize;
            if known < data.len() {
                out.extend(&data[known..]);
            }
            self.ack_at = Some(now);
        } else if ahead == 0 {
            out.extend(data);
        } else {
            self.early.insert(seq, data.to_vec());
            self.ack_at = Some(now);
        }
        self.received = self.received.wrapping_add(out.len() as u32);
        while let Some(more) = self.early.remove(&self.received) {
            self.received = self.received.wrapping_add(more.len() as u32);
            out.extend(more);
        }
        out
    }

    /// Segments that are due.
    pub fn poll(&mut self, now: Instant) -> Vec<Segment> {
        if self.retry_at.is_some_and(|at| now >= at) && !self.unacked.is_empty() {
            self.next = self.acked;
            self.retry = (self.retry * 2).min(LONGEST_RETRY);
            self.retries += 1;
            self.retry_at = None;
        }
        let mut out = Vec::new();
        loop {
            let offset = self.next.wrapping_sub(self.acked) as usize;
            let left = self.unacked.len() - offset;
            if left == 0 || offset as u32 >= IN_FLIGHT * MAX_DATA as u32 {
                break;
            }
            let length = left.min(MAX_DATA);
            let data: Vec<u8> = self.unacked.range(offset..offset + length).copied().collect();
            out.push((ACK, self.next, self.received, data));
            self.next = self.next.wrapping_add(length as u32);
        }
        if !out.is_empty() {
            self.retry_at.get_or_insert(now + self.retry);
            self.since_ack = 0;
            self.ack_at = None;
        } else if self.since_ack >= 2 || self.ack_at.is_some_and(|at| now >= at) {
            out.push((ACK, self.next, self.received, Vec::new()));
            self.since_ack = 0;
            self.ack_at = None;
        }
        out
    }
}
