//! Rate limiter for requests to another service, with backoff when the service refuses them.
//!
//! It decides whether a request may be sent now; it sends nothing and reads no clock.

use crate::ids::Millis;

/// Backoff after the first refusal; it doubles with each further refusal.
const MIN_BACKOFF_MS: u64 = 100;
/// The longest backoff.
const MAX_BACKOFF_MS: u64 = 1000;

/// A token bucket that holds at most the tokens gained in one second. A new bucket is half full.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Millis,
    /// No token is available before this time, because the service refused a request.
    backoff_until: Millis,
    backoff_ms: u64,
}

impl TokenBucket {
    /// Creates a bucket that gains `per_second` tokens per second.
    pub(super) fn new(per_second: f64, now: Millis) -> TokenBucket {
        TokenBucket {
            per_second,
            tokens: per_second.max(1.0) / 2.0,
            refilled_at: now,
            backoff_until: Millis::default(),
            backoff_ms: MIN_BACKOFF_MS,
        }
    }

    /// Sets the tokens gained per second, from the last refill on.
    pub(super) fn set_rate(&mut self, per_second: f64) {
        self.per_second = per_second;
    }

    /// Returns the tokens gained per second.
    pub(super) fn rate(&self) -> f64 {
        self.per_second
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.saturating_since(self.refilled_at) as f64 * self.per_second / 1000.0;
        self.tokens = (self.tokens + gained).min(self.per_second.max(1.0));
        self.refilled_at = now;
    }

    /// Returns how many tokens can be taken now.
    pub(super) fn available(&mut self, now: Millis) -> usize {
        self.refill(now);
        if now < self.backoff_until { 0 } else { self.tokens.max(0.0) as usize }
    }

    /// Takes `amount` tokens if that many are available.
    pub(super) fn try_take(&mut self, now: Millis, amount: usize) -> bool {
        if self.available(now) < amount {
            return false;
        }
        self.tokens -= amount as f64;
        true
    }

    /// Takes `amount` tokens even if they are not available, for requests that must not wait. Later requests
    /// wait longer in return.
    pub(super) fn force_take(&mut self, now: Millis, amount: usize) {
        self.refill(now);
        self.tokens -= amount as f64;
    }

    /// Starts a backoff because the service refused a request. Each further refusal doubles it, up to a
    /// maximum.
    pub(super) fn back_off(&mut self, now: Millis) {
        self.backoff_until = now.saturating_add(self.backoff_ms);
        self.backoff_ms = (self.backoff_ms * 2).min(MAX_BACKOFF_MS);
    }

    /// Resets the backoff to its minimum because the service served a request.
    pub(super) fn reset_backoff(&mut self) {
        self.backoff_ms = MIN_BACKOFF_MS;
    }
}

#[cfg(test)]
#[path = "tests/token_bucket.rs"]
mod tests;
