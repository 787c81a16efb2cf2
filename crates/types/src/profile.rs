use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{AttemptBudget, Buckets, Priority, Share, Span};

/// How requests of one method are treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MethodRule {
    /// Whether the method's requests count as long, whatever their estimated running time.
    pub long: bool,
    /// Precedence under overload; a higher value is refused later.
    pub priority: Priority,
}

impl Default for MethodRule {
    fn default() -> Self {
        Self {
            long: false,
            priority: Priority::new(100),
        }
    }
}

/// Traffic settings that services refer to by name.
///
/// ```
/// use usher_types::Profile;
/// assert_eq!(Profile::default().buckets.get(), 4096);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Profile {
    /// Number of buckets; a power of two from 16 to 65,536.
    pub buckets: Buckets,
    /// Queue wait above which new flows and requests go to a second host.
    pub hunt: Span,
    /// Running time above which a request counts as long.
    pub short_bound: Span,
    /// Deadline of requests that specify none.
    pub deadline: Span,
    /// Attempts of one request across all layers that retry.
    pub attempts: AttemptBudget,
    /// Share of successes that may be spent on retries.
    pub retries: Share,
    /// Share of requests that are to be answered in time.
    pub objective: Share,
    /// Rules by method name.
    pub methods: IndexMap<String, MethodRule>,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            buckets: Buckets::new(4_096),
            hunt: Span::from_millis(5),
            short_bound: Span::from_millis(100),
            deadline: Span::from_secs(2),
            attempts: AttemptBudget::new(3),
            retries: Share::new(0.1).unwrap_or_default(),
            objective: Share::new(0.999).unwrap_or_default(),
            methods: IndexMap::new(),
        }
    }
}
