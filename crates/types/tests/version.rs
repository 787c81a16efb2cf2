//! The order and the text of versions over the eras of the store.

use assert_matches::assert_matches;
use usher_types::{Era, Version};

fn version(era: u64, number: u64) -> Version {
    Version::new(number).in_era(Era::new(era))
}

/// Guards against a number of an earlier era that counts as newer because it is larger.
#[test]
fn a_later_era_comes_before_a_larger_number() {
    let ordered = [
        Version::default(),
        version(0, 9),
        version(0, 11),
        version(1, 9),
        version(1, 10),
        version(2, 1),
    ];
    assert!(ordered.is_sorted());
    assert_eq!(version(1, 9).next(), version(1, 10));
}

/// Guards against a text from which another version is read.
#[test]
fn the_text_of_a_version_is_read_back() {
    for (text, expected) in [
        ("0", Version::default()),
        ("17", version(0, 17)),
        ("2.17", version(2, 17)),
    ] {
        assert_eq!(text.parse(), Ok(expected));
        assert_eq!(expected.to_string(), text);
    }
    for text in ["", ".", "2.", ".17", "2.1.7", "-1", "2,17", "two"] {
        assert_matches!(text.parse::<Version>(), Err(_), "{text}");
    }
}

/// Guards against a version that is lost in a message, or a file of a user that is refused.
#[test]
fn a_version_is_kept_in_json_and_in_binary_messages() {
    for (value, json) in [(version(0, 17), "17"), (version(2, 17), "\"2.17\"")] {
        assert_eq!(serde_json::to_string(&value).unwrap(), json);
        assert_eq!(serde_json::from_str::<Version>(json).unwrap(), value);
        let bytes = postcard::to_stdvec(&value).unwrap();
        assert_eq!(postcard::from_bytes::<Version>(&bytes).unwrap(), value);
    }
    for json in ["null", "-1", "\"two\"", "[2,17]", "1.5"] {
        assert_matches!(serde_json::from_str::<Version>(json), Err(_), "{json}");
    }
}
