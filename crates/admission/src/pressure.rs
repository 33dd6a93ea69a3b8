//! Measures how far a controller lags behind its events, which determines how much work it defers.
//!
//! The measure is the time that events wait in the queue, not the length of the queue, as in CoDel: a queue that
//! drains from time to time is not overloaded, however long it becomes in between. The minimum wait within an interval
//! therefore determines the level.

/// How much work is deferred. Each level includes the restrictions of the lower ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum PressureLevel {
    /// Nothing is deferred.
    #[default]
    Calm,
    /// Periodic planning runs less often, and commands that are not urgent wait for the next heartbeat response
    /// instead of being sent directly.
    Busy,
    /// Planning for provisioning runs even less often.
    Overloaded,
}

/// An interval whose minimum wait is longer than this indicates the level `Busy`.
const BUSY_ABOVE_MS: u64 = 100;
/// An interval whose minimum wait is longer than this indicates the level `Overloaded`.
const OVERLOADED_ABOVE_MS: u64 = 1_000;
/// Length of the interval over which the minimum wait is taken.
const INTERVAL_MS: u64 = 1_000;
/// Number of consecutive intervals that must indicate a lower level before the level drops by one.
const LOWER_INTERVALS_TO_DROP: u32 = 3;

impl PressureLevel {
    fn from_min_wait_ms(min_wait_ms: u64) -> PressureLevel {
        if min_wait_ms > OVERLOADED_ABOVE_MS {
            PressureLevel::Overloaded
        } else if min_wait_ms > BUSY_ABOVE_MS {
            PressureLevel::Busy
        } else {
            PressureLevel::Calm
        }
    }

    fn next_lower(self) -> PressureLevel {
        match self {
            PressureLevel::Overloaded => PressureLevel::Busy,
            PressureLevel::Busy | PressureLevel::Calm => PressureLevel::Calm,
        }
    }
}

/// Tracks the pressure level of one controller. The caller must record the wait of every event and, while no events are
/// waiting, a wait of zero from time to time.
#[derive(Debug, Default)]
pub struct Pressure {
    level: PressureLevel,
    interval_started_ms: u64,
    /// Minimum wait in the current interval; `None` before the first wait.
    min_wait_ms: Option<u64>,
    /// Number of consecutive intervals that indicated a level below the current one.
    lower_intervals: u32,
    /// Number of times the level rose, for operators.
    pub level_increases: u64,
}

impl Pressure {
    /// Returns the current level.
    pub fn level(&self) -> PressureLevel {
        self.level
    }

    /// Records that an event is processed at `now` after waiting for `wait_ms`, both in milliseconds. Returns whether
    /// the level changed.
    pub fn record_wait(&mut self, now: u64, wait_ms: u64) -> bool {
        self.min_wait_ms = Some(self.min_wait_ms.map_or(wait_ms, |min_ms| min_ms.min(wait_ms)));
        if now.saturating_sub(self.interval_started_ms) < INTERVAL_MS {
            return false;
        }
        let min_wait_ms = self.min_wait_ms.take().unwrap_or(0);
        self.interval_started_ms = now;
        self.update_level(PressureLevel::from_min_wait_ms(min_wait_ms))
    }

    fn update_level(&mut self, observed: PressureLevel) -> bool {
        if observed > self.level {
            self.level = observed;
            self.lower_intervals = 0;
            self.level_increases += 1;
            return true;
        }
        self.lower_intervals = if observed < self.level { self.lower_intervals + 1 } else { 0 };
        if self.lower_intervals < LOWER_INTERVALS_TO_DROP {
            return false;
        }
        self.lower_intervals = 0;
        self.level = self.level.next_lower();
        true
    }
}

#[cfg(test)]
#[path = "tests/pressure.rs"]
mod tests;
