use std::ops::RangeInclusive;

use usher_types::{Profile, Span};

use crate::{ConfigError, ObjectName};

const BUCKETS: RangeInclusive<u32> = 16..=65_536;
// Records of non-repeatable requests are kept for 10 minutes; a longer deadline would outlive them.
const MAX_DEADLINE: Span = Span::from_secs(600);
const ATTEMPTS: RangeInclusive<u8> = 1..=16;
const MAX_METHODS: usize = 256;
const MAX_METHOD_BYTES: usize = 128;

/// Lists every field of a profile that is out of range.
pub(crate) fn check_profile(name: &ObjectName, profile: &Profile) -> Vec<ConfigError> {
    let mut faults = Vec::new();
    let mut require = |valid: bool, field: &str, found: String, expected: &'static str| {
        if !valid {
            faults.push(ConfigError::Field {
                profile: name.to_string(),
                field: field.to_owned(),
                found,
                expected,
            });
        }
    };
    let buckets = profile.buckets.get();
    require(
        BUCKETS.contains(&buckets) && buckets.is_power_of_two(),
        "buckets",
        buckets.to_string(),
        "a power of two from 16 to 65536",
    );
    let times = [
        ("hunt", profile.hunt),
        ("short_bound", profile.short_bound),
        ("deadline", profile.deadline),
    ];
    for (field, span) in times {
        let valid = span > Span::ZERO && span <= MAX_DEADLINE;
        require(
            valid,
            field,
            span.to_string(),
            "more than 0s and at most 600s",
        );
    }
    let attempts = profile.attempts.get();
    require(
        ATTEMPTS.contains(&attempts),
        "attempts",
        attempts.to_string(),
        "1 to 16",
    );
    // An objective of 1 leaves no error budget, so its burn rate is undefined.
    let objective = profile.objective.get();
    require(
        objective > 0.0 && objective < 1.0,
        "objective",
        objective.to_string(),
        "more than 0 and less than 1",
    );
    let methods = profile.methods.len();
    require(
        methods <= MAX_METHODS,
        "methods",
        methods.to_string(),
        "at most 256 methods",
    );
    for method in profile.methods.keys() {
        let valid = !method.is_empty() && method.len() <= MAX_METHOD_BYTES;
        require(
            valid,
            "methods",
            format!("'{method}'"),
            "names of 1 to 128 bytes",
        );
    }
    faults
}
