//! The region's one loop: sockets, processes, time. What is answered is on disk before.

use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use olivelatch_kv_store::{AuxiliaryRecord, Delta, KvEngine, StoreError, StoreFile, query_parameter};
use olivelatch_net::client::HttpClient;
use olivelatch_net::poller::{EventPoller, KeyAllocator, Registration};
use olivelatch_net::server::{ConnectionId, HttpServer, IncomingRequest, ListenerId};
use olivelatch_worker::processes::Processes;
use polling::{Event, Events};
use serde_json::{Value, json};
use signal_hook::consts::{SIGCHLD, SIGINT, SIGTERM};
use thiserror::Error;

use crate::cloud::{Cloud, MachineTypeSpec};
use crate::controllers::{ClusterAddresses, ControllerPlan, Controllers, Platform, TeamSettings};
use crate::job_store::JobStore;
use crate::machines::Machines;
use crate::task_outputs::TaskOutputs;

#[derive(Debug, Error)]
pub enum LocalClusterError {
    #[error("{what}: {error}")]
    Io { what: String, error: io::Error },
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("{file}: {error}")]
    Addresses { file: String, error: serde_json::Error },
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> LocalClusterError {
    let what = what.into();
    move |error| LocalClusterError::Io { what, error }
}

/// What a region consists of.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    pub folder: PathBuf,
    pub controllers: usize,
    pub machine_types: Vec<MachineTypeSpec>,
    /// Name, CPUs guaranteed, CPUs at most (0: no limit).
    pub teams: Vec<(String, f64, f64)>,
    pub controller_plan: ControllerPlan,
}

const KV_STORE: ListenerId = ListenerId(0);
const CLOUD_LISTENER: ListenerId = ListenerId(1);
const JOB_STORE: ListenerId = ListenerId(2);
/// Machines are served from here on.
const FIRST_MACHINE_LISTENER: usize = 16;
const TICK_INTERVAL_MS: u64 = 20;
const CLOUD_NAME: &str = "cloud";
const SIGNALS_KEY: usize = usize::MAX - 1;

/// A request for changes that waits for one.
struct PendingWatch {
    connection: ConnectionId,
    path: String,
    prefix: String,
    after: u64,
    deadline: u64,
}

pub struct LocalCluster {
    folder: PathBuf,
    poller: Arc<EventPoller>,
    keys: KeyAllocator,
    server: HttpServer,
    http_client: HttpClient,
    start: Instant,
    kv_engine: KvEngine,
    file: StoreFile,
    cloud: Cloud,
    cloud_changed: bool,
    job_store: JobStore,
    machines: Machines,
    outputs: TaskOutputs,
    processes: Processes,
    controllers: Controllers,
    addresses: ClusterAddresses,
    pending_watches: Vec<PendingWatch>,
    next_listener: usize,
    signals: Registration<UnixStream>,
    stop: Arc<AtomicBool>,
    /// Answers that wait for the disk.
    pending_responses: Vec<(ConnectionId, u16, Value)>,
    requests: u64,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// An address that is free now.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind(loopback(0))?.local_addr()
}

fn allocate_addresses(folder: &Path, controllers: usize) -> Result<ClusterAddresses, LocalClusterError> {
    let path = folder.join("region.json");
    let file = path.display().to_string();
    if let Ok(bytes) = std::fs::read(&path) {
        let plan: ClusterAddresses = serde_json::from_slice(&bytes)
            .map_err(|error| LocalClusterError::Addresses { file: file.clone(), error })?;
        if plan.controllers.len() == controllers {
            return Ok(plan);
        }
    }
    let free = || free_address().map_err(io_error("a free port"));
    let plan = ClusterAddresses {
        kv_store: free()?,
        cloud: free()?,
        job_store: free()?,
        controllers: (0..controllers).map(|_| free()).collect::<Result<_, _>>()?,
        meshes: (0..controllers).map(|_| free()).collect::<Result<_, _>>()?,
    };
    let bytes = serde_json::to_vec_pretty(&plan)
        .map_err(|error| LocalClusterError::Addresses { file: file.clone(), error })?;
    std::fs::write(&path, bytes).map_err(io_error(file))?;
    Ok(plan)
}

