//! The process's monotonic clock.

use std::time::Duration;
use std::time::Instant as StdInstant;

use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

/// Measures the time since it was started, when the process starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: StdInstant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: StdInstant::now(),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        let micros = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        Instant::from_micros(micros)
    }
}

/// Converts `span` into a duration of the standard library.
pub(crate) fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_micros())
}

/// Wall-clock milliseconds since 1970, for logs and incarnations only.
pub(crate) fn wall_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
