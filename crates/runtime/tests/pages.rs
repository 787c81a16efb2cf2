//! Checks that the pages under `docs` list the errors, events and metrics of the code.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use log::Level;
use usher_node::NODE_METRICS;
use usher_runtime::{Event, METRICS};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).unwrap()
}

// The cells of each table row of a page, without the heading rows.
fn rows(page: &str) -> Vec<Vec<String>> {
    let lines = page.lines().filter(|line| line.starts_with("| "));
    let cells = lines.map(|line| line.trim_matches(['|', ' ']).split(" | "));
    let rows = cells.map(|cells| cells.map(str::to_owned).collect::<Vec<_>>());
    let is_heading = |row: &Vec<String>| row[0] == "number" || row[0] == "role";
    rows.filter(|row| !is_heading(row)).collect()
}

fn sources(folder: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(fs::read_to_string(path).unwrap());
        }
    }
}

// Events of both front ends, in the order of their numbers.
fn events() -> impl Iterator<Item = &'static Event> {
    usher_runtime::EVENTS.iter().chain(usher_node::EVENTS)
}

// Texts of all source files of the crates and of the platform adapter, without their tests.
fn code() -> Vec<String> {
    let mut found = Vec::new();
    sources(&root().join("platform/src"), &mut found);
    for package in fs::read_dir(root().join("crates")).unwrap() {
        sources(&package.unwrap().path().join("src"), &mut found);
    }
    found
}

// The number that a text begins with, after `MU-`.
fn number(text: &str) -> Option<&str> {
    let digits = text.strip_prefix("MU-")?.get(..4)?;
    digits
        .chars()
        .all(|digit| digit.is_ascii_digit())
        .then_some(digits)
}

// First line of a string literal, with `…` for each value.
fn text(literal: &str) -> String {
    let mut text = String::new();
    let mut letters = literal.chars().peekable();
    while let Some(letter) = letters.next() {
        match letter {
            '"' => break,
            '\\' if letters.peek() == Some(&'n') => break,
            '\\' if letters.peek() == Some(&'\n') => {
                while letters.next_if(|letter| letter.is_whitespace()).is_some() {}
            }
            '{' => {
                text.push('…');
                letters.find(|letter| *letter == '}');
            }
            _ => text.push(letter),
        }
    }
    text
}

// Errors in the code: number and text, each pair once.
fn errors() -> BTreeSet<(String, String)> {
    let mut errors = BTreeSet::new();
    for source in code() {
        for literal in source.split("\"MU-").skip(1) {
            let literal = format!("MU-{literal}");
            if let Some(number) = number(&literal)
                && let Some(rest) = literal.get(7..).and_then(|rest| rest.strip_prefix(": "))
            {
                errors.insert((number.to_owned(), text(rest)));
            }
        }
        for line in source.lines().map(str::trim) {
            // Refusals share one text and have a number each.
            if let Some(row) = line.strip_prefix("Self::")
                && let Some((name, code)) = row.split_once(" => 4")
            {
                let number = format!("4{}", code.trim_end_matches(','));
                errors.insert((number, format!("not run ({name})")));
            }
        }
    }
    errors
}

/// Guards against an error that the page misses, an entry without an error, and two texts that
/// share a number.
#[test]
fn errors_page_and_code_agree() {
    let errors = errors();
    let numbers: BTreeSet<&String> = errors.iter().map(|(number, _)| number).collect();
    assert_eq!(
        numbers.len(),
        errors.len(),
        "two meanings for one number: {errors:#?}"
    );
    let rows = rows(&page("errors.md"));
    let listed: BTreeSet<(String, String)> = rows
        .iter()
        .map(|row| (number(&row[0]).unwrap().to_owned(), row[1].clone()))
        .collect();
    assert_eq!(listed.len(), rows.len(), "a row is listed twice");
    let missing: Vec<_> = errors.difference(&listed).collect();
    let outdated: Vec<_> = listed.difference(&errors).collect();
    assert!(
        missing.is_empty() && outdated.is_empty(),
        "not on the page: {missing:#?}\nnot in the code: {outdated:#?}"
    );
    assert!(rows.iter().all(|row| row.len() == 4 && !row[3].is_empty()));
}