fn signals(gate: &Arc<EventPoller>, stop: &Arc<AtomicBool>) -> io::Result<Registration<UnixStream>> {
    let (reader, writer) = UnixStream::pair()?;
    reader.set_nonblocking(true)?;
    writer.set_nonblocking(true)?;
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    for signal in [SIGINT, SIGTERM, SIGCHLD] {
        signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
    }
    Registration::new(gate, reader, Event::readable(SIGNALS_KEY))
}

impl LocalCluster {
    /// Opens a region's folder, new or old, and serves it; `run` starts the controllers.
    pub fn open(shape: ClusterConfig) -> Result<LocalCluster, LocalClusterError> {
        let folder = shape.folder;
        let shown = folder.display().to_string();
        std::fs::create_dir_all(&folder).map_err(io_error(&shown))?;
        let (file, deltas, saved) = StoreFile::open(&folder.join("state.redb"))?;
        // Only now: who holds the file is the only one to end what an earlier region left.
        let processes = Processes::open(&folder).map_err(io_error(&shown))?;
        let plan = allocate_addresses(&folder, shape.controllers)?;
        let gate = Arc::new(EventPoller::new().map_err(io_error("the poller"))?);
        let (mut keys, mut server) = (KeyAllocator::default(), HttpServer::new(&gate));
        for (addr, port) in
            [(plan.kv_store, KV_STORE), (plan.cloud, CLOUD_LISTENER), (plan.job_store, JOB_STORE)]
        {
            server.listen(&mut keys, addr, port).map_err(io_error(format!("listening on {addr}")))?;
        }
        let stop = Arc::new(AtomicBool::new(false));
        let teams = shape.teams.into_iter();
        let teams: Vec<TeamSettings> =
            teams.map(|(name, guaranteed, limit)| TeamSettings { name, guaranteed, limit }).collect();
        let platform = Platform::local(teams);
        let controllers = Controllers::write_settings(&folder, shape.controller_plan, &plan, &platform)
            .map_err(io_error(&shown))?;
        let mut desk = JobStore::default();
        let mut cloud = restore_saved(&saved, &mut desk);
        cloud.machine_types = shape.machine_types;
        cloud.fail_all(0);
        // What was published when the region was killed is shown now.
        let outputs = TaskOutputs::new(&folder);
        for (key, value) in terminal_records(&deltas) {
            let followed = outputs.publish_on_success(&key, &value, &desk.descriptions, &desk.results);
            followed.map_err(io_error(format!("publishing {key}")))?;
        }
        Ok(LocalCluster {
            outputs,
            signals: signals(&gate, &stop).map_err(io_error("signals"))?,
            http_client: HttpClient::new(&gate),
            machines: Machines::open(&folder, plan.controllers.clone()).map_err(io_error(&shown))?,
            kv_engine: KvEngine::restore(&deltas, 0),
            start: Instant::now(),
            folder,
            poller: gate,
            keys,
            server,
            file,
            cloud,
            cloud_changed: true,
            job_store: desk,
            processes,
            controllers,
            addresses: plan,
            pending_watches: Vec::new(),
            next_listener: FIRST_MACHINE_LISTENER,
            stop,
            pending_responses: Vec::new(),
            requests: 0,
        })
    }

    pub fn addresses(&self) -> &ClusterAddresses {
        &self.addresses
    }

    /// Set, it ends `run`.
    pub fn stop_flag(&self) -> Arc<AtomicBool> {
        self.stop.clone()
    }

    fn elapsed_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Serves until it is told to stop; then all that it started is ended.
    pub fn run(mut self) -> Result<(), LocalClusterError> {
        let mut events = Events::new();
        let mut ticked = 0;
        while !self.stop.load(Ordering::Relaxed) {
            events.clear();
            match self.poller.wait(&mut events, Duration::from_millis(TICK_INTERVAL_MS)) {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(io_error("the poller")(error)),
            }
            let now = self.elapsed_ms();
            let ready: Vec<usize> = events.iter().map(|event| event.key).collect();
            for key in ready {
                self.handle_event(key, now)?;
            }
            self.machines.step_workers(now, &mut self.job_store, &mut self.processes);
            if now >= ticked + TICK_INTERVAL_MS {
                ticked = now;
                self.tick(now)?;
            }
            self.commit()?;
            self.machines.send_heartbeats(&mut self.keys, &mut self.http_client, now);
        }
        self.controllers.stop_all();
        self.processes.kill_all();
        Ok(())
    }

