//! Decisions about a store that comes back from a copy.

use usher_forwarding::{ActiveConfiguration, Configuration, ConfigurationVersion, Fleet, Hello};
use usher_types::{Era, Label, Span, Time, Version};

fn version(text: &str) -> ConfigurationVersion {
    text.parse().unwrap()
}

fn offer(active: &mut ActiveConfiguration, offered: &str) -> bool {
    active.adopt(Configuration {
        version: version(offered),
        ..Configuration::default()
    })
}

/// Guards against an older document that a restored store brings back into force, and against a
/// newer one that is refused because its revision is smaller or the same.
#[test]
fn the_operators_number_orders_documents_over_eras() {
    let cases = [
        ("a revision given out again", "12@1.11", "15@2.11", true),
        ("a smaller revision", "12@1.11", "15@2.3", true),
        ("the copy", "12@1.11", "9@2.10", false),
        ("written again", "12@1.11", "12@2.10", true),
        ("a late answer", "12@2.10", "12@1.11", false),
        (
            "a newer document of a late answer",
            "12@2.10",
            "15@1.11",
            true,
        ),
        ("the same", "12@2.10", "12@2.10", false),
        ("the first", "0@0", "0@1", true),
        ("without eras", "7@17", "7@18", true),
        ("a larger revision", "8@17", "7@18", false),
    ];
    for (name, active, offered, adopted) in cases {
        let mut configuration = ActiveConfiguration::default();
        offer(&mut configuration, active);
        assert_eq!(offer(&mut configuration, offered), adopted, "{name}");
        let newest = if adopted { offered } else { active };
        assert_eq!(configuration.version(), version(newest), "{name}");
    }
}

/// Guards against a result that depends on the order in which store and balancers answer.
#[test]
fn all_orders_of_offers_end_in_the_same_configuration() {
    let offers = ["9@1.10", "12@1.11", "9@2.10", "12@2.11", "15@2.12"];
    for first in 0..offers.len() {
        for step in 1..offers.len() {
            let mut active = ActiveConfiguration::default();
            for index in 0..offers.len() {
                offer(&mut active, offers[(first + index * step) % offers.len()]);
            }
            assert_eq!(active.version(), version("15@2.12"), "{first} {step}");
        }
    }
}

/// Guards against a balancer with the lost document that counts as older than one with the copy.
#[test]
fn a_balancer_with_the_lost_document_is_the_newest() {
    let mut fleet = Fleet::default();
    let now = Time::ZERO + Span::from_secs(1);
    for (node, text) in [("10.1.0.1", "9@2.10"), ("10.1.0.2", "12@1.11")] {
        let hello = Hello {
            epoch: 1,
            version: version(text),
            leaving: false,
            centre: "kolkata".parse().unwrap(),
            capacity: "0.055".parse().unwrap(),
            balancers: Vec::new(),
            agents: Vec::new(),
            ask: true,
        };
        fleet.on_hello(now, node.parse().unwrap(), &hello);
    }
    let newest = Some(("10.1.0.2".parse().unwrap(), version("12@1.11")));
    assert_eq!(fleet.newest_peer(now, version("9@2.10")), newest);
    assert_eq!(fleet.newest_peer(now, version("15@2.11")), None);
}

/// Guards against a text of a version from which another one is read.
#[test]
fn the_text_of_a_version_is_read_back() {
    let expected = ConfigurationVersion {
        label: Label::new(12),
        stored: Version::new(11).in_era(Era::new(2)),
    };
    assert_eq!(version("12@2.11"), expected);
    assert_eq!(expected.to_string(), "12@2.11");
    for text in ["", "12", "@", "12@", "@11", "12@11@1", "12@2.", "a@1"] {
        assert!(text.parse::<ConfigurationVersion>().is_err(), "{text}");
    }
}
