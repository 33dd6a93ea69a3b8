//! Requests and changes a second, with bursts of one second's worth.

/// What the service allows; nothing is limited by default.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    pub requests_per_s: f64,
    pub changes_per_s: f64,
    pub max_value_bytes: usize,
    pub max_txn_changes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            requests_per_s: f64::INFINITY,
            changes_per_s: f64::INFINITY,
            max_value_bytes: 64 * 1024,
            max_txn_changes: 1024,
        }
    }
}

/// A bucket that refills with time.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    used_tokens: f64,
    refilled_at_ms: u64,
}

impl TokenBucket {
    /// Takes so much if it is there now.
    pub fn try_take(&mut self, now_ms: u64, per_s: f64, amount: f64) -> bool {
        if per_s.is_infinite() {
            return true;
        }
        let passed = now_ms.saturating_sub(self.refilled_at_ms) as f64 / 1000.0;
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        self.used_tokens = (self.used_tokens - passed * per_s).max(0.0);
        let fits = self.used_tokens + amount <= per_s;
        if fits {
            self.used_tokens += amount;
        }
        fits
    }
}