    fn handle_event(&mut self, key: usize, now: u64) -> Result<(), LocalClusterError> {
        if key == SIGNALS_KEY {
            let mut bytes = [0; 64];
            // What matters is that it woke us.
            while matches!(self.signals.source().read(&mut bytes), Ok(n) if n > 0) {}
            return self.signals.set_interest(true, false).map_err(io_error("signals"));
        }
        if self.server.owns_key(key) {
            let mut next = self.server.handle_event(&mut self.keys, key, now);
            while let Some(incoming) = next {
                next = self.handle_request(incoming, now);
            }
        } else if self.http_client.owns_key(key)
            && let Some((slot, response)) = self.http_client.handle_event(key)
        {
            self.machines.handle_response(slot, response.as_ref(), &self.job_store, now);
        }
        Ok(())
    }

    /// Works on a request; its answer goes out after the next commit.
    fn handle_request(&mut self, incoming: IncomingRequest, now: u64) -> Option<IncomingRequest> {
        self.requests += 1;
        let IncomingRequest { connection: conn, listener: port, request } = incoming;
        let (method, path, body) = (request.method.as_str(), request.path.as_str(), request.body.as_slice());
        let (status, body) = match port {
            KV_STORE => {
                if let Some(waiting) = self.pending_watch(conn, method, path, now) {
                    self.pending_watches.push(waiting);
                    return None;
                }
                self.kv_engine.handle_request(method, path, body, now)
            }
            CLOUD_LISTENER => {
                self.cloud_changed |= method == "POST";
                self.cloud.handle_request(method, path, body, now)
            }
            JOB_STORE => {
                let known = self.job_store.handle_request(&self.folder, method, path, body);
                known.unwrap_or_else(|| self.describe_cluster(method, path))
            }
            port => self.machines.handle_request(port, method, path, body, &self.job_store, now),
        };
        self.pending_responses.push((conn, status, body));
        None
    }

    /// A request for changes that has none to give yet and may wait for them.
    fn pending_watch(&self, conn: ConnectionId, method: &str, path: &str, now: u64) -> Option<PendingWatch> {
        if method != "GET" || !path.starts_with("/changes?") {
            return None;
        }
        let value = |name: &str| query_parameter(path, name);
        let block_ms = value("block_ms")?.parse::<u64>().ok().filter(|ms| *ms > 0)?.min(60_000);
        let after = value("after")?.parse().ok()?;
        let prefix = value("starts").unwrap_or("").to_string();
        let wait = !self.kv_engine.has_changed(&prefix, after);
        wait.then(|| PendingWatch {
            connection: conn,
            path: path.into(),
            prefix,
            after,
            deadline: now + block_ms,
        })
    }

    fn answer_due_watches(&mut self, now: u64) {
        let (due, rest): (Vec<PendingWatch>, Vec<PendingWatch>) = std::mem::take(&mut self.pending_watches)
            .into_iter()
            .partition(|w| w.deadline <= now || self.kv_engine.has_changed(&w.prefix, w.after));
        self.pending_watches = rest;
        for waiting in due {
            let (status, body) = self.kv_engine.handle_request("GET", &waiting.path, b"", now);
            self.pending_responses.push((waiting.connection, status, body));
        }
    }

    /// The region as `olivelatchctl` and tests see it.
    fn describe_cluster(&mut self, method: &str, path: &str) -> (u16, Value) {
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (method, parts.as_slice()) {
            ("GET", ["region"]) => {
                let machines = self.machines.names();
                (
                    200,
                    json!({"plan": self.addresses, "folder": self.folder, "machines": machines,
                    "busy": self.machines.running_tasks(), "processes": self.processes.running_count(),
                    "pids": self.controllers.pids(), "revision": self.kv_engine.revision(), "requests": self.requests}),
                )
            }
            // For demonstrations and tests: as if the controller's process had crashed.
            ("POST", ["controllers", at, "kill"]) => match at.parse::<usize>() {
                Ok(at) if at < self.addresses.controllers.len() => {
                    self.controllers.kill_controller(at);
                    (200, json!({"killed": at}))
                }
                _ => (404, json!({"error": "no such controller"})),
            },
            _ => (404, json!({"error": "no such path"})),
        }
    }

