//! What nodes of a graph have in common.

use olivelatch_dag::{RetryPolicy, TriggerRule};
use serde::{Deserialize, Serialize};

use super::one;
use crate::ids::seconds_to_ms;
use crate::protocol::users::{JobManifest, MAX_QUANTITY};

/// Most attempts of one task.
const MAX_ATTEMPTS: u32 = 100;
/// Longest backoff and longest timeout of a task, in seconds: one day.
const MAX_WAIT_S: f64 = 86_400.0;

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// What nodes of one kind share. The manifest's id is not used, as each node has a job of its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeTemplate {
    #[serde(rename = "spec")]
    pub manifest: JobManifest,
    #[serde(default, skip_serializing_if = "is_default")]
    #[serde(rename = "rule")]
    pub trigger_rule: TriggerRule,
    /// Attempts that a task may have before its node fails.
    #[serde(default = "one")]
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// Seconds before the first retry, doubled by each further one.
    #[serde(default, skip_serializing_if = "is_default")]
    #[serde(rename = "wait_s")]
    pub retry_backoff_s: f64,
    /// Longest backoff in seconds.
    #[serde(default, skip_serializing_if = "is_default")]
    #[serde(rename = "most_wait_s")]
    pub max_retry_backoff_s: f64,
    /// Seconds after which a running task is stopped and counts as failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "limit_s")]
    pub timeout_s: Option<f64>,
    /// The pool whose slots its tasks take.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// Size of its output in GB; nodes that read it are placed close to it (DAWS).
    #[serde(default, skip_serializing_if = "is_default")]
    pub output_gb: f64,
}

impl NodeTemplate {
    /// The retry rules with delays in milliseconds.
    pub fn retry_policy(&self) -> RetryPolicy {
        RetryPolicy {
            max_attempts: self.max_attempts,
            delay_ms: seconds_to_ms(self.retry_backoff_s),
            max_delay_ms: seconds_to_ms(self.max_retry_backoff_s),
        }
    }

    /// Checks the ranges of all fields except the manifest.
    ///
    /// # Errors
    /// A message for the user that names the field as it is written on the wire.
    pub fn validate(&self) -> Result<(), String> {
        if !(1..=MAX_ATTEMPTS).contains(&self.max_attempts) {
            return Err(format!("tries must be 1 to {MAX_ATTEMPTS}"));
        }
        let backoffs = [("wait_s", self.retry_backoff_s), ("most_wait_s", self.max_retry_backoff_s)];
        let timeout = self.timeout_s.map(|timeout| ("limit_s", timeout));
        for (name, value) in backoffs.into_iter().chain(timeout) {
            if !(0.0..=MAX_WAIT_S).contains(&value) {
                return Err(format!("{name} must be 0 to {MAX_WAIT_S}"));
            }
        }
        if !(0.0..=MAX_QUANTITY).contains(&self.output_gb) {
            return Err("output_gb is out of range".into());
        }
        Ok(())
    }
}
