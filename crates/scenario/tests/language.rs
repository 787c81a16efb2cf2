//! Reads wrong lines.

use usher_scenario::Scenario;

/// Guards against a wrong line that is skipped or named without its file, line and number.
#[test]
fn wrong_lines_have_numbered_errors() {
    let cases = [
        ("dance", "a.txt:2: MU-9001: unknown statement \"dance\""),
        (
            "seed many",
            "a.txt:2: MU-9002: \"many\" is no number in range",
        ),
        ("loss 200%", "a.txt:2: MU-9002: \"200%\" is no percentage"),
        (
            "at 1s open 3 flows desk",
            "a.txt:2: MU-9003: unknown service desk",
        ),
        ("expect luck 7", "a.txt:2: MU-9004: unknown figure \"luck\""),
    ];
    for (line, expected) in cases {
        let error = Scenario::parse("a.txt", &format!("# comment\n{line}\n")).unwrap_err();
        assert_eq!(error.to_string(), expected);
    }
}
