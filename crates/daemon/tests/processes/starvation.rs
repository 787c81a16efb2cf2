use std::sync::{Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

const WAKE_INTERVAL: Duration = Duration::from_millis(50);
// A request passes about 20 threads; with this delay in each, it exceeds `load::MAX_LATENCY`.
const MIN_DELAY: Duration = Duration::from_millis(250);

/// Detects processor starvation by late wake-ups of a thread that wakes every 50 ms.
#[derive(Debug)]
struct Monitor {
    last_wake: Instant,
    delay_end: Option<Instant>,
}

static MONITOR: OnceLock<Mutex<Monitor>> = OnceLock::new();

/// Starts the thread; later calls do nothing.
pub fn watch() {
    MONITOR.get_or_init(|| {
        thread::spawn(|| {
            loop {
                thread::sleep(WAKE_INTERVAL);
                observe();
            }
        });
        Mutex::new(Monitor {
            last_wake: Instant::now(),
            delay_end: None,
        })
    });
}

/// Whether the machine was starved of processor time, or suspended, after a moment.
pub fn any_since(moment: Instant) -> bool {
    observe().is_some_and(|delay_end| delay_end > moment)
}

// Records that a thread runs now; returns the end of the last delay.
fn observe() -> Option<Instant> {
    let mut monitor = MONITOR.get()?.lock().unwrap();
    let now = Instant::now();
    if now - monitor.last_wake >= WAKE_INTERVAL + MIN_DELAY {
        monitor.delay_end = Some(now);
    }
    monitor.last_wake = now;
    monitor.delay_end
}
