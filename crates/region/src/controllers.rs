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
pub struct Plan {
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    pub desk: SocketAddr,
    pub controllers: Vec<SocketAddr>,
    pub meshes: Vec<SocketAddr>,
}

/// A team's share of a region.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamPlan {
    pub name: String,
    pub guaranteed: f64,
    pub limit: f64,
}

/// Times of the workers, in seconds.
pub const REPORT_S: f64 = 1.0;
pub const LEASE_S: f64 = 6.0;
pub const GANG_WAIT_S: f64 = 30.0;
pub const GANG_PEER_S: f64 = 2.0;
pub const CANCEL_S: f64 = 20.0;
/// A controller that ended is started again after this.
const RESTART_MS: u64 = 3_000;

/// A controller's settings as the platform would write them.
fn settings(plan: &Plan, at: usize, teams: &[TeamPlan]) -> Value {
    let name = |at: usize| format!("node-{at}");
    let others: Vec<Value> = (0..plan.controllers.len())
        .filter(|other| *other != at)
        .map(|other| json!({"node": name(other), "zone": "here", "addr": plan.meshes[other]}))
        .collect();
    let teams: Vec<Value> = teams
        .iter()
        .map(|team| {
            json!({"name": team.name, "cpus": team.guaranteed, "cpus_max": team.limit, "gpus": 0.0, "gpus_max": 0.0})
        })
        .collect();
    json!({"node": name(at), "zone": "here", "front": plan.controllers[at], "mesh_addr": plan.meshes[at],
        "others": others, "endpoints": {"cloud": plan.cloud, "state": plan.state},
        "cluster": {"count": plan.controllers.len(), "zones": ["here"], "teams": teams, "objectives": [],
            "workers": {"report_s": REPORT_S, "lease_s": LEASE_S, "gang_wait_s": GANG_WAIT_S,
                "gang_peer_s": GANG_PEER_S, "cancel_s": CANCEL_S},
            "state": {"rps": 2000.0, "write_rps": 1000.0, "value_kb": 64.0, "txn_ops": 64},
            "cloud": {"rps": 50.0, "list_lag_s": 0.5},
            "quota": {"core_share": 1.0, "mem_mb": 256.0, "max_connections": 2000}, "time_bound_ms": 10.0}})
}

struct Controller {
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    start_at: u64,
}

pub struct Controllers {
    plan: ControllerPlan,
    tunables: PathBuf,
    all: Vec<Controller>,
}

impl Controllers {
    /// Writes what they read; `step` starts them.
    pub fn prepare(
        folder: &Path,
        how: ControllerPlan,
        plan: &Plan,
        teams: &[TeamPlan],
    ) -> io::Result<Controllers> {
        let tunables = folder.join("tunables.hcl");
        std::fs::write(&tunables, &how.tunables)?;
        let mut all = Vec::new();
        for at in 0..plan.controllers.len() {
            let file = folder.join(format!("node-{at}.json"));
            std::fs::write(&file, settings(plan, at, teams).to_string())?;
            let log = folder.join(format!("node-{at}.log"));
            all.push(Controller { settings: file, log, child: None, start_at: 0 });
        }
        Ok(Controllers { plan: how, tunables, all })
    }

    fn start(&self, at: usize) -> io::Result<Child> {
        let controller = &self.all[at];
        let log: File = OpenOptions::new().create(true).append(true).open(&controller.log)?;
        Command::new(&self.plan.program)
            .args(&self.plan.arguments)
            .arg("--tunables")
            .arg(&self.tunables)
            .arg("--config")
            .arg(&controller.settings)
            .env("LOG_LEVEL", &self.plan.log_level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            // A group of its own, as tasks have: whoever finds it left over ends it by that.
            .process_group(0)
            .spawn()
    }

    /// Starts those that are due; their process ids are remembered.
    pub fn step(&mut self, now: u64, processes: &mut Processes) -> io::Result<()> {
        for at in 0..self.all.len() {
            if let Some(child) = &mut self.all[at].child
                && child.try_wait()?.is_some()
            {
                self.all[at].child = None;
                self.all[at].start_at = now + RESTART_MS;
            }
            if self.all[at].child.is_none() && self.all[at].start_at <= now {
                let child = self.start(at)?;
                processes.remember(child.id())?;
                self.all[at].child = Some(child);
            }
        }
        Ok(())
    }

    /// The process ids of those that run, by number of the controller.
    pub fn pids(&self) -> Vec<Option<u32>> {
        self.all.iter().map(|controller| controller.child.as_ref().map(Child::id)).collect()
    }

    pub fn kill(&mut self, at: usize) {
        if let Some(child) = self.all.get_mut(at).and_then(|controller| controller.child.as_mut()) {
            // One that has ended already needs no signal; `step` finds it.
            let _ = child.kill();
        }
    }

    pub fn end_all(&mut self) {
        for controller in &mut self.all {
            if let Some(mut child) = controller.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        self.end_all();
    }
}
