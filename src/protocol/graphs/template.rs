//! Templates: the properties that several nodes of a graph share.

use olivelatch_dag::{RetryPolicy, TriggerRule};
use serde::{Deserialize, Serialize};

use super::one;
use crate::ids::seconds_to_ms;
use crate::protocol::users::{JobManifest, MAX_QUANTITY};

/// Largest valid number of attempts per task.
const MAX_ATTEMPTS: u32 = 100;
/// Longest valid backoff and time-out of a task, in seconds: one day.
const MAX_DURATION_S: f64 = 86_400.0;

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// The properties that the nodes of one template share. The manifest's id is unused, because each node has its own job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeTemplate {
    #[serde(rename = "spec")]
    pub manifest: JobManifest,
    /// Which results of its upstream nodes let a node start.
    #[serde(default, skip_serializing_if = "is_default")]
    #[serde(rename = "rule")]
    pub trigger_rule: TriggerRule,
    /// Maximum number of attempts per task; the node fails when a task has used them up.
    #[serde(default = "one")]
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// Delay before the first retry, in seconds; it doubles with each further retry.
    #[serde(default, skip_serializing_if = "is_default")]
    #[serde(rename = "wait_s")]
    pub retry_backoff_s: f64,
    /// Upper limit of the retry delay, in seconds.
    #[serde(default, skip_serializing_if = "is_default")]
    #[serde(rename = "most_wait_s")]
    pub max_retry_backoff_s: f64,
    /// Run time in seconds after which a task is stopped and counts as failed; null sets no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "limit_s")]
    pub timeout_s: Option<f64>,
    /// The pool whose slots its tasks take; null if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// Size of its output in GB; nodes that read the output are placed close to it (DAWS).
    #[serde(default, skip_serializing_if = "is_default")]
    pub output_gb: f64,
}

impl NodeTemplate {
    /// Returns the retry policy, with delays in milliseconds.
    pub fn retry_policy(&self) -> RetryPolicy {
        RetryPolicy {
            max_attempts: self.max_attempts,
            backoff_ms: seconds_to_ms(self.retry_backoff_s),
            max_backoff_ms: seconds_to_ms(self.max_retry_backoff_s),
        }
    }

    /// Checks the ranges of all fields except the manifest.
    ///
    /// # Errors
    /// Returns a message for the user that names the invalid field as it is written on the wire.
    pub fn validate(&self) -> Result<(), String> {
        if !(1..=MAX_ATTEMPTS).contains(&self.max_attempts) {
            return Err(format!("tries must be 1 to {MAX_ATTEMPTS}, not {}", self.max_attempts));
        }
        let backoffs = [("wait_s", self.retry_backoff_s), ("most_wait_s", self.max_retry_backoff_s)];
        let timeout = self.timeout_s.map(|timeout| ("limit_s", timeout));
        for (name, value) in backoffs.into_iter().chain(timeout) {
            if !(0.0..=MAX_DURATION_S).contains(&value) {
                return Err(format!("{name} must be 0 to {MAX_DURATION_S}, not {value}"));
            }
        }
        if !(0.0..=MAX_QUANTITY).contains(&self.output_gb) {
            return Err(format!("output_gb must be 0 to {MAX_QUANTITY}, not {}", self.output_gb));
        }
        Ok(())
    }
}
