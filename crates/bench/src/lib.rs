//! Measures the decision crates against small host models in virtual time.
