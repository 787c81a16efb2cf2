use std::fmt;

use usher_types::Span;

/// Expected value of one figure of a run.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Expectation {
    /// Line number of the statement.
    pub(crate) line: usize,
    /// Name of the figure.
    pub(crate) name: String,
    /// How the figure must compare to the limit.
    pub(crate) relation: Relation,
    /// Value that the figure is compared with.
    pub(crate) limit: f64,
    /// Time after a drain from which `new_runs_after_drain` counts runs.
    pub(crate) after: Span,
}

/// How a figure must compare to its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Relation {
    Equal,
    AtMost,
    AtLeast,
}

impl Expectation {
    pub(crate) fn holds(&self, figure: f64) -> bool {
        match self.relation {
            Relation::Equal => (figure - self.limit).abs() < f64::EPSILON,
            Relation::AtMost => figure <= self.limit,
            Relation::AtLeast => figure >= self.limit,
        }
    }
}

impl fmt::Display for Expectation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.relation {
            Relation::Equal => "",
            Relation::AtMost => "<= ",
            Relation::AtLeast => ">= ",
        };
        write!(f, "{} {sign}{}", self.name, self.limit)
    }
}
