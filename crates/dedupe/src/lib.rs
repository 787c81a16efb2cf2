//! At-most-once execution: the ledger of keys, key ownership and the peer lease.
