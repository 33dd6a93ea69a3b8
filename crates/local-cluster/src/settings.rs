//! The settings of a region's controllers, as the platform would write them.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::addresses::ClusterAddresses;

const NAME_PREFIX: &str = "node-";

/// A team's share of a region.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamSettings {
    /// The team.
    pub name: String,
    /// CPUs that it always gets.
    pub guaranteed: f64,
    /// CPUs at most; 0: no limit.
    pub limit: f64,
}

/// Times of a local region's workers, in seconds.
pub(crate) const HEARTBEAT_S: f64 = 1.0;
pub(crate) const LEASE_S: f64 = 6.0;
pub(crate) const GANG_WAIT_S: f64 = 30.0;
pub(crate) const GANG_PEER_S: f64 = 2.0;
pub(crate) const CANCEL_S: f64 = 20.0;
/// What the settings of controllers say of the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Zones; controllers are spread over them in turn.
    pub zones: Vec<String>,
    /// The teams and their shares.
    pub teams: Vec<TeamSettings>,
    /// The objectives of classes.
    pub objectives: Vec<ObjectivePlan>,
    /// The workers' protocol.
    pub workers: WorkerTimings,
    /// Limits of the kv store.
    pub kv_limits: KvLimits,
    /// Requests to the cloud per second.
    pub cloud_requests_per_s: f64,
    /// How far the cloud's list may be behind, in seconds.
    pub list_lag_s: f64,
    /// Limits of a controller's process.
    pub quota: ControllerQuota,
}

/// The time within which most jobs of a class should be done.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectivePlan {
    /// The class of jobs.
    pub class: String,
    /// From acceptance, in seconds.
    pub within_s: f64,
}

/// Times of the workers, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerTimings {
    /// Between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// How long a worker goes on without a response.
    pub lease_s: f64,
    /// How long a member of a gang waits for the others.
    pub gang_wait_s: f64,
    /// How long a gang goes on without a member.
    pub gang_peer_s: f64,
    /// Within what time a cancelled task stops.
    pub cancel_s: f64,
}

/// Limits of the kv store.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvLimits {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Changes per second.
    #[serde(rename = "changes_per_s")]
    pub mutations_per_s: f64,
    /// The largest value, in kB.
    pub value_kb: f64,
    /// Changes of one transaction.
    #[serde(rename = "txn_changes")]
    pub txn_mutations: usize,
}

/// Limits of a controller's process.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerQuota {
    /// The part of a core.
    pub core_share: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Open connections.
    pub connections: usize,
}

impl Platform {
    /// A region on one machine: one zone, and limits that it does not reach.
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

/// The name of a controller by its position.
pub fn controller_name(index: usize) -> String {
    format!("{NAME_PREFIX}{index}")
}

/// The position of a controller by its name; `None` if there are not so many controllers.
pub fn controller_index(name: &str, controllers: usize) -> Option<usize> {
    name.strip_prefix(NAME_PREFIX)?.parse().ok().filter(|index| *index < controllers)
}

/// A controller's settings as the platform would write them.
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
