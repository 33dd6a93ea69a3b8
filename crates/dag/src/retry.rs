//! Retries of a task: the limit of attempts, the backoff, and the recent failures to show to users.

use serde::{Deserialize, Serialize};

/// The limit of attempts of a task, and the backoff between them.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RetryPolicy {
    /// Maximum number of attempts, including the first; 0 counts as 1.
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// Backoff after the first failure, in milliseconds.
    #[serde(rename = "wait_ms")]
    pub backoff_ms: u64,
    /// Upper bound of the backoff, in milliseconds.
    #[serde(rename = "most_wait_ms")]
    pub max_backoff_ms: u64,
}

impl Default for RetryPolicy {
    fn default() -> RetryPolicy {
        RetryPolicy { max_attempts: 1, backoff_ms: 1_000, max_backoff_ms: 60_000 }
    }
}

/// Keeps the shift in `backoff_after` in range; 40 doublings reach any sensible `max_backoff_ms`.
const MAX_DOUBLINGS: u32 = 40;

impl RetryPolicy {
    /// Returns the backoff after a failure, in milliseconds; `failure_number` counts from 1. The backoff doubles with
    /// each failure up to `max_backoff_ms`. It is then shortened by up to a half in proportion to `jitter` (0 to 1), so
    /// that tasks that failed together are not retried together.
    pub fn backoff_after(&self, failure_number: u32, jitter: f64) -> u64 {
        let doublings = failure_number.saturating_sub(1).min(MAX_DOUBLINGS);
        let full_ms = self.backoff_ms.saturating_mul(1 << doublings).min(self.max_backoff_ms);
        full_ms - (full_ms as f64 / 2.0 * jitter.clamp(0.0, 1.0)) as u64
    }
}

/// A failed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Failure {
    /// Attempt number.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// Name of the machine that the attempt ran on.
    #[serde(rename = "m")]
    pub machine: String,
    /// Cause of the failure, shown to users.
    #[serde(rename = "c")]
    pub cause: String,
}

/// Maximum number of failures of a task that are kept; the oldest is dropped first.
pub const MAX_RECENT_FAILURES: usize = 3;

/// The failures of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RetryState {
    /// Number of failed attempts.
    #[serde(rename = "n")]
    pub failure_count: u32,
    /// The most recent failures, oldest first, at most [`MAX_RECENT_FAILURES`].
    #[serde(rename = "last")]
    pub recent_failures: Vec<Failure>,
}

/// The effect of a reported failure on its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureEffect {
    /// Nothing changes: the attempt was counted before, or is older than the last one counted.
    AlreadyCounted,
    /// The task is retried.
    Retry,
    /// The task has no attempts left.
    Exhausted,
}

impl RetryState {
    /// Returns whether this attempt was counted as failed, or is older than the last one counted.
    pub fn has_counted(&self, attempt: u64) -> bool {
        self.recent_failures.last().is_some_and(|last| attempt <= last.attempt)
    }

    /// Counts a failed attempt. This is idempotent, as heartbeats report the same failure repeatedly. Attempt numbers
    /// increase, so an attempt that is not newer than the last one counted is either counted already or stale.
    pub fn record_failure(&mut self, failure: Failure, policy: &RetryPolicy) -> FailureEffect {
        if self.has_counted(failure.attempt) {
            return FailureEffect::AlreadyCounted;
        }
        self.failure_count += 1;
        if self.recent_failures.len() == MAX_RECENT_FAILURES {
            self.recent_failures.remove(0);
        }
        self.recent_failures.push(failure);
        if self.is_exhausted(policy) { FailureEffect::Exhausted } else { FailureEffect::Retry }
    }

    /// Returns whether the task has no attempts left.
    pub fn is_exhausted(&self, policy: &RetryPolicy) -> bool {
        self.failure_count >= policy.max_attempts.max(1)
    }
}

#[cfg(test)]
#[path = "tests/retry.rs"]
mod tests;
