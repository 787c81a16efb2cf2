use std::sync::{Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(50);
// A fifth of a request's deadline. Under 12 busy processes on 6 processors no thread waited 0.6 s.
const SHORTEST: Duration = Duration::from_secs(1);

/// Times at which the whole machine stood still, seen by a thread that wakes every 50 ms.
///
/// Deadlines pass during such a time although no process could act; what becomes of a request then
/// tells nothing about the processes.
#[derive(Debug)]
struct Stalls {
    awake: Instant,
    last_end: Option<Instant>,
}

static STALLS: OnceLock<Mutex<Stalls>> = OnceLock::new();

/// Starts to watch; later calls do nothing.
pub fn watch() {
    STALLS.get_or_init(|| {
        thread::spawn(|| {
            loop {
                thread::sleep(TICK);
                observe();
            }
        });
        Mutex::new(Stalls {
            awake: Instant::now(),
            last_end: None,
        })
    });
}

/// Whether the machine stood still for a second or more after a moment.
pub fn any_since(moment: Instant) -> bool {
    observe().is_some_and(|end| end > moment)
}

// Notes that the machine runs; returns the end of the last stall.
fn observe() -> Option<Instant> {
    let mut stalls = STALLS.get()?.lock().unwrap();
    let now = Instant::now();
    let gap = now - stalls.awake;
    stalls.awake = now;
    if gap >= SHORTEST {
        println!("the machine stood still for {gap:?}");
        stalls.last_end = Some(now);
    }
    stalls.last_end
}
