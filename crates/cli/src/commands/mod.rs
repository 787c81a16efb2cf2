//! One file per command.

mod action;
mod apply;
mod check;
mod delete;
mod diff;
mod edit;
mod get;
mod list;
mod set;

pub(crate) use action::Action;
pub(crate) use apply::Apply;
pub(crate) use check::Check;
