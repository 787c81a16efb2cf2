//! Checks the errors of malformed scenario lines.

use usher_scenario::Scenario;

/// Guards against a malformed line that is skipped or reported without error number, file and line.
#[test]
fn wrong_lines_have_numbered_errors() {
    let cases = [
        ("dance", "MU-9001: a.txt:2: unknown statement \"dance\""),
        (
            "seed many",
            "MU-9002: a.txt:2: \"many\" is no number in range",
        ),
        ("loss 200%", "MU-9002: a.txt:2: \"200%\" is no percentage"),
        (
            "at 1s open 3 flows desk",
            "MU-9003: a.txt:2: unknown service desk",
        ),
        ("expect luck 7", "MU-9004: a.txt:2: unknown figure \"luck\""),
    ];
    for (line, expected) in cases {
        let error = Scenario::parse("a.txt", &format!("# comment\n{line}\n")).unwrap_err();
        assert_eq!(error.to_string(), expected);
    }
}
