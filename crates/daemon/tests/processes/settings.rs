use std::fs;
use std::path::PathBuf;
use std::process::Command;

use serde::Deserialize;

const ROWS: &str = include_str!("data/settings.json");
const SETTINGS_FAULT: i32 = 2;

#[derive(Deserialize)]
struct Row {
    name: String,
    lines: Vec<String>,
    // Number, section, key, value and what is allowed, as far as the fault has them.
    shows: Vec<String>,
}

// Guards against a fault in the settings that is accepted, or reported without its place.
#[test]
fn faults_in_settings_are_named() {
    let rows: Vec<Row> = serde_json::from_str(ROWS).unwrap();
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("settings");
    fs::create_dir_all(&folder).unwrap();
    let file = folder.join("faulty.ini");
    for row in rows {
        fs::write(&file, row.lines.join("\n")).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldusherd"));
        let output = command
            .args(["--check", "--settings"])
            .arg(&file)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(
            output.status.code(),
            Some(SETTINGS_FAULT),
            "{}: {text}",
            row.name
        );
        // The report wraps lines, also within words, to the width of a terminal.
        let plain = unwrapped(&text);
        let file = file.display().to_string();
        for shown in row.shows.iter().chain([&file]) {
            assert!(
                plain.contains(&unwrapped(shown)),
                "{} lacks '{shown}': {text}",
                row.name
            );
        }
    }
}

fn unwrapped(text: &str) -> String {
    let lines = text
        .lines()
        .map(|line| line.trim_start_matches([' ', '│', '×', '╰', '─', '▶']));
    lines.collect::<String>().split_whitespace().collect()
}
