//! A small deployment: controllers as processes of their own, and the stand-ins of state service, cloud, workers and users.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::cloud::{Cloud, TypeSpec};
use crate::http::{Client, Handler, Reply, Request, serve};
use crate::jobs::{Job, Jobs};
use crate::kv::{Kv, Limits};
use crate::record::Record;
use crate::worker::{Shared, Times, Worker};

const CONTROLLERS: usize = 3;
const LIMITS: Limits = Limits { rps: 100.0, write_rps: 40.0, value_kb: 8.0, txn_ops: 10 };
const REPORT_S: f64 = 2.0;
const LEASE_S: f64 = 20.0;
const CANCEL_S: f64 = 45.0;
const LIST_LAG_S: f64 = 4.0;
/// How long users wait for an answer.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const USER_RETRY: Duration = Duration::from_secs(1);
const SUBMIT_FOR: Duration = Duration::from_secs(60);

/// What differs between cases.
pub struct Plan {
    pub zones: Vec<&'static str>,
    pub types: Vec<TypeSpec>,
    /// Name, guaranteed and most CPUs.
    pub teams: Vec<(&'static str, f64, f64)>,
    /// Class, and seconds within which most of its jobs should be done.
    pub objectives: Vec<(&'static str, f64)>,
    /// How long the state service's answer to a read takes after the read was carried out.
    pub read_answer: Duration,
}

/// The running deployment. Dropping it ends the controllers.
pub struct Deployment {
    pub record: Record,
    pub cloud: Cloud,
    jobs: Jobs,
    controllers: Vec<(String, SocketAddr)>,
    processes: Vec<Child>,
    folder: PathBuf,
    next: usize,
}

/// The process ids of the controllers that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn started() -> MutexGuard<'static, Vec<u32>> {
    STARTED.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends all controllers at once.
pub fn end_controllers() {
    for id in started().drain(..) {
        let _ = Command::new("kill").arg("-9").arg(id.to_string()).status();
    }
}

/// Adds the process id to the file that the script names, so that the script can end the process when it is ended
/// itself.
fn note_process(id: u32) {
    started().push(id);
    let file = std::env::var_os("STARTED").and_then(|path| File::options().append(true).open(path).ok());
    if let Some(mut file) = file {
        let _ = writeln!(file, "{id}");
    }
}

/// Returns addresses with free ports, below the range from which the system takes ports for connections.
fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let first = 15_000 + (std::process::id() as u16 % 1_000) * 16;
    let mut listeners = Vec::new();
    for port in first..32_000 {
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            listeners.push(listener);
        }
        if listeners.len() == count {
            break;
        }
    }
    listeners.iter().map(TcpListener::local_addr).collect()
}

fn listen(handler: Handler) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    serve(listener, Arc::new(AtomicBool::new(false)), handler);
    Ok(addr)
}

impl Deployment {
    /// Starts everything. `run` is the command of the deploy file; record and logs go into `folder` and `logs`.
    pub fn start(
        root: &Path,
        run: &str,
        record: Record,
        logs: &Path,
        plan: Plan,
    ) -> Result<Deployment, String> {
        let failed = |error: std::io::Error| error.to_string();
        let fronts = free_addresses(2 * CONTROLLERS).map_err(failed)?;
        let (fronts, meshes) = fronts.split_at(CONTROLLERS);
        let names: Vec<String> = (0..CONTROLLERS).map(|index| format!("controller-{index}")).collect();
        let controllers: Vec<(String, SocketAddr)> =
            names.iter().cloned().zip(fronts.iter().copied()).collect();
        let jobs = Jobs::default();
        let times =
            Times { report: Duration::from_secs_f64(REPORT_S), lease: Duration::from_secs_f64(LEASE_S) };
        let shared = Shared {
            jobs: jobs.clone(),
            record: record.clone(),
            times,
            controllers: Arc::new(controllers.clone()),
            done: Arc::default(),
        };
        let kv = Kv::new(LIMITS, plan.read_answer);
        let state = listen(Arc::new(move |request: &Request| Some(kv.handle(request)))).map_err(failed)?;
        let cloud = Cloud::new(plan.types, &plan.zones, Duration::from_secs_f64(LIST_LAG_S), &shared);
        let served = cloud.clone();
        let cloud_addr =
            listen(Arc::new(move |request: &Request| Some(served.handle(request)))).map_err(failed)?;
        let teams: Vec<Value> = plan
            .teams
            .iter()
            .map(|(name, cpus, most)| {
                json!({"name": name, "cpus": cpus, "cpus_max": most, "gpus": 0.0, "gpus_max": 0.0})
            })
            .collect();
        let objectives: Vec<Value> = plan
            .objectives
            .iter()
            .map(|(class, within_s)| json!({"kind": "finished", "class": class, "within_s": within_s, "share": 0.9}))
            .collect();
        let zone = |index: usize| plan.zones[index % plan.zones.len()];
        let mut processes = Vec::new();
        for index in 0..CONTROLLERS {
            let others: Vec<Value> = (0..CONTROLLERS)
                .filter(|other| *other != index)
                .map(|other| json!({"node": names[other], "zone": zone(other), "addr": meshes[other].to_string()}))
                .collect();
            let settings = json!({"node": names[index], "zone": zone(index), "front": fronts[index].to_string(),
                "mesh_addr": meshes[index].to_string(), "others": others,
                "endpoints": {"cloud": cloud_addr.to_string(), "state": state.to_string()},
                "cluster": {"count": CONTROLLERS, "zones": plan.zones, "teams": teams, "objectives": objectives,
                    "workers": {"report_s": REPORT_S, "lease_s": LEASE_S, "gang_wait_s": 30.0, "gang_peer_s": 5.0,
                        "cancel_s": CANCEL_S},
                    "state": {"rps": LIMITS.rps, "write_rps": LIMITS.write_rps, "value_kb": LIMITS.value_kb,
                        "txn_ops": LIMITS.txn_ops},
                    "cloud": {"rps": 5.0, "list_lag_s": LIST_LAG_S},
                    "quota": {"core_share": 0.2, "mem_mb": 96.0, "max_connections": 1000},
                    "time_bound_ms": 50.0}});
            let file = logs.join(format!("{}.json", names[index]));
            std::fs::write(&file, settings.to_string()).map_err(failed)?;
            let log = File::create(logs.join(format!("{}.log", names[index]))).map_err(failed)?;
            let mut words = run.split_whitespace();
            let program = root.join(words.next().unwrap_or(""));
            let child = Command::new(program)
                .args(words)
                .arg(&file)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()
                .map_err(failed)?;
            record.line("platform", &format!("starts {} as process {}", names[index], child.id()));
            note_process(child.id());
            processes.push(child);
        }
        let folder = logs.to_path_buf();
        Ok(Deployment { record, cloud, jobs, controllers, processes, folder, next: 0 })
    }

