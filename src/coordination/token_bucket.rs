//! How many requests a second may go out.

use crate::ids::Millis;

/// A token bucket that holds one second's worth.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Millis,
    /// Nothing before this: the other side asked for less.
    backoff_until: Millis,
    backoff_ms: u64,
}

const MIN_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 1000;

impl TokenBucket {
    pub fn new(per_second: f64, now: Millis) -> TokenBucket {
        TokenBucket {
            per_second,
            tokens: per_second.max(1.0) / 2.0,
            refilled_at: now,
            backoff_until: Millis::default(),
            backoff_ms: MIN_BACKOFF_MS,
        }
    }

    pub fn set_rate(&mut self, per_second: f64) {
        self.per_second = per_second;
    }

    pub fn rate(&self) -> f64 {
        self.per_second
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.saturating_since(self.refilled_at) as f64 * self.per_second / 1000.0;
        self.tokens = (self.tokens + gained).min(self.per_second.max(1.0));
        self.refilled_at = now;
    }

    /// How much may be spent at once now.
    pub fn available(&mut self, now: Millis) -> usize {
        self.refill(now);
        if now < self.backoff_until { 0 } else { self.tokens.max(0.0) as usize }
    }

    pub fn try_take(&mut self, now: Millis, amount: usize) -> bool {
        if self.available(now) < amount {
            return false;
        }
        self.tokens -= amount as f64;
        true
    }

    /// Spends even if nothing is left: for what must not wait.
    pub fn force_take(&mut self, now: Millis, amount: usize) {
        self.refill(now);
        self.tokens -= amount as f64;
    }

    /// The other side refused: wait, longer each time.
    pub fn back_off(&mut self, now: Millis) {
        self.backoff_until = now.saturating_add(self.backoff_ms);
        self.backoff_ms = (self.backoff_ms * 2).min(MAX_BACKOFF_MS);
    }

    pub fn reset_backoff(&mut self) {
        self.backoff_ms = MIN_BACKOFF_MS;
    }
}
