//! The measurements, one module for each quantity that grows.

pub(crate) mod changes;
pub(crate) mod fleet;
pub(crate) mod flows;
pub(crate) mod members;
pub(crate) mod payload;
pub(crate) mod records;
pub(crate) mod service;
pub(crate) mod services;
