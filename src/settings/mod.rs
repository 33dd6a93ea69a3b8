//! The platform's settings: a JSON file that is read and validated once at startup.
//!
//! The types here use the names and units of the code; `wire` defines the format of the file and validates it. The
//! settings are upper limits for the run-time configuration by operators, and they don't change while the program runs.

mod wire;

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

use crate::ids::Resources;
use wire::SettingsWire;

/// Reasons why the settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{file}: {error}")]
    Read { file: String, error: std::io::Error },
    #[error("{file}: {error}")]
    Json { file: String, error: serde_json::Error },
    #[error("{file}: {field}: {problem}")]
    Value { file: String, field: String, problem: String },
}

/// Another controller of the cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerController {
    #[serde(rename = "node")]
    pub controller: String,
    #[serde(default)]
    pub zone: String,
    pub addr: SocketAddr,
}

/// A service-level objective for the jobs of a class.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceLevelObjective {
    /// The event that has to happen within the target. Only `finished` has an effect on scheduling.
    pub kind: String,
    /// The job class; an objective without a class is ignored.
    #[serde(default, rename = "class")]
    pub job_class: Option<String>,
    /// Time from submission within which a job should finish, in seconds.
    #[serde(default)]
    #[serde(rename = "within_s")]
    pub target_s: Option<f64>,
    /// Fraction of the jobs that has to meet the target.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct KvLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of writing requests per second.
    pub write_rps: f64,
    /// Maximum size of a value in KiB.
    #[serde(rename = "value_kb")]
    pub max_value_kb: f64,
    /// Maximum number of operations in a transaction.
    #[serde(rename = "txn_ops")]
    pub max_txn_ops: usize,
}

/// Resources of its machine that this controller may use.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct ControllerLimits {
    /// Fraction of one CPU core.
    #[serde(default = "default_core_share")]
    pub core_share: f64,
    #[serde(default = "default_memory_mb")]
    #[serde(rename = "mem_mb")]
    pub memory_mb: f64,
    /// Maximum number of sockets of the whole process.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
}

fn default_core_share() -> f64 {
    1.0
}

fn default_memory_mb() -> f64 {
    256.0
}

fn default_max_connections() -> usize {
    1000
}

/// A team's quota.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamSettings {
    /// Name of the team, as in the manifests of jobs.
    pub name: String,
    pub guaranteed: Resources,
    /// Limit from the settings; 0 means that the resource is not limited.
    pub configured_limit: Resources,
    /// Lower CPU limit that operators set at run time, in thousandths of a CPU (`bookkeeping::config`).
    pub lowered_cpu_limit: Option<u64>,
}

impl TeamSettings {
    /// Returns the maximum resources that the team may use; `u64::MAX` means that a resource is not limited.
    pub fn effective_limit(&self) -> Resources {
        let zero_as_unlimited = |limit: u64| if limit == 0 { u64::MAX } else { limit };
        let cpu =
            zero_as_unlimited(self.configured_limit.cpu).min(self.lowered_cpu_limit.unwrap_or(u64::MAX));
        Resources { cpu, gpu: zero_as_unlimited(self.configured_limit.gpu), mem: u64::MAX }
    }
}

/// Intervals and time-outs of workers, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkerTimings {
    /// Interval between two heartbeats of a worker.
    pub heartbeat_interval_ms: u64,
    /// Time from the last heartbeat to the expiry of a worker's lease.
    pub lease_duration_ms: u64,
    /// Time for which a task waits for the other tasks of its gang.
    pub gang_wait_ms: u64,
    /// Time after which a gang task that sends no messages counts as lost.
    pub gang_peer_ms: u64,
    /// Time within which all tasks of a cancelled job must stop.
    pub cancel_deadline_ms: u64,
}

/// The platform's settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this controller.
    pub controller: String,
    pub zone: String,
    /// Address on which users, workers and operators connect.
    pub http_addr: SocketAddr,
    /// Address on which other controllers connect.
    pub peer_addr: SocketAddr,
    /// The other controllers of the cluster.
    pub peers: Vec<PeerController>,
    /// Address of the cloud's API.
    pub cloud_addr: SocketAddr,
    /// Address of the key-value store.
    pub kv_addr: SocketAddr,
    /// Number of controllers in the cluster, including this one.
    pub controller_count: usize,
    /// All zones of the cluster.
    pub zones: Vec<String>,
    pub teams: Vec<TeamSettings>,
    pub objectives: Vec<ServiceLevelObjective>,
    pub worker_timings: WorkerTimings,
    pub kv_limits: KvLimits,
    /// Maximum number of requests per second to the cloud.
    pub cloud_rps: f64,
    /// Time by which the cloud's list of machines may lag behind, in milliseconds.
    pub cloud_list_lag_ms: u64,
    pub limits: ControllerLimits,
    /// Bound on timing errors, as given by the platform; the cancellation deadline allows for twice this time.
    pub time_bound_ms: u64,
}

impl Settings {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// Fails if the file can't be read, isn't valid JSON of the expected form, or holds an invalid value.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Read { file: file.clone(), error })?;
        Settings::parse(&file, &text)
    }

    /// Parses and validates the text of a file; `file` is the name of the file in errors.
    ///
    /// # Errors
    /// Fails if the text isn't valid JSON of the expected form, or holds an invalid value.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let wire: SettingsWire =
            serde_json::from_str(text).map_err(|error| SettingsError::Json { file: file.into(), error })?;
        wire.validate().map_err(|error| SettingsError::Value {
            file: file.into(),
            field: error.field,
            problem: error.problem,
        })?;
        Ok(wire.into())
    }

    /// Returns the zone of this or another controller; None if the settings don't name the controller.
    pub fn zone_of_controller(&self, controller: &str) -> Option<&str> {
        if controller == self.controller {
            return Some(&self.zone);
        }
        self.peers.iter().find(|peer| peer.controller == controller).map(|peer| peer.zone.as_str())
    }
}
