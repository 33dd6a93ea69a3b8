//! The platform's settings file (JSON), checked once at the start.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

use crate::ids::{Resources, to_milli_floor};

#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{file}: {error}")]
    Read { file: String, error: std::io::Error },
    #[error("{file}: {error}")]
    Json { file: String, error: serde_json::Error },
    #[error("{file}: {field}: {problem}")]
    Value { file: String, field: String, problem: String },
}

#[derive(Debug, Clone, Deserialize)]
pub struct PeerController {
    #[serde(rename = "node")]
    pub controller: String,
    #[serde(default)]
    pub zone: String,
    pub addr: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
struct EndpointsWire {
    cloud: SocketAddr,
    state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
struct TeamWire {
    name: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct ServiceLevelObjective {
    pub kind: String,
    #[serde(default, rename = "class")]
    pub job_class: Option<String>,
    #[serde(default)]
    #[serde(rename = "within_s")]
    pub target_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
struct WorkersWire {
    report_s: f64,
    lease_s: f64,
    gang_wait_s: f64,
    gang_peer_s: f64,
    cancel_s: f64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
pub struct KvLimits {
    pub rps: f64,
    pub write_rps: f64,
    #[serde(rename = "value_kb")]
    pub max_value_kb: f64,
    #[serde(rename = "txn_ops")]
    pub max_txn_ops: usize,
}

#[derive(Debug, Clone, Copy, Deserialize)]
struct CloudWire {
    rps: f64,
    #[serde(default)]
    list_lag_s: f64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
pub struct ControllerLimits {
    #[serde(default = "one")]
    pub core_share: f64,
    #[serde(default = "default_memory")]
    #[serde(rename = "mem_mb")]
    pub memory_mb: f64,
    #[serde(default = "default_connections")]
    pub max_connections: usize,
}

fn one() -> f64 {
    1.0
}

fn default_memory() -> f64 {
    256.0
}

fn default_connections() -> usize {
    1000
}

#[derive(Debug, Clone, Deserialize)]
struct ClusterWire {
    count: usize,
    zones: Vec<String>,
    #[serde(default)]
    teams: Vec<TeamWire>,
    #[serde(default)]
    objectives: Vec<ServiceLevelObjective>,
    workers: WorkersWire,
    state: KvLimits,
    cloud: CloudWire,
    quota: ControllerLimits,
    #[serde(default)]
    time_bound_ms: f64,
}

#[derive(Debug, Clone, Deserialize)]
struct SettingsWire {
    node: String,
    zone: String,
    front: SocketAddr,
    mesh_addr: SocketAddr,
    #[serde(default)]
    others: Vec<PeerController>,
    endpoints: EndpointsWire,
    cluster: ClusterWire,
}

/// A team's share; a maximum of 0 is no limit.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamSettings {
    pub name: String,
    pub guaranteed: Resources,
    pub configured_limit: Resources,
    /// CPUs that operators have lowered the limit to, in thousandths (`bookkeeping::config`).
    pub lowered_cpu_limit: Option<u64>,
}

impl TeamSettings {
    /// What the team may use at most: 0 in the settings means that there is no limit.
    pub fn effective_limit(&self) -> Resources {
        let zero_as_unlimited = |v: u64| if v == 0 { u64::MAX } else { v };
        let cpu =
            zero_as_unlimited(self.configured_limit.cpu).min(self.lowered_cpu_limit.unwrap_or(u64::MAX));
        Resources { cpu, gpu: zero_as_unlimited(self.configured_limit.gpu), mem: u64::MAX }
    }
}

/// How the workers behave, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkerTimings {
    pub heartbeat_interval_ms: u64,
    pub lease_duration_ms: u64,
    pub gang_wait_ms: u64,
    pub gang_peer_ms: u64,
    pub cancel_deadline_ms: u64,
}

#[derive(Debug, Clone)]
pub struct Settings {
    pub controller: String,
    pub zone: String,
    pub http_addr: SocketAddr,
    pub peer_addr: SocketAddr,
    pub peers: Vec<PeerController>,
    pub cloud_addr: SocketAddr,
    pub kv_addr: SocketAddr,
    pub controller_count: usize,
    pub zones: Vec<String>,
    pub teams: Vec<TeamSettings>,
    pub objectives: Vec<ServiceLevelObjective>,
    pub worker_timings: WorkerTimings,
    pub kv_limits: KvLimits,
    pub cloud_rps: f64,
    pub cloud_list_lag_ms: u64,
    pub limits: ControllerLimits,
    pub time_bound_ms: u64,
}

impl Settings {
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Read { file: file.clone(), error })?;
        Settings::parse(&file, &text)
    }

    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let wire: SettingsWire =
            serde_json::from_str(text).map_err(|error| SettingsError::Json { file: file.into(), error })?;
        validate(&wire).map_err(|(field, problem)| SettingsError::Value {
            file: file.into(),
            field,
            problem,
        })?;
        Ok(build(wire))
    }

