//! Routing decisions of the balancer: tables, routes and hints.
//!
//! Tables and routers are immutable; a change builds new ones, which threads share through an `Arc`.

mod forward;
mod hint_table;
mod quarantine;
mod ranked_hosts;
mod route;
mod router;
mod table;

pub use forward::{DropReason, Forward};
pub use hint_table::HintTable;
pub use quarantine::Quarantine;
pub use route::Route;
pub use router::Router;
pub use table::Table;
