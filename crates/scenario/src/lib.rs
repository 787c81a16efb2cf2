//! A small scenario language that drives the decision crates in virtual time.