    pub fn zone_of_controller(&self, node: &str) -> Option<&str> {
        if node == self.controller {
            return Some(&self.zone);
        }
        let other = self.peers.iter().find(|other| other.controller == node);
        other.map(|other| other.zone.as_str())
    }
}

type FieldError = (String, String);

fn check_positive(field: &str, value: f64, max: f64) -> Result<(), FieldError> {
    if value.is_finite() && value > 0.0 && value <= max {
        return Ok(());
    }
    Err((field.into(), format!("must be above 0 and at most {max}, not {value}")))
}

fn validate(wire: &SettingsWire) -> Result<(), FieldError> {
    let cluster = &wire.cluster;
    if wire.node.is_empty() {
        return Err(("node".into(), "must not be empty".into()));
    }
    if cluster.count == 0 || cluster.count > 100 {
        return Err(("cluster.count".into(), "must be 1 to 100".into()));
    }
    if cluster.zones.is_empty() {
        return Err(("cluster.zones".into(), "must name at least one zone".into()));
    }
    if wire.others.iter().any(|other| other.controller == wire.node) {
        return Err(("others".into(), format!("names this node ({})", wire.node)));
    }
    let w = &cluster.workers;
    let day = 86_400.0;
    check_positive("cluster.workers.report_s", w.report_s, day)?;
    check_positive("cluster.workers.lease_s", w.lease_s, day)?;
    check_positive("cluster.workers.gang_wait_s", w.gang_wait_s, day)?;
    check_positive("cluster.workers.gang_peer_s", w.gang_peer_s, day)?;
    check_positive("cluster.workers.cancel_s", w.cancel_s, day)?;
    if w.lease_s <= w.report_s {
        return Err(("cluster.workers.lease_s".into(), "must be longer than report_s".into()));
    }
    let s = &cluster.state;
    check_positive("cluster.state.rps", s.rps, 1e6)?;
    check_positive("cluster.state.write_rps", s.write_rps, 1e6)?;
    check_positive("cluster.state.value_kb", s.max_value_kb, 64.0)?;
    if s.max_value_kb < 2.0 {
        return Err(("cluster.state.value_kb".into(), "must be at least 2".into()));
    }
    if s.max_txn_ops < 3 {
        return Err(("cluster.state.txn_ops".into(), "must be at least 3".into()));
    }
    check_positive("cluster.cloud.rps", cluster.cloud.rps, 1e6)?;
    check_positive("cluster.quota.mem_mb", cluster.quota.memory_mb, 1e9)?;
    validate_teams(&cluster.teams)
}

fn validate_teams(teams: &[TeamWire]) -> Result<(), FieldError> {
    for team in teams {
        for (field, value) in [
            ("cpus", team.cpus),
            ("cpus_max", team.cpus_max),
            ("gpus", team.gpus),
            ("gpus_max", team.gpus_max),
        ] {
            if !(0.0..=1e9).contains(&value) {
                let field = format!("cluster.teams.{}.{field}", team.name);
                return Err((field, format!("must be 0 to 1e9, not {value}")));
            }
        }
    }
    Ok(())
}

fn build(wire: SettingsWire) -> Settings {
    let ms = |s: f64| (s * 1000.0).round() as u64;
    let cluster = wire.cluster;
    let teams = cluster.teams.into_iter().map(|team| TeamSettings {
        name: team.name,
        guaranteed: Resources { cpu: to_milli_floor(team.cpus), gpu: to_milli_floor(team.gpus), mem: 0 },
        configured_limit: Resources {
            cpu: to_milli_floor(team.cpus_max),
            gpu: to_milli_floor(team.gpus_max),
            mem: 0,
        },
        lowered_cpu_limit: None,
    });
    let w = cluster.workers;
    Settings {
        controller: wire.node,
        zone: wire.zone,
        http_addr: wire.front,
        peer_addr: wire.mesh_addr,
        peers: wire.others,
        cloud_addr: wire.endpoints.cloud,
        kv_addr: wire.endpoints.state,
        controller_count: cluster.count,
        zones: cluster.zones,
        teams: teams.collect(),
        objectives: cluster.objectives,
        worker_timings: WorkerTimings {
            heartbeat_interval_ms: ms(w.report_s),
            lease_duration_ms: ms(w.lease_s),
            gang_wait_ms: ms(w.gang_wait_s),
            gang_peer_ms: ms(w.gang_peer_s),
            cancel_deadline_ms: ms(w.cancel_s),
        },
        kv_limits: cluster.state,
        cloud_rps: cluster.cloud.rps,
        cloud_list_lag_ms: ms(cluster.cloud.list_lag_s),
        limits: cluster.quota,
        time_bound_ms: cluster.time_bound_ms.max(0.0).ceil() as u64,
    }
}
