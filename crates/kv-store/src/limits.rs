//! Rate limits, which allow bursts of up to one second's worth, and size limits.

/// Limits of the store. By default, rates are unlimited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum rate of requests.
    pub requests_per_s: f64,
    /// Maximum rate of changed keys.
    pub changes_per_s: f64,
    /// Maximum length of a value, encoded as JSON.
    pub max_value_bytes: usize,
    /// Maximum number of changes in one transaction.
    pub max_txn_changes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            requests_per_s: f64::INFINITY,
            changes_per_s: f64::INFINITY,
            max_value_bytes: 64 * 1024,
            max_txn_changes: 1024,
        }
    }
}

/// A token bucket with a capacity of one second's worth of tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    used_tokens: f64,
    refilled_at_ms: u64,
}

impl TokenBucket {
    /// Takes `amount` tokens if the bucket holds that many, and returns whether it did. With an infinite rate it always
    /// returns true.
    pub(crate) fn try_take(&mut self, now_ms: u64, per_s: f64, amount: f64) -> bool {
        if per_s.is_infinite() {
            return true;
        }
        let elapsed_s = now_ms.saturating_sub(self.refilled_at_ms) as f64 / 1000.0;
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        self.used_tokens = (self.used_tokens - elapsed_s * per_s).max(0.0);
        let fits = self.used_tokens + amount <= per_s;
        if fits {
            self.used_tokens += amount;
        }
        fits
    }
}
