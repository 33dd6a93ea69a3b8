//! How many requests a second may go out.

use crate::ids::Millis;

/// A token bucket that holds one second's worth.
#[derive(Debug, Clone)]
pub struct Budget {
    per_second: f64,
    held: f64,
    at: Millis,
    /// Nothing before this: the other side asked for less.
    quiet_until: Millis,
    backoff_ms: u64,
}

const FIRST_BACKOFF_MS: u64 = 100;
const LONGEST_BACKOFF_MS: u64 = 1000;

impl Budget {
    pub fn new(per_second: f64, now: Millis) -> Budget {
        Budget {
            per_second,
            held: per_second.max(1.0) / 2.0,
            at: now,
            quiet_until: Millis::default(),
            backoff_ms: FIRST_BACKOFF_MS,
        }
    }

    pub fn set_rate(&mut self, per_second: f64) {
        self.per_second = per_second;
    }

    pub fn rate(&self) -> f64 {
        self.per_second
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.at) as f64 * self.per_second / 1000.0;
        self.held = (self.held + gained).min(self.per_second.max(1.0));
        self.at = now;
    }

    /// How much may be spent at once now.
    pub fn available(&mut self, now: Millis) -> usize {
        self.refill(now);
        if now < self.quiet_until { 0 } else { self.held.max(0.0) as usize }
    }

    pub fn take(&mut self, now: Millis, amount: usize) -> bool {
        if self.available(now) < amount {
            return false;
        }
        self.held -= amount as f64;
        true
    }

    /// Spends even if nothing is left: for what must not wait.
    pub fn force(&mut self, now: Millis, amount: usize) {
        self.refill(now);
        self.held -= amount as f64;
    }

    /// The other side refused: wait, longer each time.
    pub fn refused(&mut self, now: Millis) {
        self.quiet_until = now.plus(self.backoff_ms);
        self.backoff_ms = (self.backoff_ms * 2).min(LONGEST_BACKOFF_MS);
    }

    pub fn served(&mut self) {
        self.backoff_ms = FIRST_BACKOFF_MS;
    }
}
