//! The operator's tool against the store's stand-in and fake processes.

mod commands;
mod fake;
mod pages;
mod processes;
mod shell;
