//! Exit statuses of `marigoldusherd`.

use std::path::Path;
use std::process::Command;

// Arguments, exit status, and text that the output must contain.
const ROWS: [(&[&str], i32, &str); 5] = [
    (&["--help"], 0, "Examples"),
    (&[], 2, "--settings"),
    (&["--settings", "missing.ini"], 2, "MU-7001"),
    (&["--settings", "examples/riga.json"], 2, "MU-7"),
    (&["--settings", "examples/agent.ini", "--check"], 0, "valid"),
];

/// Guards against a supervisor that restarts a process with wrong settings endlessly.
#[test]
fn exit_status_distinguishes_wrong_settings() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for (args, status, expected) in ROWS {
        let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldusherd"));
        let output = command.args(args).current_dir(&root).output().unwrap();
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8(text).unwrap();
        assert_eq!(output.status.code(), Some(status), "{args:?}: {text}");
        assert!(text.contains(expected), "{args:?}: {text}");
    }
}
