//! A small deployment on loopback: the project's controllers as separate processes, started with the command of the
//! deploy file, and the stand-ins that they talk to.

use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::cloud::{Cloud, Plan};
use crate::http::Client;
use crate::json::{Json, num, obj, string};
use crate::link::Link;
use crate::rec;
use crate::store::{Limits, Store};
use crate::worker::{Node, Timings};
use crate::world::{Job, World};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

/// The settings of a deployment.
pub struct Site {
    pub nodes: Vec<(&'static str, &'static str)>,
    pub teams: Vec<(&'static str, f64, f64)>,
    pub timings: Timings,
    pub cancel_s: f64,
    pub objectives: Vec<(&'static str, f64)>,
    pub plan: Plan,
    pub store_rps: f64,
    pub store_write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
}

pub struct Controller {
    pub name: String,
    pub front: SocketAddr,
    pub store_link: Link,
    pub cloud_link: Link,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
    command: Vec<String>,
}

pub struct Cluster {
    pub controllers: Vec<Controller>,
    pub store: Store,
    pub cloud: Cloud,
    pub world: World,
    folder: PathBuf,
    ready: Arc<Mutex<Vec<bool>>>,
}

fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("free port")
}

/// The command that the deploy file gives for a controller.
fn deploy_command(root: &str) -> Vec<String> {
    let text = std::fs::read_to_string(format!("{root}/deploy/service.toml")).expect("deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("run line");
    let mut words: Vec<String> = line.trim().trim_matches('"').split(' ').map(String::from).collect();
    words[0] = format!("{root}/{}", words[0]);
    words
}

impl Cluster {
    pub fn start(site: Site) -> Cluster {
        let root = std::env::var("ROOT").unwrap_or_else(|_| ".".into());
        let command = deploy_command(&root);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let world = World::default();
        {
            let mut facts = world.facts();
            facts.limits = site.teams.iter().map(|(name, _, most)| (name.to_string(), *most)).collect();
        }
        let store =
            Store::start(Limits { txn_ops: site.txn_ops, value_bytes: (site.value_kb * 1024.0) as usize });
        let fronts: Vec<SocketAddr> = site.nodes.iter().map(|_| free_addr()).collect();
        let meshes: Vec<SocketAddr> = site.nodes.iter().map(|_| free_addr()).collect();
        let nodes: Vec<Node> = site
            .nodes
            .iter()
            .zip(&fronts)
            .map(|((name, _), front)| Node { name: name.to_string(), front: *front })
            .collect();
        let cloud_rps = site.cloud_rps;
        let list_lag_s = site.plan.list_lag_s;
        let cloud = Cloud::start(site.plan, site.timings, nodes, world.clone());
        let mut zones: Vec<&str> = site.nodes.iter().map(|(_, zone)| *zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let controllers = (0..site.nodes.len())
            .map(|index| {
                let (name, zone) = site.nodes[index];
                let (store_link, cloud_link) = (Link::new(), Link::new());
                let others = (0..site.nodes.len())
                    .filter(|other| *other != index)
                    .map(|other| {
                        let (node, zone) = site.nodes[other];
                        obj(vec![
                            ("node", string(node)),
                            ("zone", string(zone)),
                            ("addr", string(meshes[other].to_string())),
                        ])
                    })
                    .collect();
                let teams = site.teams.iter().map(|(team, cpus, most)| {
                    obj(vec![
                        ("name", string(*team)),
                        ("cpus", num(cpus)),
                        ("cpus_max", num(most)),
                        ("gpus", num(0)),
                        ("gpus_max", num(0)),
                    ])
                });
                let objectives = site.objectives.iter().map(|(class, within)| {
                    obj(vec![
                        ("kind", string("finished")),
                        ("class", string(*class)),
                        ("within_s", num(within)),
                        ("share", num(0.8)),
                    ])
                });
                let settings = obj(vec![
                    ("node", string(name)),
                    ("zone", string(zone)),
                    ("front", string(fronts[index].to_string())),
                    ("mesh_addr", string(meshes[index].to_string())),
                    ("others", Json::Arr(others)),
                    (
                        "endpoints",
                        obj(vec![
                            ("cloud", string(cloud.endpoint(name, cloud_link.clone()).to_string())),
                            ("state", string(store.endpoint(name, store_link.clone()).to_string())),
                        ]),
                    ),
                    (
                        "cluster",
                        obj(vec![
                            ("count", num(site.nodes.len())),
                            ("zones", Json::Arr(zones.iter().map(|zone| string(*zone)).collect())),
                            ("teams", Json::Arr(teams.collect())),
                            ("objectives", Json::Arr(objectives.collect())),
                            (
                                "workers",
                                obj(vec![
                                    ("report_s", num(site.timings.report_s)),
                                    ("lease_s", num(site.timings.lease_s)),
                                    ("gang_wait_s", num(site.timings.gang_wait_s)),
                                    ("gang_peer_s", num(site.timings.gang_peer_s)),
                                    ("cancel_s", num(site.cancel_s)),
                                ]),
                            ),
                            (
                                "state",
                                obj(vec![
                                    ("rps", num(site.store_rps)),
                                    ("write_rps", num(site.store_write_rps)),
                                    ("value_kb", num(site.value_kb)),
                                    ("txn_ops", num(site.txn_ops)),
                                ]),
                            ),
                            ("cloud", obj(vec![("rps", num(cloud_rps)), ("list_lag_s", num(list_lag_s))])),
                            (
                                "quota",
                                obj(vec![
                                    ("core_share", num(0.2)),
                                    ("mem_mb", num(96)),
                                    ("max_connections", num(1000)),
                                ]),
                            ),
                            ("time_bound_ms", num(100)),
                        ]),
                    ),
                ]);
                let path = folder.join(format!("{name}.json"));
                std::fs::write(&path, settings.text()).expect("settings file");
                Controller {
                    name: name.into(),
                    front: fronts[index],
                    store_link,
                    cloud_link,
                    log: folder.join(format!("{name}.log")),
                    settings: path,
                    process: Mutex::new(None),
                    command: command.clone(),
                }
            })
            .collect::<Vec<Controller>>();
        let ready = Arc::new(Mutex::new(vec![false; controllers.len()]));
        let cluster = Cluster { controllers, store, cloud, world, folder, ready };
        for (index, controller) in cluster.controllers.iter().enumerate() {
            controller.start();
            cluster.probe(index);
        }
        cluster
    }

    /// Asks a controller every second whether it is ready, as the load balancer does.
    fn probe(&self, index: usize) {
        let (front, ready) = (self.controllers[index].front, self.ready.clone());
        std::thread::spawn(move || {
            loop {
                let answer = Client::new(front).call("GET", "/ready", "", Duration::from_secs(1));
                ready.lock().expect("ready")[index] = answer.is_some_and(|(status, _)| status == 200);
                std::thread::sleep(Duration::from_millis(500));
            }
        });
    }

    pub fn controller(&self, name: &str) -> &Controller {
        self.controllers.iter().find(|controller| controller.name == name).expect("controller")
    }

    /// Waits until all controllers are ready.
    pub fn wait_ready(&self, within_s: f64) -> bool {
        let until = crate::record::now() + within_s;
        while crate::record::now() < until {
            if self.ready.lock().expect("ready").iter().all(|ready| *ready) && self.store.leader().is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// One request of a user to a node that is ready.
    pub fn ask(&self, method: &str, path: &str, body: &str, timeout_s: f64) -> Option<(u16, String)> {
        let nodes: Vec<usize> = self
            .ready
            .lock()
            .expect("ready")
            .iter()
            .enumerate()
            .filter(|(_, ready)| **ready)
            .map(|(index, _)| index)
            .collect();
        let pick = (crate::record::now() * 1000.0) as usize % nodes.len().max(1);
        let controller = &self.controllers[*nodes.get(pick)?];
        self.ask_node(controller, method, path, body, timeout_s)
    }

    pub fn ask_node(
        &self,
        node: &Controller,
        method: &str,
        path: &str,
        body: &str,
        timeout_s: f64,
    ) -> Option<(u16, String)> {
        let answer = Client::new(node.front).call(method, path, body, Duration::from_secs_f64(timeout_s));
        match &answer {
            Some((status, text)) => rec!("user {} {method} {path} -> {status} {text}", node.name),
            None => rec!("user {} {method} {path} -> no answer", node.name),
        }
        answer
    }

    /// Submits a job as a user does: repeats until it is accepted or 60 s are over.
    pub fn submit(&self, job: &Job) -> bool {
        self.world.facts().jobs.insert(job.uid.clone(), job.clone());
        let body = job.body();
        rec!("user submits {body}");
        let until = crate::record::now() + 60.0;
        while crate::record::now() < until {
            match self.ask("POST", "/work", &body, 5.0) {
                Some((200 | 201, _)) => return true,
                Some((400 | 422, _)) => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        false
    }

    /// The state that a node tells of a job.
    pub fn poll(&self, uid: &str) -> Option<(u16, String)> {
        let (status, text) = self.ask("GET", &format!("/work/{uid}"), "", 2.0)?;
        let state = Json::parse(&text).map(|body| body.get("status").str().to_string()).unwrap_or_default();
        if state == "done" && !self.world.is_done(uid) {
            self.world.violation("not_done", &format!("{uid} is called done before its tasks are"));
        }
        Some((status, state))
    }

    /// The last lines of a controller's log, for the record.
    pub fn record_logs(&self) {
        for controller in &self.controllers {
            if let Ok(text) = std::fs::read_to_string(&controller.log) {
                for line in text.lines().rev().take(400).collect::<Vec<_>>().into_iter().rev() {
                    rec!("log {line}");
                }
            }
        }
    }
}

impl Controller {
    pub fn start(&self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("log file");
        let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
        let mut command = Command::new(&self.command[0]);
        // SAFETY: one system call in the new process: it ends with this program, however this program ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command
            .args(&self.command[1..])
            .arg(&self.settings)
            .env("LOG_LEVEL", level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("controller starts");
        rec!("controller {} starts (process {})", self.name, child.id());
        *self.process.lock().expect("process") = Some(child);
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.process.lock().expect("process").take() {
            let _ = child.kill();
            let _ = child.wait();
            rec!("controller {} killed", self.name);
        }
    }

    pub fn signal(&self, stopped: bool) {
        if let Some(child) = self.process.lock().expect("process").as_ref() {
            // SAFETY: signals a process that this program started and has not waited for.
            unsafe { kill(child.id() as i32, if stopped { SIGSTOP } else { SIGCONT }) };
            rec!("controller {} {}", self.name, if stopped { "stands still" } else { "goes on" });
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for controller in &self.controllers {
            controller.signal(false);
            controller.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
