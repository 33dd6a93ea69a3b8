//! The format of the settings file and the validation of its values.
//!
//! Field names are those of the file. Errors name a field by its path in the file.

use std::net::SocketAddr;

use serde::Deserialize;

use super::{
    ControllerLimits, KvLimits, PeerController, ServiceLevelObjective, Settings, TeamSettings, WorkerTimings,
};
use crate::ids::{Resources, seconds_to_ms, to_milli_floor};

/// Maximum number of controllers in a cluster.
const MAX_CONTROLLERS: usize = 100;
/// Maximum of the intervals and time-outs of workers, in seconds: one day.
const MAX_WORKER_TIME_S: f64 = 86_400.0;
/// Maximum of a request rate, in requests per second.
const MAX_RPS: f64 = 1e6;
/// Accepted range for the maximum size of a value in the key-value store, in KiB. Records need at least the minimum.
const MIN_VALUE_KB: f64 = 2.0;
const MAX_VALUE_KB: f64 = 64.0;
/// Minimum number of operations in a transaction that writing the records needs.
const MIN_TXN_OPS: usize = 3;
/// Maximum amount of a resource, in whole units.
const MAX_QUANTITY: f64 = 1e9;

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

#[derive(Debug, Clone, Copy, Deserialize)]
struct WorkersWire {
    report_s: f64,
    lease_s: f64,
    gang_wait_s: f64,
    gang_peer_s: f64,
    cancel_s: f64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
struct CloudWire {
    rps: f64,
    #[serde(default)]
    list_lag_s: f64,
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
pub(super) struct SettingsWire {
    node: String,
    zone: String,
    front: SocketAddr,
    mesh_addr: SocketAddr,
    #[serde(default)]
    others: Vec<PeerController>,
    endpoints: EndpointsWire,
    cluster: ClusterWire,
}

/// An invalid value in the file.
#[derive(Debug)]
pub(super) struct FieldError {
    /// Path of the field in the file.
    pub(super) field: String,
    /// Which values are valid, and the value found.
    pub(super) problem: String,
}

impl FieldError {
    fn new(field: &str, problem: impl Into<String>) -> FieldError {
        FieldError { field: field.into(), problem: problem.into() }
    }
}

fn check_positive(field: &str, value: f64, max: f64) -> Result<(), FieldError> {
    if value.is_finite() && value > 0.0 && value <= max {
        return Ok(());
    }
    Err(FieldError::new(field, format!("must be above 0 and at most {max}, not {value}")))
}

impl SettingsWire {
    /// Validates the values; the error names the first invalid one.
    pub(super) fn validate(&self) -> Result<(), FieldError> {
        let cluster = &self.cluster;
        if self.node.is_empty() {
            return Err(FieldError::new("node", "must not be empty"));
        }
        if !(1..=MAX_CONTROLLERS).contains(&cluster.count) {
            return Err(FieldError::new(
                "cluster.count",
                format!("must be 1 to {MAX_CONTROLLERS}, not {}", cluster.count),
            ));
        }
        if cluster.zones.is_empty() {
            return Err(FieldError::new("cluster.zones", "must name at least one zone"));
        }
        if self.others.iter().any(|other| other.controller == self.node) {
            return Err(FieldError::new(
                "others",
                format!("must list only other nodes, but names this node ({})", self.node),
            ));
        }
        validate_workers(&cluster.workers)?;
        validate_kv_limits(&cluster.state)?;
        check_positive("cluster.cloud.rps", cluster.cloud.rps, MAX_RPS)?;
        check_positive("cluster.quota.mem_mb", cluster.quota.memory_mb, MAX_QUANTITY)?;
        validate_teams(&cluster.teams)
    }
}

fn validate_workers(workers: &WorkersWire) -> Result<(), FieldError> {
    check_positive("cluster.workers.report_s", workers.report_s, MAX_WORKER_TIME_S)?;
    check_positive("cluster.workers.lease_s", workers.lease_s, MAX_WORKER_TIME_S)?;
    check_positive("cluster.workers.gang_wait_s", workers.gang_wait_s, MAX_WORKER_TIME_S)?;
    check_positive("cluster.workers.gang_peer_s", workers.gang_peer_s, MAX_WORKER_TIME_S)?;
    check_positive("cluster.workers.cancel_s", workers.cancel_s, MAX_WORKER_TIME_S)?;
    if workers.lease_s <= workers.report_s {
        return Err(FieldError::new(
            "cluster.workers.lease_s",
            format!("must be longer than report_s ({}), not {}", workers.report_s, workers.lease_s),
        ));
    }
    Ok(())
}

fn validate_kv_limits(limits: &KvLimits) -> Result<(), FieldError> {
    check_positive("cluster.state.rps", limits.rps, MAX_RPS)?;
    check_positive("cluster.state.write_rps", limits.write_rps, MAX_RPS)?;
    check_positive("cluster.state.value_kb", limits.max_value_kb, MAX_VALUE_KB)?;
    if limits.max_value_kb < MIN_VALUE_KB {
        return Err(FieldError::new(
            "cluster.state.value_kb",
            format!("must be at least {MIN_VALUE_KB}, not {}", limits.max_value_kb),
        ));
    }
    if limits.max_txn_ops < MIN_TXN_OPS {
        return Err(FieldError::new(
            "cluster.state.txn_ops",
            format!("must be at least {MIN_TXN_OPS}, not {}", limits.max_txn_ops),
        ));
    }
    Ok(())
}

fn validate_teams(teams: &[TeamWire]) -> Result<(), FieldError> {
    for team in teams {
        for (field, value) in [
            ("cpus", team.cpus),
            ("cpus_max", team.cpus_max),
            ("gpus", team.gpus),
            ("gpus_max", team.gpus_max),
        ] {
            if !(0.0..=MAX_QUANTITY).contains(&value) {
                let field = format!("cluster.teams.{}.{field}", team.name);
                return Err(FieldError::new(&field, format!("must be 0 to {MAX_QUANTITY:e}, not {value}")));
            }
        }
    }
    Ok(())
}

impl From<TeamWire> for TeamSettings {
    fn from(wire: TeamWire) -> TeamSettings {
        let quota = |cpus, gpus| Resources { cpu: to_milli_floor(cpus), gpu: to_milli_floor(gpus), mem: 0 };
        TeamSettings {
            name: wire.name,
            guaranteed: quota(wire.cpus, wire.gpus),
            configured_limit: quota(wire.cpus_max, wire.gpus_max),
            lowered_cpu_limit: None,
        }
    }
}

impl From<WorkersWire> for WorkerTimings {
    fn from(wire: WorkersWire) -> WorkerTimings {
        WorkerTimings {
            heartbeat_interval_ms: seconds_to_ms(wire.report_s),
            lease_duration_ms: seconds_to_ms(wire.lease_s),
            gang_wait_ms: seconds_to_ms(wire.gang_wait_s),
            gang_peer_ms: seconds_to_ms(wire.gang_peer_s),
            cancel_deadline_ms: seconds_to_ms(wire.cancel_s),
        }
    }
}

impl From<SettingsWire> for Settings {
    fn from(wire: SettingsWire) -> Settings {
        let cluster = wire.cluster;
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
            teams: cluster.teams.into_iter().map(TeamSettings::from).collect(),
            objectives: cluster.objectives,
            worker_timings: cluster.workers.into(),
            kv_limits: cluster.state,
            cloud_rps: cluster.cloud.rps,
            cloud_list_lag_ms: seconds_to_ms(cluster.cloud.list_lag_s),
            limits: cluster.quota,
            time_bound_ms: cluster.time_bound_ms.max(0.0).ceil() as u64,
        }
    }
}
