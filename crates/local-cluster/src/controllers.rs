//! Controllers as child processes: their settings, their logs, and their restarts.

use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use olivelatch_worker::processes::Processes;

/// Which program a controller is, and what it is told beside its settings.
#[derive(Debug, Clone)]
pub struct ControllerPlan {
    /// The program and the arguments before `--tunables FILE --config FILE`.
    pub program: PathBuf,
    pub arguments: Vec<String>,
    /// The text of the tunables file (HCL).
    pub tunables: String,
    pub log_level: String,
}

/// Where a region's parts listen. Kept beside the state, so that clients find them again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClusterAddresses {
    #[serde(rename = "state")]
    pub kv_store: SocketAddr,
    pub cloud: SocketAddr,
    #[serde(rename = "desk")]
    pub job_store: SocketAddr,
    pub controllers: Vec<SocketAddr>,
    pub meshes: Vec<SocketAddr>,
}

/// A team's share of a region.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamSettings {
    pub name: String,
    pub guaranteed: f64,
    pub limit: f64,
}

/// Times of the workers, in seconds.
pub const HEARTBEAT_S: f64 = 1.0;
pub const LEASE_S: f64 = 6.0;
pub const GANG_WAIT_S: f64 = 30.0;
pub const GANG_PEER_S: f64 = 2.0;
pub const CANCEL_S: f64 = 20.0;
/// A controller that ended is started again after this.
const RESTART_DELAY_MS: u64 = 3_000;

/// What controllers are told of the platform they run on.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Zones; controllers are spread over them in turn.
    pub zones: Vec<String>,
    pub teams: Vec<TeamSettings>,
    pub objectives: Vec<ObjectivePlan>,
    pub workers: WorkerTimings,
    pub kv_limits: KvLimits,
    pub cloud_requests_per_s: f64,
    pub list_lag_s: f64,
    pub quota: ControllerQuota,
}

/// Within what time most jobs of a class should be done.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectivePlan {
    pub class: String,
    pub within_s: f64,
}

/// Times of the workers, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerTimings {
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

/// What the state service allows.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvLimits {
    pub requests_per_s: f64,
    #[serde(rename = "changes_per_s")]
    pub mutations_per_s: f64,
    pub value_kb: f64,
    #[serde(rename = "txn_changes")]
    pub txn_mutations: usize,
}

/// What a controller may use: part of a core, MB, sockets.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerQuota {
    pub core_share: f64,
    pub memory_mb: f64,
    pub connections: usize,
}

