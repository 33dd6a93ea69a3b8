//! How far a controller is behind its events, and what it leaves undone therefore.
//!
//! What counts is how long events waited before they were looked at, not how many wait (the idea of CoDel): a queue that
//! empties now and then is no overload, however long it was. So the least wait within an interval decides.

/// How much is left undone; each level includes those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Level {
    #[default]
    Calm,
    /// Planning is done less often, and commands that can wait go with the answers to reports.
    Busy,
    /// Planning is done hardly at all.
    Overloaded,
}

/// Longest waits, in milliseconds, that are no reason for a level.
const BUSY_MS: u64 = 100;
const OVERLOADED_MS: u64 = 1_000;
/// The least wait is taken over this.
const INTERVAL_MS: u64 = 1_000;
/// A level is left after so many intervals in a row that would not have led to it.
const CALM_INTERVALS: u32 = 3;

/// The level of one controller. Feed it every wait, and now and then a wait of nothing while nothing waits.
#[derive(Debug, Default)]
pub struct Pressure {
    level: Level,
    began: u64,
    least: Option<u64>,
    calm: u32,
    /// Times that it rose, for operators.
    pub rises: u64,
}

impl Pressure {
    pub fn level(&self) -> Level {
        self.level
    }

    /// An event is looked at that waited so long, both in milliseconds. True if the level changed.
    pub fn waited(&mut self, now: u64, wait_ms: u64) -> bool {
        self.least = Some(self.least.map_or(wait_ms, |least| least.min(wait_ms)));
        if now.saturating_sub(self.began) < INTERVAL_MS {
            return false;
        }
        let least = self.least.take().unwrap_or(0);
        self.began = now;
        self.judge(least)
    }

    fn judge(&mut self, least: u64) -> bool {
        let shown = match least {
            least if least > OVERLOADED_MS => Level::Overloaded,
            least if least > BUSY_MS => Level::Busy,
            _ => Level::Calm,
        };
        if shown > self.level {
            self.level = shown;
            self.calm = 0;
            self.rises += 1;
            return true;
        }
        self.calm = if shown < self.level { self.calm + 1 } else { 0 };
        if self.calm < CALM_INTERVALS {
            return false;
        }
        self.calm = 0;
        self.level = if self.level == Level::Overloaded { Level::Busy } else { Level::Calm };
        true
    }
}

#[cfg(test)]
#[path = "tests/pressure.rs"]
mod tests;
