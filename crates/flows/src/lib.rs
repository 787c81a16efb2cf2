//! Flow decisions of the agent: accept, forward, directory, segments and handover.
