use std::fs;
use std::hint::black_box;
use std::io;

use rustix::time::{ClockId, clock_gettime};

const NANOS: f64 = 1e9;
// Medians of several batches are little affected by other load on the machine.
const BATCHES: usize = 5;

/// Processor time of this thread in nanoseconds.
fn processor_nanos() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * NANOS + time.tv_nsec as f64
}

/// Runs `body` once and returns its result and processor time in nanoseconds.
pub(crate) fn once<T>(body: impl FnOnce() -> T) -> (T, f64) {
    let start = processor_nanos();
    let result = body();
    (result, processor_nanos() - start)
}

/// Processor time of one call in nanoseconds: the median over batches of `count` calls.
pub(crate) fn each<T>(count: usize, mut body: impl FnMut(usize) -> T) -> f64 {
    let mut batches = [0.0; BATCHES];
    for (batch, nanos) in batches.iter_mut().enumerate() {
        let ((), spent) = once(|| {
            for number in 0..count {
                black_box(body(batch * count + number));
            }
        });
        *nanos = spent / count as f64;
    }
    batches.sort_by(f64::total_cmp);
    batches[BATCHES / 2]
}

/// Resident memory of this process in bytes.
fn resident() -> io::Result<f64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let kib = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kib.map(|kib| kib * 1024.0)
        .ok_or_else(|| io::Error::other("/proc/self/status has no VmRSS"))
}

/// Runs `body` and returns its result and the growth of resident memory in bytes.
pub(crate) fn grown<T>(body: impl FnOnce() -> T) -> io::Result<(T, f64)> {
    let before = resident()?;
    let result = body();
    let after = resident()?;
    Ok((result, after - before))
}
