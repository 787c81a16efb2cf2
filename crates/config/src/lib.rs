//! Configuration state: versioned objects, tombstones, validation and write resolution.
