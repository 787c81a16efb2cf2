//! Runs the decision crates: control thread, traffic threads, sockets and administration RPC.