    /// Waits until all controllers are ready.
    pub fn wait_until_ready(&self, within: Duration) -> Result<(), String> {
        let until = Instant::now() + within;
        let mut waiting: Vec<Client> = self.controllers.iter().map(|(_, addr)| Client::new(*addr)).collect();
        while !waiting.is_empty() {
            if Instant::now() > until {
                return Err("the controllers did not become ready".into());
            }
            waiting.retain_mut(|client| {
                !matches!(client.request("GET", "/ready", "", Duration::from_secs(1)), Ok((200, _)))
            });
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line("platform", "all controllers are ready");
        Ok(())
    }

    /// Waits until all machines have heard from a leader, and a little longer, so that it knows them.
    pub fn wait_until_led(&self, within: Duration) -> Result<(), String> {
        let until = Instant::now() + within;
        while !self.cloud.workers().iter().all(Worker::is_led) {
            if Instant::now() > until {
                return Err("the machines heard from no leader".into());
            }
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(Duration::from_secs(1));
        Ok(())
    }

    /// Returns whether all controllers still run.
    pub fn all_run(&mut self) -> bool {
        self.processes.iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a user's request to the next controller, as the load balancer does.
    fn ask(&mut self, method: &str, path: &str, body: &str, timeout: Duration) -> Option<Reply> {
        self.next += 1;
        let (name, addr) = self.controllers[self.next % self.controllers.len()].clone();
        let reply = Client::new(addr).request(method, path, body, timeout).ok();
        let text = match &reply {
            Some((status, answer)) => format!("{status} {answer}"),
            None => "no answer".into(),
        };
        self.record.line("user", &format!("{method} {path} at {name}: {text}"));
        reply
    }

    /// Uploads a job's description.
    pub fn add(&self, job: &Job) {
        self.jobs.add(job);
    }

    /// The addresses of the controllers for users.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.controllers.iter().map(|(_, address)| *address).collect()
    }

    /// Submits a job, as users do, until it is accepted.
    pub fn submit(&mut self, job: &Job) -> Result<(), String> {
        self.jobs.add(job);
        let until = Instant::now() + SUBMIT_FOR;
        self.record.line("user", &format!("submits {}", job.body));
        while Instant::now() < until {
            match self.ask("POST", "/work", &job.body.to_string(), SUBMIT_TIMEOUT) {
                Some((200 | 201, _)) => return Ok(()),
                Some((400 | 422, answer)) => return Err(format!("{} was refused: {answer}", job.uid())),
                _ => thread::sleep(USER_RETRY),
            }
        }
        Err(format!("{} was not accepted", job.uid()))
    }

    /// Cancels a job, as users do, until that is confirmed.
    pub fn cancel(&mut self, uid: &str) -> Result<(), String> {
        let until = Instant::now() + SUBMIT_FOR;
        while Instant::now() < until {
            match self.ask("POST", &format!("/work/{uid}/abort"), "", SUBMIT_TIMEOUT) {
                Some((200, _)) => return Ok(()),
                _ => thread::sleep(USER_RETRY),
            }
        }
        Err(format!("the cancellation of {uid} was not confirmed"))
    }

    /// Returns the status that a poll gives, if it gives one.
    pub fn poll(&mut self, uid: &str) -> Option<String> {
        match self.ask("GET", &format!("/work/{uid}"), "", POLL_TIMEOUT)? {
            (200, answer) => answer["status"].as_str().map(String::from),
            _ => None,
        }
    }

    /// Polls every 5 s until the job is done or the time is over. Returns whether it is done.
    pub fn wait_until_done(&mut self, uid: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        loop {
            if self.poll(uid).as_deref() == Some("done") {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            thread::sleep(left.min(Duration::from_secs(5)));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        started().clear();
        self.record.line("platform", "has ended all controllers");
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
