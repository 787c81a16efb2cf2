use xxhash_rust::xxh3::xxh3_64;

/// Hashes a name to a rendezvous key; every process computes the same key.
///
/// ```
/// use usher_placement::key_of;
/// assert_ne!(key_of("namedesk-1"), key_of("namedesk-2"));
/// ```
pub fn key_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
