//! How far a controller is behind its events, and what it therefore defers.
//!
//! The measure is how long events wait in the queue, not how many there are (the idea of CoDel): a queue that empties now
//! and then is not overloaded, however long it was. So the minimum wait within an interval decides.

/// How much is deferred; each level includes those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum PressureLevel {
    /// Nothing is deferred.
    #[default]
    Calm,
    /// Planning runs less often, and commands that can wait go with the responses to heartbeats.
    Busy,
    /// Planning hardly runs at all.
    Overloaded,
}

/// Minimum waits above this, in milliseconds, are a reason for the level.
const BUSY_ABOVE_MS: u64 = 100;
const OVERLOADED_ABOVE_MS: u64 = 1_000;
/// The minimum wait is taken over this time.
const INTERVAL_MS: u64 = 1_000;
/// A level is left after this many consecutive intervals that would not have led to it.
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

    fn one_lower(self) -> PressureLevel {
        match self {
            PressureLevel::Overloaded => PressureLevel::Busy,
            PressureLevel::Busy | PressureLevel::Calm => PressureLevel::Calm,
        }
    }
}

/// The pressure level of one controller. Has to be given every wait, and from time to time a wait of zero while no event
/// waits.
#[derive(Debug, Default)]
pub struct Pressure {
    level: PressureLevel,
    interval_started_ms: u64,
    min_wait_ms: Option<u64>,
    lower_intervals: u32,
    /// Times that the level rose, for operators.
    pub level_increases: u64,
}

impl Pressure {
    /// The level now.
    pub fn level(&self) -> PressureLevel {
        self.level
    }

    /// Records an event that is processed at `now` after a wait, both in milliseconds. Returns whether the level changed.
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
        self.level = self.level.one_lower();
        true
    }
}

#[cfg(test)]
#[path = "tests/pressure.rs"]
mod tests;
