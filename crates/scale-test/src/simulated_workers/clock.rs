//! The clock that all processes of a run share: milliseconds since the run's begin.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Counts from the run's begin; monotonic within a process, aligned between processes by the time of day.
pub(crate) struct RunClock {
    start: Instant,
    offset_ms: u64,
}

impl RunClock {
    /// A clock whose zero is `epoch_ms`, in milliseconds since 1970.
    pub(crate) fn new(epoch_ms: u64) -> RunClock {
        RunClock { start: Instant::now(), offset_ms: unix_ms().saturating_sub(epoch_ms) }
    }

    /// Milliseconds since the run's begin.
    pub(crate) fn now(&self) -> u64 {
        self.offset_ms + self.start.elapsed().as_millis() as u64
    }
}

/// The time of day, in milliseconds since 1970.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
