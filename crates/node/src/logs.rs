use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime};

use fern::Dispatch;
use log::{Log, Metadata, Record};

use crate::{NodeError, Settings, event};

// Lines queued for writing, about 1 MB. Further lines are dropped and counted.
const QUEUE_LINES: usize = 4_096;
// Lines are collected into one batch for this long, so that a busy node makes few system calls.
const BATCH_TIME: Duration = Duration::from_millis(50);
// A pipe takes a write of this size whole, so lines of several nodes do not mix.
const WRITE_BYTES: usize = 4_096;
// Longest wait for the writer when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

// Most lines of one event per second. A balancer places 50 flows per second, and several hundred
// after an outage.
const LINES_PER_SECOND: u32 = 500;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// The running log; a separate thread writes its lines.
#[derive(Debug)]
pub(crate) struct Logs {
    lines: SyncSender<Line>,
    done: Receiver<()>,
}

#[derive(Debug)]
enum Line {
    Text(String),
    End,
}

/// Starts the log on standard output: one line of `key=value` pairs for each event.
pub(crate) fn start(settings: &Settings) -> Result<Logs, NodeError> {
    let failed = |cause: String| NodeError::Start {
        what: "the log",
        cause,
    };
    let (lines, queue) = sync_channel(QUEUE_LINES);
    let (finished, done) = sync_channel(1);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            write_lines(&queue);
            // `finish` may have stopped waiting.
            let _ended = finished.send(());
        })
        .map_err(|cause| failed(cause.to_string()))?;
    usher_events::limit_per_second(LINES_PER_SECOND);
    let (name, centre) = (settings.name.clone(), settings.centre.clone());
    let sink: Box<dyn Log> = Box::new(Sink {
        lines: lines.clone(),
    });
    Dispatch::new()
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let level = record.level().as_str().to_lowercase();
            out.finish(format_args!(
                "time={time} level={level} process={name} centre={centre} {message}"
            ));
        })
        .level(settings.level)
        .chain(sink)
        .apply()
        .map_err(|cause| failed(cause.to_string()))?;
    Ok(Logs { lines, done })
}

impl Logs {
    /// Writes the queued lines and ends the writer.
    pub(crate) fn finish(self) {
        if self.lines.try_send(Line::End).is_ok() {
            // A blocked writer must not keep the process from exiting.
            let _finished = self.done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Puts lines into the queue without waiting.
#[derive(Debug)]
struct Sink {
    lines: SyncSender<Line>,
}

impl Log for Sink {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = Line::Text(record.args().to_string());
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

fn write_lines(queue: &Receiver<Line>) {
    let mut out = io::stdout();
    let mut text = String::new();
    while let Ok(Line::Text(line)) = queue.recv() {
        add(&mut out, &mut text, &line);
        thread::sleep(BATCH_TIME);
        let ended = collect(queue, &mut out, &mut text);
        flush(&mut out, &mut text);
        if ended {
            return;
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            event::LINES_DROPPED.log(&[("lines", &dropped)]);
        }
    }
}

// Appends all queued lines; `true` if the log ends.
fn collect(queue: &Receiver<Line>, out: &mut impl Write, text: &mut String) -> bool {
    loop {
        match queue.recv_timeout(Duration::ZERO) {
            Ok(Line::Text(line)) => add(out, text, &line),
            Ok(Line::End) => return true,
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return false,
        }
    }
}

fn add(out: &mut impl Write, text: &mut String, line: &str) {
    if text.len() + line.len() >= WRITE_BYTES {
        flush(out, text);
    }
    text.push_str(line);
    text.push('\n');
}

fn flush(out: &mut impl Write, text: &mut String) {
    // A failure to write the log cannot be logged.
    let _written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    text.clear();
}
