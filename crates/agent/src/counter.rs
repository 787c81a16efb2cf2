/// Occurrences that the agent itself counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Counter {
    /// A message for another service was dropped.
    WrongService,
}
