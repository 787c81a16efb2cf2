use std::fs;
use std::path::PathBuf;
use std::process::Command;

use serde::Deserialize;

const ROWS: &str = include_str!("data/settings.json");
const EXIT_USAGE: i32 = 2;

#[derive(Deserialize)]
struct Row {
    name: String,
    lines: Vec<String>,
    // Parts of the report: error number, section, key, value and allowed values, if they apply.
    expected: Vec<String>,
}

// Guards against wrong settings that are accepted, or reported without their place in the file.
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
            Some(EXIT_USAGE),
            "{}: {text}",
            row.name
        );
        // The report is wrapped to the width of a terminal, also within words.
        let plain = unwrapped(&text);
        let file = file.display().to_string();
        for part in row.expected.iter().chain([&file]) {
            assert!(
                plain.contains(&unwrapped(part)),
                "{} lacks '{part}': {text}",
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
