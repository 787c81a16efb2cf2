//! Membership decisions: heartbeats, suspicion, host states and roster proposals.
