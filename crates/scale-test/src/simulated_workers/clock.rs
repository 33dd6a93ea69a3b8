//! The clock of a run: milliseconds since the start of the run, the same in all its processes.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Counts from the start of the run. It is monotonic within a process; the processes are aligned by the
/// system clock.
pub(crate) struct RunClock {
    start: Instant,
    offset_ms: u64,
}

impl RunClock {
    /// Creates a clock that counts from `epoch_ms`, given in Unix time in milliseconds.
    pub(crate) fn new(epoch_ms: u64) -> RunClock {
        RunClock { start: Instant::now(), offset_ms: unix_ms().saturating_sub(epoch_ms) }
    }

    /// Returns the milliseconds since the start of the run.
    pub(crate) fn now(&self) -> u64 {
        self.offset_ms + self.start.elapsed().as_millis() as u64
    }
}

/// Returns the Unix time in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
