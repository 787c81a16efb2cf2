use serde::{Deserialize, Serialize};
use usher_types::Span;

use crate::Tally;

/// Windows that are counted, each as bucket width and number of buckets.
pub const WINDOWS: [(Span, usize); 3] = [
    (Span::from_secs(10), 30),
    (Span::from_secs(60), 60),
    (Span::from_secs(3_600), 720),
];

/// Outcomes that an agent counted within one window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Length of the window.
    #[serde(rename = "window")]
    pub length: Span,
    /// Part of the window in which the agent has run. It is shorter than `length` after a start.
    pub covered: Span,
    /// Outcomes within the window, accurate to the width of one bucket.
    pub tally: Tally,
}
