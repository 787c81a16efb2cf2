//! A balancer's decisions: which agent each packet goes to.

mod directory;
mod flow_cache;
mod host_record;
mod path;
mod placement;
mod report_rate;
mod search;
mod shared_load;
mod view;

pub use directory::Directory;
pub use path::{BalancerPath, Found, Refused, Verdict};
pub use view::View;