impl Platform {
    /// A region on one machine: one zone, generous limits.
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

/// The name of a controller by its place in the list.
pub fn controller_name(at: usize) -> String {
    format!("node-{at}")
}

/// The place of a controller by its name, of so many.
pub fn controller_index(name: &str, controllers: usize) -> Option<usize> {
    name.strip_prefix("node-")?.parse().ok().filter(|at| *at < controllers)
}

/// A controller's settings as the platform would write them.
pub fn controller_settings(plan: &ClusterAddresses, at: usize, platform: &Platform) -> Value {
    let zone = |at: usize| &platform.zones[at % platform.zones.len()];
    let others: Vec<Value> = (0..plan.controllers.len())
        .filter(|other| *other != at)
        .map(|other| json!({"node": controller_name(other), "zone": zone(other), "addr": plan.meshes[other]}))
        .collect();
    let teams: Vec<Value> = platform
        .teams
        .iter()
        .map(|team| {
            json!({"name": team.name, "cpus": team.guaranteed, "cpus_max": team.limit, "gpus": 0.0, "gpus_max": 0.0})
        })
        .collect();
    let aims: Vec<Value> = platform
        .objectives
        .iter()
        .map(|aim| json!({"kind": "finished", "class": aim.class, "within_s": aim.within_s}))
        .collect();
    let (workers, state, quota) = (&platform.workers, &platform.kv_limits, &platform.quota);
    json!({"node": controller_name(at), "zone": zone(at), "front": plan.controllers[at], "mesh_addr": plan.meshes[at],
        "others": others, "endpoints": {"cloud": plan.cloud, "state": plan.kv_store},
        "cluster": {"count": plan.controllers.len(), "zones": platform.zones, "teams": teams, "objectives": aims,
            "workers": {"report_s": workers.heartbeat_s, "lease_s": workers.lease_s, "gang_wait_s": workers.gang_wait_s,
                "gang_peer_s": workers.gang_peer_s, "cancel_s": workers.cancel_s},
            "state": {"rps": state.requests_per_s, "write_rps": state.mutations_per_s, "value_kb": state.value_kb,
                "txn_ops": state.txn_mutations},
            "cloud": {"rps": platform.cloud_requests_per_s, "list_lag_s": platform.list_lag_s},
            "quota": {"core_share": quota.core_share, "mem_mb": quota.memory_mb, "max_connections": quota.connections},
            "time_bound_ms": 10.0}})
}

struct Controller {
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    restart_at: u64,
}

pub struct Controllers {
    controller_plan: ControllerPlan,
    tunables: PathBuf,
    controllers: Vec<Controller>,
}

impl Controllers {
    /// Writes what they read; `step` starts them.
    pub fn write_settings(
        folder: &Path,
        how: ControllerPlan,
        plan: &ClusterAddresses,
        platform: &Platform,
    ) -> io::Result<Controllers> {
        let tunables = folder.join("tunables.hcl");
        std::fs::write(&tunables, &how.tunables)?;
        let mut all = Vec::new();
        for at in 0..plan.controllers.len() {
            let file = folder.join(format!("node-{at}.json"));
            std::fs::write(&file, controller_settings(plan, at, platform).to_string())?;
            let log = folder.join(format!("node-{at}.log"));
            all.push(Controller { settings: file, log, child: None, restart_at: 0 });
        }
        Ok(Controllers { controller_plan: how, tunables, controllers: all })
    }

    fn start_controller(&self, at: usize) -> io::Result<Child> {
        let controller = &self.controllers[at];
        let log: File = OpenOptions::new().create(true).append(true).open(&controller.log)?;
        Command::new(&self.controller_plan.program)
            .args(&self.controller_plan.arguments)
            .arg("--tunables")
            .arg(&self.tunables)
            .arg("--config")
            .arg(&controller.settings)
            .env("LOG_LEVEL", &self.controller_plan.log_level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            // A group of its own, as tasks have: whoever finds it left over ends it by that.
            .process_group(0)
            .spawn()
    }

    /// Starts those that are due; their process ids are remembered.
    pub fn restart_exited(&mut self, now: u64, processes: &mut Processes) -> io::Result<()> {
        for at in 0..self.controllers.len() {
            if let Some(child) = &mut self.controllers[at].child
                && child.try_wait()?.is_some()
            {
                self.controllers[at].child = None;
                self.controllers[at].restart_at = now + RESTART_DELAY_MS;
            }
            if self.controllers[at].child.is_none() && self.controllers[at].restart_at <= now {
                let child = self.start_controller(at)?;
                processes.record_pid(child.id())?;
                self.controllers[at].child = Some(child);
            }
        }
        Ok(())
    }

    /// The process ids of those that run, by number of the controller.
    pub fn pids(&self) -> Vec<Option<u32>> {
        self.controllers.iter().map(|controller| controller.child.as_ref().map(Child::id)).collect()
    }

    pub fn kill_controller(&mut self, at: usize) {
        if let Some(child) = self.controllers.get_mut(at).and_then(|controller| controller.child.as_mut()) {
            // One that has ended already needs no signal; `step` finds it.
            let _ = child.kill();
        }
    }

    pub fn stop_all(&mut self) {
        for controller in &mut self.controllers {
            if let Some(mut child) = controller.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        self.stop_all();
    }
}