/// Guards against a comment or page that names an error or an event which does not exist.
#[test]
fn every_number_that_is_named_exists() {
    let known: BTreeSet<String> = errors().into_iter().map(|(number, _)| number).collect();
    let mut texts = code();
    for folder in ["docs", "docs/decisions"] {
        for entry in fs::read_dir(root().join(folder)).into_iter().flatten() {
            let path = entry.unwrap().path();
            if path.is_file() {
                texts.push(fs::read_to_string(path).unwrap());
            }
        }
    }
    texts.push(fs::read_to_string(root().join("README.md")).unwrap());
    for text in texts {
        for start in text.match_indices("MU-").map(|(start, _)| start) {
            let named = &text[start..];
            if let Some(number) = number(named) {
                assert!(
                    known.contains(number),
                    "MU-{number} is named and not defined"
                );
            }
            let event = named.strip_prefix("MU-E").and_then(|rest| rest.get(..4));
            if let Some(code) = event.and_then(|digits| digits.parse::<u16>().ok()) {
                let exists = events().any(|event| event.code == code);
                assert!(exists, "MU-E{code} is named and not defined");
            }
        }
    }
}

/// Guards against an event that the page misses, and two events that share a number or a text.
#[test]
fn events_page_and_code_agree() {
    let listed: Vec<Vec<String>> = rows(&page("events.md"));
    let expected: Vec<Vec<String>> = events()
        .map(|event| {
            let level = event.level.as_str().to_lowercase();
            vec![format!("MU-E{}", event.code), level, event.text.to_owned()]
        })
        .collect();
    let shown: Vec<Vec<String>> = listed.iter().map(|row| row[..3].to_vec()).collect();
    assert_eq!(shown, expected);
    assert!(
        listed
            .iter()
            .all(|row| row.len() == 5 && !row[4].is_empty())
    );
    let codes: BTreeSet<u16> = events().map(|event| event.code).collect();
    let texts: BTreeSet<&str> = events().map(|event| event.text).collect();
    assert_eq!((codes.len(), texts.len()), (listed.len(), listed.len()));
}

/// Guards against a metric that the page misses, or lists with another kind or unit.
#[test]
fn metrics_page_and_code_agree() {
    let listed: Vec<Vec<String>> = rows(&page("metrics.md"));
    let sent = METRICS.iter().map(|metric| {
        let kind = metric.kind.to_string();
        [metric.role, metric.name, &kind, metric.unit].map(str::to_owned)
    });
    let served = NODE_METRICS
        .iter()
        .map(|metric| ["node", metric.name, metric.kind, metric.unit].map(str::to_owned));
    let expected: Vec<Vec<String>> = sent.chain(served).map(Into::into).collect();
    let shown: Vec<Vec<String>> = listed.iter().map(|row| row[..4].to_vec()).collect();
    assert_eq!(shown, expected);
}

/// Guards against a counter of a decision crate that never reaches the metrics server.
#[test]
fn every_counter_is_a_metric() {
    let files = [
        ("flows", "crates/flows/src/counter.rs"),
        ("requests", "crates/admission/src/counter.rs"),
        ("dedupe", "crates/dedupe/src/action.rs"),
    ];
    let mut counters = BTreeMap::from([("agent.wrong_service".to_owned(), "agent")]);
    for (part, file) in files {
        let source = fs::read_to_string(root().join(file)).unwrap();
        let (_, body) = source.split_once("pub enum Counter {").unwrap();
        let (body, _) = body.split_once("\n}").unwrap();
        for line in body
            .lines()
            .map(str::trim)
            .filter(|line| line.ends_with(','))
        {
            let variant = line.trim_end_matches(',').char_indices();
            let letters = variant.flat_map(|(index, letter)| {
                let separator = (index > 0 && letter.is_uppercase()).then_some('_');
                separator.into_iter().chain(letter.to_lowercase())
            });
            counters.insert(format!("{part}.{}", letters.collect::<String>()), part);
        }
    }
    let listed = METRICS.iter().filter(|metric| metric.role == "agent");
    let listed: BTreeSet<&str> = listed.map(|metric| metric.name).collect();
    let dotted: BTreeSet<&str> = listed
        .into_iter()
        .filter(|name| name.contains('.'))
        .collect();
    assert_eq!(dotted, counters.keys().map(String::as_str).collect());
}

/// Guards against a warning without instructions for operators, and against an alarm that is listed
/// with an outdated text.
#[test]
fn operating_page_lists_every_alarm() {
    let page = page("OPERATIONS.md");
    for event in events().filter(|event| event.level <= Level::Warn) {
        let alarm = format!("| MU-E{} {} |", event.code, event.text);
        assert!(page.contains(&alarm), "{alarm}");
    }
}
