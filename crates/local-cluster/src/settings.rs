//! The settings of controllers, in the form in which the platform writes them.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::addresses::ClusterAddresses;

const NAME_PREFIX: &str = "node-";

/// The quota of a team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    pub guaranteed: f64,
    /// Maximum CPUs; 0 means no limit.
    pub limit: f64,
}

// Timings of a local cluster's workers, in seconds.
pub(crate) const HEARTBEAT_S: f64 = 1.0;
pub(crate) const LEASE_S: f64 = 6.0;
pub(crate) const GANG_WAIT_S: f64 = 30.0;
pub(crate) const GANG_PEER_S: f64 = 2.0;
pub(crate) const CANCEL_S: f64 = 20.0;

/// The part of the controllers' settings that describes the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Zones. Controllers are assigned to them round-robin.
    pub zones: Vec<String>,
    /// The teams and their quotas.
    pub teams: Vec<TeamSettings>,
    /// Service-level objectives of job classes.
    pub objectives: Vec<ObjectivePlan>,
    /// Timings of the worker protocol.
    pub workers: WorkerTimings,
    /// Limits of the key-value store.
    pub kv_limits: KvLimits,
    /// Maximum rate of requests to the cloud, per second.
    pub cloud_requests_per_s: f64,
    /// Maximum lag of the cloud's list of machines, in seconds.
    pub list_lag_s: f64,
    /// Resource limits of a controller's process.
    pub quota: ControllerQuota,
}

/// A service-level objective: the time within which most jobs of a class should finish.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectivePlan {
    /// Job class.
    pub class: String,
    /// Target time from acceptance to the end of the job, in seconds.
    pub within_s: f64,
}

/// Timings of the worker protocol, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerTimings {
    /// Interval between heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Duration of a worker's lease, counted from the last heartbeat with an accepted response.
    pub lease_s: f64,
    /// How long a gang member waits until all members are ready to start.
    pub gang_wait_s: f64,
    /// How long a gang keeps running after it has lost a member.
    pub gang_peer_s: f64,
    /// Maximum time until a cancelled task has stopped.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvLimits {
    /// Maximum requests per second.
    pub requests_per_s: f64,
    /// Maximum changes per second.
    #[serde(rename = "changes_per_s")]
    pub mutations_per_s: f64,
    /// Maximum size of a value, in kB.
    pub value_kb: f64,
    /// Maximum number of changes in one transaction.
    #[serde(rename = "txn_changes")]
    pub txn_mutations: usize,
}

/// Resource limits of a controller's process.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerQuota {
    /// Share of one CPU core.
    pub core_share: f64,
    /// Maximum memory, in MB.
    pub memory_mb: f64,
    /// Maximum number of open connections.
    pub connections: usize,
}

impl Platform {
    /// Returns the platform of a local cluster: a single zone, and limits high enough not to be reached there.
    pub fn local(teams: Vec<TeamSettings>) -> Platform {
        Platform {
            zones: vec!["here".into()],
            teams,
            objectives: Vec::new(),
            workers: WorkerTimings {
                heartbeat_s: HEARTBEAT_S,
                lease_s: LEASE_S,
                gang_wait_s: GANG_WAIT_S,
                gang_peer_s: GANG_PEER_S,
                cancel_s: CANCEL_S,
            },
            kv_limits: KvLimits {
                requests_per_s: 2000.0,
                mutations_per_s: 1000.0,
                value_kb: 64.0,
                txn_mutations: 64,
            },
            cloud_requests_per_s: 50.0,
            list_lag_s: 0.5,
            quota: ControllerQuota { core_share: 1.0, memory_mb: 256.0, connections: 2000 },
        }
    }
}

/// Returns the name of the controller with this index.
pub fn controller_name(index: usize) -> String {
    format!("{NAME_PREFIX}{index}")
}

/// Returns the index of the controller with this name, or `None` if the name is not that of one of the controllers.
pub fn controller_index(name: &str, controllers: usize) -> Option<usize> {
    name.strip_prefix(NAME_PREFIX)?.parse().ok().filter(|index| *index < controllers)
}

/// Returns the settings of a controller, in the form in which the platform writes them.
pub fn controller_settings(addresses: &ClusterAddresses, index: usize, platform: &Platform) -> Value {
    let zone = |index: usize| &platform.zones[index % platform.zones.len()];
    let others: Vec<Value> = (0..addresses.controllers.len())
        .filter(|other| *other != index)
        .map(|other| {
            json!({"node": controller_name(other), "zone": zone(other), "addr": addresses.meshes[other]})
        })
        .collect();
    let teams: Vec<Value> = platform
        .teams
        .iter()
        .map(|team| {
            json!({"name": team.name, "cpus": team.guaranteed, "cpus_max": team.limit, "gpus": 0.0, "gpus_max": 0.0})
        })
        .collect();
    let objectives: Vec<Value> = platform
        .objectives
        .iter()
        .map(
            |objective| json!({"kind": "finished", "class": objective.class, "within_s": objective.within_s}),
        )
        .collect();
    let (workers, kv, quota) = (&platform.workers, &platform.kv_limits, &platform.quota);
    json!({"node": controller_name(index), "zone": zone(index), "front": addresses.controllers[index],
        "mesh_addr": addresses.meshes[index],
        "others": others, "endpoints": {"cloud": addresses.cloud, "state": addresses.kv_store},
        "cluster": {"count": addresses.controllers.len(), "zones": platform.zones, "teams": teams, "objectives": objectives,
            "workers": {"report_s": workers.heartbeat_s, "lease_s": workers.lease_s, "gang_wait_s": workers.gang_wait_s,
                "gang_peer_s": workers.gang_peer_s, "cancel_s": workers.cancel_s},
            "state": {"rps": kv.requests_per_s, "write_rps": kv.mutations_per_s, "value_kb": kv.value_kb,
                "txn_ops": kv.txn_mutations},
            "cloud": {"rps": platform.cloud_requests_per_s, "list_lag_s": platform.list_lag_s},
            "quota": {"core_share": quota.core_share, "mem_mb": quota.memory_mb, "max_connections": quota.connections},
            "time_bound_ms": 10.0}})
}
