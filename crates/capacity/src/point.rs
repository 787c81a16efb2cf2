use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Figures measured at one size of a sweep.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Name of the sweep.
    pub sweep: String,
    /// Size of the point.
    pub size: usize,
    /// Measured values by name; a name that has a unit ends in it.
    pub figures: IndexMap<String, f64>,
}

impl Point {
    /// Adds a figure.
    pub(crate) fn set(&mut self, name: &str, value: f64) {
        self.figures.insert(name.to_owned(), value);
    }
}
