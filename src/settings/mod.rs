//! The platform's settings: a JSON file that is read and checked once at the start.
//!
//! The types here are in the code's terms and units; the file's form and its checks are in `wire`. The settings are the
//! ceiling for what operators configure at run time, and they don't change while the program runs.

mod wire;

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

use crate::ids::Resources;
use wire::SettingsWire;

/// Why the settings can't be used.
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

/// An objective for the jobs of a class, or of all classes.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceLevelObjective {
    pub kind: String,
    #[serde(default, rename = "class")]
    pub job_class: Option<String>,
    /// Seconds from the submission within which a job is to be finished.
    #[serde(default)]
    #[serde(rename = "within_s")]
    pub target_s: Option<f64>,
    /// Part of the jobs that has to meet the target.
    #[serde(default)]
    pub share: Option<f64>,
}

/// What the key-value store accepts.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct KvLimits {
    /// Requests a second.
    pub rps: f64,
    /// Requests a second that write.
    pub write_rps: f64,
    /// Largest value in KiB.
    #[serde(rename = "value_kb")]
    pub max_value_kb: f64,
    /// Most operations of a transaction.
    #[serde(rename = "txn_ops")]
    pub max_txn_ops: usize,
}

/// What this controller may use of its machine.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct ControllerLimits {
    /// Part of one core.
    #[serde(default = "default_core_share")]
    pub core_share: f64,
    #[serde(default = "default_memory_mb")]
    #[serde(rename = "mem_mb")]
    pub memory_mb: f64,
    /// Sockets of the whole process.
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
    pub name: String,
    pub guaranteed: Resources,
    /// The limit by the settings; 0 of a resource is no limit.
    pub configured_limit: Resources,
    /// The limit on CPUs that operators have set, in thousandths (`bookkeeping::config`).
    pub lowered_cpu_limit: Option<u64>,
}

impl TeamSettings {
    /// What the team may use at most; `u64::MAX` of a resource is no limit.
    pub fn effective_limit(&self) -> Resources {
        let zero_as_unlimited = |limit: u64| if limit == 0 { u64::MAX } else { limit };
        let cpu =
            zero_as_unlimited(self.configured_limit.cpu).min(self.lowered_cpu_limit.unwrap_or(u64::MAX));
        Resources { cpu, gpu: zero_as_unlimited(self.configured_limit.gpu), mem: u64::MAX }
    }
}

/// Intervals and time limits of workers, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkerTimings {
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval_ms: u64,
    /// Time after the last heartbeat at which a worker's lease expires.
    pub lease_duration_ms: u64,
    /// Time that a task waits for the others of its gang.
    pub gang_wait_ms: u64,
    /// Time after which a silent task of a gang counts as lost.
    pub gang_peer_ms: u64,
    /// Time within which the tasks of a cancelled job have to stop.
    pub cancel_deadline_ms: u64,
}

/// The platform's settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this controller.
    pub controller: String,
    pub zone: String,
    /// Where users, workers and operators connect.
    pub http_addr: SocketAddr,
    /// Where other controllers connect.
    pub peer_addr: SocketAddr,
    pub peers: Vec<PeerController>,
    pub cloud_addr: SocketAddr,
    pub kv_addr: SocketAddr,
    /// Number of controllers in the cluster, this one included.
    pub controller_count: usize,
    pub zones: Vec<String>,
    pub teams: Vec<TeamSettings>,
    pub objectives: Vec<ServiceLevelObjective>,
    pub worker_timings: WorkerTimings,
    pub kv_limits: KvLimits,
    /// Requests a second that the cloud accepts.
    pub cloud_rps: f64,
    /// Time by which the cloud's list of machines may be out of date.
    pub cloud_list_lag_ms: u64,
    pub limits: ControllerLimits,
    pub time_bound_ms: u64,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file can't be read, isn't the JSON expected, or holds a value that is out of range.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Read { file: file.clone(), error })?;
        Settings::parse(&file, &text)
    }

    /// Parses and checks the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    /// The text isn't the JSON expected, or holds a value that is out of range.
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

    /// The zone of this or another controller; None if the settings don't name it.
    pub fn zone_of_controller(&self, controller: &str) -> Option<&str> {
        if controller == self.controller {
            return Some(&self.zone);
        }
        self.peers.iter().find(|peer| peer.controller == controller).map(|peer| peer.zone.as_str())
    }
}
