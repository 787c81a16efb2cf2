//! The limit on the log lines of each event.

use std::sync::Mutex;
use std::thread;
use std::time::Duration;

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

/// Guards against a log that grows with the load, and lines left out silently.
#[test]
fn lines_beyond_the_limit_are_counted_and_reported() {
    log::set_logger(&MemoryLog).unwrap();
    log::set_max_level(LevelFilter::Info);
    usher_events::limit_per_second(10);
    let event = Event {
        code: 4_000,
        level: Level::Info,
        text: "flow placed",
    };
    for _ in 0..1_000 {
        event.log(&[]);
    }
    thread::sleep(Duration::from_millis(1_100));
    event.log(&[]);
    let lines = LINES.lock().unwrap();
    // A second may begin during the loop, which admits 10 more lines.
    assert!((11..=21).contains(&lines.len()), "{}", lines.len());
    let omitted: u64 = lines
        .iter()
        .filter_map(|line| line.rsplit_once("omitted=")?.1.parse::<u64>().ok())
        .sum();
    assert_eq!(omitted + lines.len() as u64, 1_001);
    assert_eq!(usher_events::occurrences(4_000), 1_001);
}
