use usher_types::{HostId, Weight};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Sorts members by descending rendezvous score for a key.
///
/// The share of keys for which a member comes first is proportional to its weight; members of
/// weight 0 come last.
///
/// ```
/// use usher_types::{HostId, Weight};
/// let hosts: Vec<HostId> = vec!["a".parse()?, "b".parse()?];
/// let order = usher_placement::rank(7, hosts.iter().map(|host| (host, Weight::NOMINAL)));
/// assert_eq!(order.len(), 2);
/// # Ok::<(), usher_types::ParseError>(())
/// ```
pub fn rank<'a>(
    key: u64,
    members: impl IntoIterator<Item = (&'a HostId, Weight)>,
) -> Vec<&'a HostId> {
    let mut scored: Vec<_> = members
        .into_iter()
        .map(|(host, weight)| (score(key, host, weight), host))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, host)| host).collect()
}

/// Returns the member with the highest score for a key; `None` without members.
///
/// ```
/// let none = usher_placement::highest_ranked(7, []);
/// assert!(none.is_none());
/// ```
pub fn highest_ranked<'a>(
    key: u64,
    members: impl IntoIterator<Item = (&'a HostId, Weight)>,
) -> Option<&'a HostId> {
    members
        .into_iter()
        .map(|(host, weight)| (score(key, host, weight), host))
        .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(a.1)))
        .map(|(_, host)| host)
}

fn score(key: u64, host: &HostId, weight: Weight) -> f64 {
    rendezvous_score(key, host.as_str().as_bytes(), weight.get())
}

/// Computes the weighted rendezvous score of a member for a key.
///
/// The member with the highest score comes first.
///
/// The share of keys for which a member comes first is proportional to its weight.
///
/// ```
/// use usher_placement::rendezvous_score;
/// assert!(rendezvous_score(7, b"a", 1) > 0.0);
/// ```
pub fn rendezvous_score(key: u64, member: &[u8], weight: u32) -> f64 {
    // -w / ln(u), with u uniform in (0, 1).
    let hash = xxh3_64_with_seed(member, key);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(weight) / uniform.ln()
}
