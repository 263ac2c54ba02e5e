//! JSON-line logs on standard output.
//!
//! Logging never blocks on a slow reader: lines go into a bounded buffer that a dedicated thread
//! writes out in batches. What exceeds the buffer or the rate is dropped and counted in a later line.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::Layout;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::record::Level;
use logforth::record::Record;

/// Limit on lines a second below the level of a warning. Two lines a request at 150 requests a second, and as
/// many again for changes, stay below it.
const LINES_PER_S: u64 = 600;
/// Limit on the bytes that wait for a slow reader.
const BUFFER_BYTES: usize = 1 << 20;
/// Time in which lines are collected for one write.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the last lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts the logger; `RUST_LOG` sets the level, `info` without it.
pub fn init() {
    let sink = Sink::start();
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            let filter = RustLogFilterBuilder::from_default_env_or("info").build();
            dispatch.filter(filter).append(sink)
        })
        .apply();
}

/// The message of an error, followed by those of its causes.
pub(crate) fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Lines that wait for the writer.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Whether the writer has taken bytes that it has not written.
    writing: bool,
    /// Lines dropped since the last write.
    dropped: u64,
    /// Start of the second in which `lines` are counted.
    second: Option<Instant>,
    lines: u64,
}

impl Buffer {
    /// Whether a line of `level` is within the rate.
    fn admits(&mut self, now: Instant, level: Level) -> bool {
        let over = |second: Instant| now.duration_since(second) >= Duration::from_secs(1);
        if self.second.is_none_or(over) {
            self.second = Some(now);
            self.lines = 0;
        }
        self.lines += 1;
        level >= Level::Warn || self.lines <= LINES_PER_S
    }
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    filled: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Appends records to the buffer without waiting for the writer.
#[derive(Debug)]
struct Sink {
    shared: Arc<Shared>,
    layout: JsonLayout,
}

impl Sink {
    fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let own = Arc::clone(&shared);
        let spawned = std::thread::Builder::new()
            .name("logs".into())
            .spawn(move || write(&own));
        if let Err(error) = spawned {
            eprintln!("logs are not written: their thread could not be started: {error}");
        }
        Self {
            shared,
            layout: JsonLayout::default(),
        }
    }
}

impl Append for Sink {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if !self.shared.lock().admits(Instant::now(), record.level()) {
            self.shared.lock().dropped += 1;
            return Ok(());
        }
        let line = self.layout.format(record, diagnostics)?;
        let mut buffer = self.shared.lock();
        if buffer.bytes.len() + line.len() > BUFFER_BYTES {
            buffer.dropped += 1;
            return Ok(());
        }
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(&line);
        buffer.bytes.push(b'\n');
        if was_empty {
            self.shared.filled.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let end = Instant::now() + FLUSH_TIMEOUT;
        while Instant::now() < end {
            let buffer = self.shared.lock();
            if buffer.bytes.is_empty() && !buffer.writing {
                break;
            }
            drop(buffer);
            std::thread::sleep(BATCH_INTERVAL / 10);
        }
        Ok(())
    }
}

/// Writes out buffered lines until the process ends.
fn write(shared: &Shared) {
    let mut out = io::stdout();
    loop {
        let mut buffer = shared.lock();
        while buffer.bytes.is_empty() {
            buffer = shared
                .filled
                .wait(buffer)
                .unwrap_or_else(PoisonError::into_inner);
        }
        drop(buffer);
        std::thread::sleep(BATCH_INTERVAL);
        let (bytes, dropped) = {
            let mut buffer = shared.lock();
            buffer.writing = true;
            let dropped = std::mem::take(&mut buffer.dropped);
            (std::mem::take(&mut buffer.bytes), dropped)
        };
        // A failure to write to standard output can't be reported anywhere.
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
        shared.lock().writing = false;
        if dropped > 0 {
            log::warn!(dropped; "log lines were dropped");
        }
    }
}
