//! How often a task is tried, how long it waits in between, and what it leaves as evidence.

use serde::{Deserialize, Serialize};

/// Tries of a task and the waits between them; times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RetryPolicy {
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    #[serde(rename = "wait_ms")]
    pub delay_ms: u64,
    #[serde(rename = "most_wait_ms")]
    pub max_delay_ms: u64,
}

impl Default for RetryPolicy {
    fn default() -> RetryPolicy {
        RetryPolicy { max_attempts: 1, delay_ms: 1_000, max_delay_ms: 60_000 }
    }
}

impl RetryPolicy {
    /// The wait after the `nth` failure (from 1): doubled each time up to the bound, then by as much as half of it
    /// shorter, so that tasks that failed together do not come back together. `chance`: 0 to 1.
    pub fn delay_after(&self, failure_number: u32, jitter: f64) -> u64 {
        let doublings = failure_number.saturating_sub(1).min(40);
        let full = self.delay_ms.saturating_mul(1 << doublings).min(self.max_delay_ms);
        full - (full as f64 / 2.0 * jitter.clamp(0.0, 1.0)) as u64
    }
}

/// One try that failed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Failure {
    #[serde(rename = "a")]
    pub attempt: u64,
    #[serde(rename = "m")]
    pub machine: String,
    #[serde(rename = "c")]
    pub cause: String,
}

/// Failures kept as evidence, the last ones.
pub const MAX_EVIDENCE: usize = 3;

/// The failures of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RetryState {
    #[serde(rename = "n")]
    pub failures: u32,
    #[serde(rename = "last")]
    pub evidence: Vec<Failure>,
}

/// What follows from a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureEffect {
    /// It was counted before.
    AlreadyCounted,
    Retry,
    /// The tries are used up.
    Exhausted,
}

impl RetryState {
    /// Is a failure of this attempt certainly counted, or too old to count?
    pub fn has_counted(&self, attempt: u64) -> bool {
        self.evidence.last().is_some_and(|last| attempt <= last.attempt)
    }

    /// An attempt has failed. Reports are repeated, so each attempt counts once: attempts rise, so that one that is
    /// not newer than the last that counted is known or too late to matter.
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

    pub fn is_exhausted(&self, policy: &RetryPolicy) -> bool {
        self.failures >= policy.max_attempts.max(1)
    }
}

#[cfg(test)]
#[path = "tests/retry.rs"]
mod tests;
