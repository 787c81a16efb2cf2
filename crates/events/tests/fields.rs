//! The fields of a log line.

use std::sync::Mutex;

use log::{Level, LevelFilter, Log, Metadata, Record};
use usher_events::Event;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct MemoryLog;

impl Log for MemoryLog {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Guards against a name of another writer that begins a log line of its own.
#[test]
fn a_line_break_in_a_field_begins_no_line() {
    log::set_logger(&MemoryLog).unwrap();
    log::set_max_level(LevelFilter::Info);
    let event = Event {
        code: 4_001,
        level: Level::Info,
        text: "entry ignored",
    };
    for name in ["a\nevent=MU-E1", "a\revent", "a\u{1b}[2J", "a\u{85}b"] {
        event.log(&[("name", &name)]);
    }
    let lines = LINES.lock().unwrap();
    assert_eq!(lines.len(), 4);
    for line in lines.iter() {
        assert!(!line.contains(char::is_control), "{line:?}");
    }
}
