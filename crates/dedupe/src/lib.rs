//! At-most-once execution: the ledger of keys, key ownership and the peer lease.
//!
//! A key is dispatched at most once: every grant is limited by a lease, and every later grant of the
//! key takes it into account. The assumptions and rules are:
//!
//! - Assumptions: the clock rates of two processes differ by at most 1 %; offsets are arbitrary. `now`
//!   is read after a message was received. A datagram is delivered within 30 s or not at all. A host
//!   runs one agent at a time.
//! - Lease: an owner grants under a held lease, for the rest of that lease. The holder counts this span
//!   from the time it sent the claim, so no dispatch starts after the lease has ended. A paused owner or
//!   holder, or a claim or reply delayed by more than a lease, yields a deadline in the past.
//! - One owner: a lease of roster u needs a quorum of u whose members have adopted nothing newer. It
//!   intersects every activation quorum, so 3 s after that quorum has adopted a newer roster no grant
//!   of u can start. An owner that adopts a newer roster stops at once and hands its records over.
//! - Earlier owners: an owner grants a key only when the owner of the key under every earlier roster is
//!   this process, has handed over its records, or has stopped. In the last case the first attempt must
//!   be later than the stop: `age` plus the most by which it can be understated must be less than the
//!   time since the stop. A late caller packet understates it by up to 30 s, a late claim by up to one
//!   lease. Packets wait in a paused holder's socket, so a `Claimant` adds its own stalls to `age`.
//! - Skipped rosters: an owner of a roster that this process never saw can hold a lease of a quorum it
//!   does not know. A process therefore grants nothing until it is given all unsettled rosters.
//! - Duplicates: a repeated claim repeats its reply. A newer claim of the same process replaces its
//!   grant, because a `Claimant` ignores replies to earlier claims and sends no claim after a permit
//!   until the request is reported as not run. A release names its claim, so a delayed one cannot
//!   release a later grant.
//! - Records: a merge keeps the state that refuses more claims; two different grants of one key merge
//!   into "unknown". A record outlives its grant by the retention period, and a claim whose age is
//!   close to that period counts as stale.

mod action;
mod claimant;
mod eligibility;
mod entry;
mod event;
mod handover;
mod history;
mod lease;
mod ledger;
mod limits;
mod origin;
mod ownership;
mod record;
mod request;
mod requests;
mod stall;
mod table;
mod transfer;

pub use action::{ClaimantAction, Counter, LedgerAction};
pub use claimant::Claimant;
pub use event::{ClaimantEvent, LedgerEvent, RosterHistory};
pub use lease::{Held, Lapsed, Lease, Renewal};
pub use ledger::Ledger;
pub use limits::{LEASE, PACKET_LIFETIME, RETENTION, RUN_LIMIT};
pub use origin::Origin;
pub use ownership::{Agent, owner_of};
pub use record::{Record, State};
pub use transfer::{Coverage, Transfer};
