//! The record of the controller that holds the leadership.

use serde::{Deserialize, Serialize};

/// The value of the leader key. The key is attached to a lease, so that it expires with its controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the controller.
    #[serde(rename = "node")]
    pub controller: String,
    /// The lease that the key is attached to; absent in records of versions that did not write it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
    /// Format of the configuration entries that the controller applies; none if it applies the platform's settings
    /// alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "config")]
    pub config_format: Option<u32>,
}
