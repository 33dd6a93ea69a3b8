//! How far a controller is behind its events, and what it leaves undone therefore.
//!
//! What counts is how long events waited before they were looked at, not how many wait (the idea of CoDel): a queue that
//! empties now and then is no overload, however long it was. So the least wait within an interval decides.

/// How much is left undone; each level includes those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum PressureLevel {
    #[default]
    Calm,
    /// Planning is done less often, and commands that can wait go with the answers to reports.
    Busy,
    /// Planning is done hardly at all.
    Overloaded,
}

/// Longest waits, in milliseconds, that are no reason for a level.
const BUSY_ABOVE_MS: u64 = 100;
const OVERLOADED_ABOVE_MS: u64 = 1_000;
/// The least wait is taken over this.
const INTERVAL_MS: u64 = 1_000;
/// A level is left after so many intervals in a row that would not have led to it.
const LOWER_INTERVALS_TO_DROP: u32 = 3;

/// The level of one controller. Feed it every wait, and now and then a wait of nothing while nothing waits.
#[derive(Debug, Default)]
pub struct Pressure {
    level: PressureLevel,
    interval_started_ms: u64,
    min_wait_ms: Option<u64>,
    lower_intervals: u32,
    /// Times that it rose, for operators.
    pub level_increases: u64,
}

impl Pressure {
    pub fn level(&self) -> PressureLevel {
        self.level
    }

    /// An event is looked at that waited so long, both in milliseconds. True if the level changed.
    pub fn record_wait(&mut self, now: u64, wait_ms: u64) -> bool {
        self.min_wait_ms = Some(self.min_wait_ms.map_or(wait_ms, |least| least.min(wait_ms)));
        if now.saturating_sub(self.interval_started_ms) < INTERVAL_MS {
            return false;
        }
        let least = self.min_wait_ms.take().unwrap_or(0);
        self.interval_started_ms = now;
        self.update_level(least)
    }

    fn update_level(&mut self, least: u64) -> bool {
        let observed = match least {
            least if least > OVERLOADED_ABOVE_MS => PressureLevel::Overloaded,
            least if least > BUSY_ABOVE_MS => PressureLevel::Busy,
            _ => PressureLevel::Calm,
        };
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
        self.level =
            if self.level == PressureLevel::Overloaded { PressureLevel::Busy } else { PressureLevel::Calm };
        true
    }
}

#[cfg(test)]
#[path = "tests/pressure.rs"]
mod tests;
