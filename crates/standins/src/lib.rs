//! Test stand-ins for the platform's store and fabric, a backend server and a caller.

pub mod store;
