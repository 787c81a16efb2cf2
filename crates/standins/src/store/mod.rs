//! Object API of the platform: versions, conditional writes, watches and fault switches.
//!
//! | request | does |
//! |---|---|
//! | `GET /v1/objects/{kind}/{name}` | 200 with `ETag` and `X-Write-Id`; 404 with both for a tombstone |
//! | `PUT /v1/objects/{kind}/{name}` | needs `If-Match: "<version>"` or `If-None-Match: *`; 412 with the current object |
//! | `DELETE /v1/objects/{kind}/{name}` | needs `If-Match`; leaves a tombstone |
//! | `GET /v1/objects?kind=&since=&wait_ms=` | objects above a version; waits until there is one |
//! | `GET /v1/stats` | counts of calls |
//! | `GET`, `PUT /faults` | fault switches |

mod api;
mod fault_gate;
mod faults;
mod record;
mod shared;
mod space;
mod stats;

pub use api::{run, serve};
pub use faults::{Down, Faults};
pub use record::{Precondition, Record};
pub use space::{Refusal, Space};
pub use stats::Stats;
