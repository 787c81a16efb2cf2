use xxhash_rust::xxh3::xxh3_64;

/// The rendezvous key of a name, the same in every process.
///
/// ```
/// use usher_placement::key_of;
/// assert_ne!(key_of("namedesk-1"), key_of("namedesk-2"));
/// ```
pub fn key_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
