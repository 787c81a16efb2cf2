use usher_types::{Bucket, Buckets, FlowId};
use xxhash_rust::xxh3::xxh3_64;

/// Maps a flow to a bucket by a hash of both addresses.
///
/// The flow's nonce is not part of the hash.
///
/// ```
/// use usher_types::Buckets;
/// let flow = "10.0.0.1:4000>192.0.2.1:80#7".parse()?;
/// assert!(usher_placement::bucket_of(&flow, Buckets::new(16)).get() < 16);
/// # Ok::<(), usher_types::ParseError>(())
/// ```
pub fn bucket_of(flow: &FlowId, buckets: Buckets) -> Bucket {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&flow.caller.ip().octets());
    bytes[4..6].copy_from_slice(&flow.caller.port().to_be_bytes());
    bytes[6..10].copy_from_slice(&flow.service.ip().octets());
    bytes[10..].copy_from_slice(&flow.service.port().to_be_bytes());
    let count = u64::from(buckets.get().max(1));
    Bucket::new((xxh3_64(&bytes) % count) as u32)
}