    fn tick(&mut self, now: u64) -> Result<(), LocalClusterError> {
        self.kv_engine.expire_leases(now);
        for (slot, response) in self.http_client.expire_calls(now) {
            self.machines.handle_response(slot, response.as_ref(), &self.job_store, now);
        }
        self.server.close_idle(now);
        self.reconcile_machines(now)?;
        self.controllers.restart_exited(now, &mut self.processes).map_err(io_error("starting a controller"))
    }

    /// Machines come up when they are due, and go when they were returned.
    fn reconcile_machines(&mut self, now: u64) -> Result<(), LocalClusterError> {
        let up: Vec<usize> = (0..self.cloud.machines.len())
            .filter(|at| {
                let machine = &self.cloud.machines[*at];
                !machine.failed && machine.ready_at <= now && !self.machines.has_machine(&machine.name)
            })
            .collect();
        for at in up {
            let port = ListenerId(self.next_listener);
            self.next_listener += 1;
            let endpoint = self.server.listen(&mut self.keys, loopback(0), port);
            let endpoint = endpoint.map_err(io_error("a worker's port"))?;
            let rented = &mut self.cloud.machines[at];
            rented.endpoint = endpoint.to_string();
            let rented = rented.clone();
            if let Some(kind) = self.cloud.machine_type(&rented.machine_type) {
                self.machines.add_machine(&rented, kind, endpoint, port, &self.job_store, now);
            }
        }
        for name in self.machines.names() {
            let there = self.cloud.machines.iter().any(|machine| machine.name == name && !machine.failed);
            if !there
                && let Some(port) =
                    self.machines.remove_machine(&name, &mut self.processes, &mut self.http_client)
            {
                self.server.close_listener(port);
            }
        }
        self.cloud.released.clear();
        Ok(())
    }

    /// What changed goes to disk, then the answers go out.
    fn commit(&mut self) -> Result<(), LocalClusterError> {
        let now = self.elapsed_ms();
        self.answer_due_watches(now);
        let deltas = self.kv_engine.take_deltas();
        let ends = terminal_records(&deltas);
        let mut beside = self.job_store.take_unsaved();
        if std::mem::take(&mut self.cloud_changed) {
            let bytes = serde_json::to_vec(&self.cloud)
                .map_err(|error| LocalClusterError::Addresses { file: CLOUD_NAME.into(), error })?;
            beside.push(AuxiliaryRecord { name: CLOUD_NAME.into(), bytes: Some(bytes) });
        }
        self.file.commit(&deltas, &beside)?;
        for (key, value) in ends {
            let followed = self.outputs.publish_on_success(
                &key,
                &value,
                &self.job_store.descriptions,
                &self.job_store.results,
            );
            followed.map_err(io_error(format!("publishing {key}")))?;
        }
        for (conn, status, body) in std::mem::take(&mut self.pending_responses) {
            let bytes = serde_json::to_vec(&body).unwrap_or_default();
            // The next request of the connection, if it is there already, waits for the next commit.
            let mut next = self.server.respond(conn, status, &bytes);
            while let Some(incoming) = next {
                next = self.handle_request(incoming, now);
            }
        }
        Ok(())
    }
}

/// Ends of jobs among changes.
fn terminal_records(deltas: &[Delta]) -> Vec<(String, Value)> {
    let ends = deltas.iter().filter_map(|delta| match delta {
        Delta::Put { key, value, .. } if key.starts_with("olivelatch/end/") => {
            Some((key.clone(), value.clone()))
        }
        _ => None,
    });
    ends.collect()
}

/// The cloud and the desk as an earlier life of the region left them.
fn restore_saved(saved: &[AuxiliaryRecord], desk: &mut JobStore) -> Cloud {
    let mut cloud = Cloud::default();
    for one in saved {
        if desk.restore(one) {
            continue;
        }
        if one.name == CLOUD_NAME
            && let Some(known) = one.bytes.as_deref().and_then(|bytes| serde_json::from_slice(bytes).ok())
        {
            cloud = known;
        }
    }
    cloud
}
