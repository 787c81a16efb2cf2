/// How a process obtained its first roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// This process created the service's roster, so no earlier owner exists.
    Created,
    /// The service had rosters before.
    Joined,
}
