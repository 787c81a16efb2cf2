use std::fs;
use std::hint::black_box;
use std::io;

use rustix::time::{ClockId, clock_gettime};

const NANOS_PER_SECOND: f64 = 1e9;
// Other load on the machine has little effect on the median of several batches.
const BATCHES: usize = 5;

/// Processor time that this thread has used, in nanoseconds.
fn processor_nanos() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * NANOS_PER_SECOND + time.tv_nsec as f64
}

/// Runs `body` once and returns its result and its processor time in nanoseconds.
pub(crate) fn time_once<T>(body: impl FnOnce() -> T) -> (T, f64) {
    let start = processor_nanos();
    let result = body();
    (result, processor_nanos() - start)
}

/// Measures the processor time of one call in nanoseconds.
///
/// It is the median over batches of `count` calls; each call gets a number of its own.
pub(crate) fn time_each<T>(count: usize, mut body: impl FnMut(usize) -> T) -> f64 {
    let mut batches = [0.0; BATCHES];
    for (batch, nanos) in batches.iter_mut().enumerate() {
        let ((), spent) = time_once(|| {
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
fn resident_bytes() -> io::Result<f64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let kib = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kib.map(|kib| kib * 1024.0)
        .ok_or_else(|| io::Error::other("/proc/self/status has no VmRSS"))
}

/// Runs `body` and returns its result and the growth of resident memory in bytes.
pub(crate) fn memory_growth<T>(body: impl FnOnce() -> T) -> io::Result<(T, f64)> {
    let before = resident_bytes()?;
    let result = body();
    let after = resident_bytes()?;
    Ok((result, after - before))
}
