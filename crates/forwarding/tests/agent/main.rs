//! What an agent does with packets, as a table of situations.

mod fixture;
mod flows;
mod queue;
