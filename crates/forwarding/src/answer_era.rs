use usher_types::Era;

/// What the era of an answer says about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEra {
    /// The answer is of the present era.
    Current,
    /// The store has been restored since the answers before.
    Restored {
        /// Era of the answers before.
        before: Era,
    },
    /// The answer is late, or from a replica that is behind; it must not be used.
    Outdated {
        /// Era of a later answer that has come before.
        current: Era,
    },
}
