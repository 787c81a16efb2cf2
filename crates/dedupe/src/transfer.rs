use serde::{Deserialize, Serialize};
use usher_types::{PastRoster, RequestKey, Span, Version};

use crate::{Agent, Record};

/// Declares that all records of an owner under one roster are included.
///
/// It applies to the keys that the owner and then every agent of the path owned in turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Roster under which the owner granted.
    pub roster: Version,
    /// The owner whose records are included.
    pub owner: Agent,
    /// Rosters and agents through which the records were handed over.
    pub path: Vec<(Version, Agent)>,
}

/// Records handed to the agent that owns their keys under a newer roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The agent that hands over.
    pub from: Agent,
    /// The agent that receives.
    pub to: Agent,
    /// Roster that the sender has adopted and that makes the receiver the owner.
    pub roster: Version,
    /// Earlier owners whose records are complete in this transfer.
    #[serde(rename = "covers")]
    pub coverage: Vec<Coverage>,
    /// Earlier rosters that the sender still keeps; the receiver may have skipped some.
    pub rosters: Vec<PastRoster>,
    /// Time since all rosters older than those had stopped; `None` when there were none.
    pub since: Option<Span>,
    /// Records of keys that the receiver owns.
    pub records: Vec<(RequestKey, Record)>,
}
