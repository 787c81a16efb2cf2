//! The commands of the tool, one file each.

mod action;
mod apply;
mod check;
mod delete;
mod diff;
mod drain;
mod edit;
mod evacuation;
mod forget;
mod get;
mod list;
mod report;
mod set;
mod status;

pub(crate) use action::Action;
pub(crate) use apply::Apply;
pub(crate) use check::Check;
pub(crate) use drain::Drain;
pub(crate) use evacuation::EvacuationCommand;
pub(crate) use forget::Forget;
pub(crate) use report::Report;
pub(crate) use status::ShowStatus;
