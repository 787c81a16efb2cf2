/// Counters of the agent itself, apart from those of its components.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Counter {
    /// A message for another service was dropped.
    WrongService,
}
