//! What a balancer decides: which agent a packet goes to.

mod directory;
mod flow_cache;
mod host_record;
mod load_cell;
mod pace;
mod path;
mod placement;
mod search;
mod view;

pub use directory::Directory;
pub use path::{BalancerPath, Found, Refused, Verdict};
pub use view::View;
