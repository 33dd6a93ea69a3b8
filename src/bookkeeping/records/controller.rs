//! The record of the controller that is the leader.

use serde::{Deserialize, Serialize};

/// The value of the leader key. The key is attached to a lease, so that it expires when the leader stops renewing it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leader.
    #[serde(rename = "node")]
    pub controller: String,
    /// Lease that the key is attached to; None in records of versions that did not write it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
    /// Format of the configuration entries that the leader applies; None if it applies only the platform's settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "config")]
    pub config_format: Option<u32>,
}
