//! Retries of a task: how many, with what delays, and what is kept of the failures as evidence.

use serde::{Deserialize, Serialize};

/// How often a task is tried, and the delays in between, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RetryPolicy {
    /// Attempts in all; 0 counts as 1.
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// Delay after the first failure.
    #[serde(rename = "wait_ms")]
    pub delay_ms: u64,
    /// Upper bound of the delay.
    #[serde(rename = "most_wait_ms")]
    pub max_delay_ms: u64,
}

impl Default for RetryPolicy {
    fn default() -> RetryPolicy {
        RetryPolicy { max_attempts: 1, delay_ms: 1_000, max_delay_ms: 60_000 }
    }
}

/// Enough to reach any `max_delay_ms` that makes sense; bounds the shift.
const MAX_DOUBLINGS: u32 = 40;

impl RetryPolicy {
    /// The delay after a failure, in milliseconds; `failure_number` counts from 1. Exponential backoff: doubled each
    /// time up to the bound, then shortened by up to a half in proportion to `jitter` (0 to 1), so that tasks that
    /// failed together are not retried together.
    pub fn delay_after(&self, failure_number: u32, jitter: f64) -> u64 {
        let doublings = failure_number.saturating_sub(1).min(MAX_DOUBLINGS);
        let backoff_ms = self.delay_ms.saturating_mul(1 << doublings).min(self.max_delay_ms);
        backoff_ms - (backoff_ms as f64 / 2.0 * jitter.clamp(0.0, 1.0)) as u64
    }
}

/// One attempt that failed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Failure {
    /// Number of the attempt.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// Machine that it ran on.
    #[serde(rename = "m")]
    pub machine: String,
    /// Why it failed, for users.
    #[serde(rename = "c")]
    pub cause: String,
}

/// How many of the last failures are kept as evidence.
pub const MAX_EVIDENCE: usize = 3;

/// The failures of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RetryState {
    /// How many attempts failed.
    #[serde(rename = "n")]
    pub failures: u32,
    /// The last ones, at most [`MAX_EVIDENCE`].
    #[serde(rename = "last")]
    pub evidence: Vec<Failure>,
}

/// What follows from a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureEffect {
    /// Nothing: the attempt was counted before.
    AlreadyCounted,
    /// The task is tried again.
    Retry,
    /// No attempts are left.
    Exhausted,
}

impl RetryState {
    /// Was a failure of this attempt counted, or is the attempt too old to count?
    pub fn has_counted(&self, attempt: u64) -> bool {
        self.evidence.last().is_some_and(|last| attempt <= last.attempt)
    }

    /// Counts a failed attempt, once: heartbeats repeat it. Attempt numbers rise, so that one that is not newer than
    /// the last one counted is either known or too late to matter.
    pub fn record_failure(&mut self, failure: Failure, policy: &RetryPolicy) -> FailureEffect {
        if self.has_counted(failure.attempt) {
            return FailureEffect::AlreadyCounted;
        }
        self.failures += 1;
        if self.evidence.len() == MAX_EVIDENCE {
            self.evidence.remove(0);
        }
        self.evidence.push(failure);
        if self.is_exhausted(policy) { FailureEffect::Exhausted } else { FailureEffect::Retry }
    }

    /// Are no attempts left?
    pub fn is_exhausted(&self, policy: &RetryPolicy) -> bool {
        self.failures >= policy.max_attempts.max(1)
    }
}

#[cfg(test)]
#[path = "tests/retry.rs"]
mod tests;
