//! HTTP/1.1 for the control thread.

mod client;
mod server;

pub(crate) use client::Client;
pub(crate) use server::{Answer, serve};
