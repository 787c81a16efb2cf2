//! A balancer's decisions: which agent each packet goes to.

mod directory;
mod exhausted_flows;
mod extra_opening;
mod fleet_start;
mod flow_cache;
mod flow_pair;
mod flow_search;
mod forwarder;
mod host_record;
mod host_watch;
mod placement;
mod report_rate;
mod search;
mod searching;
mod shared_load;
mod start_up;
mod view;
mod wake_up;

pub use directory::HostDirectory;
pub use fleet_start::FleetStart;
pub use forwarder::{BalancerForwarder, HostSource, RejectReason, Verdict};
pub use start_up::StartUp;
pub use view::RoutingView;
pub use wake_up::{SettleWatch, WakeUp};
