//! Settings, logs and arguments of `marigoldusherd`.
