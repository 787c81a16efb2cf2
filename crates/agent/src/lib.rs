//! The agent of one host, without I/O: connects flow table, scheduler, ledger and claimant.
//!
//! The runtime passes in events and executes the returned actions; scenarios do the same in virtual
//! time.

mod action;
mod agent_state;
mod counter;
mod event;
mod flow_actions;
mod key_actions;
mod peers;
mod request_actions;
mod settings;
mod summary;
mod view;

pub use action::Action;
pub use agent_state::AgentState;
pub use event::Event;
pub use settings::Settings;
pub use summary::Summary;
pub use view::View;
