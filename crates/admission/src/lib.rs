//! Scheduling decisions of the agent: classes, slots, deadlines and refusals.
