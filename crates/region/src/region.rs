//! The region's one loop: sockets, processes, time. What is answered is on disk before.

use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use olivelatch_net::caller::Caller;
use olivelatch_net::poll::{Gate, Keys, Watch};
use olivelatch_net::server::{Conn, HttpServer, Incoming, Port};
use olivelatch_store::{Delta, Engine, File, Saved, StoreError, query};
use olivelatch_worker::processes::Processes;
use polling::{Event, Events};
use serde_json::{Value, json};
use signal_hook::consts::{SIGCHLD, SIGINT, SIGTERM};
use thiserror::Error;

use crate::cloud::{Cloud, KindSpec};
use crate::controllers::{ControllerPlan, Controllers, Plan, Platform, TeamPlan};
use crate::desk::Desk;
use crate::machines::Machines;
use crate::outputs::Outputs;

#[derive(Debug, Error)]
pub enum RegionError {
    #[error("{what}: {error}")]
    Io { what: String, error: io::Error },
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("{file}: {error}")]
    Plan { file: String, error: serde_json::Error },
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> RegionError {
    let what = what.into();
    move |error| RegionError::Io { what, error }
}

/// What a region consists of.
#[derive(Debug, Clone)]
pub struct Shape {
    pub folder: PathBuf,
    pub controllers: usize,
    pub kinds: Vec<KindSpec>,
    /// Name, CPUs guaranteed, CPUs at most (0: no limit).
    pub teams: Vec<(String, f64, f64)>,
    pub how: ControllerPlan,
}

const STATE: Port = Port(0);
const CLOUD: Port = Port(1);
const DESK: Port = Port(2);
/// Machines are served from here on.
const FIRST_MACHINE: usize = 16;
const TICK_MS: u64 = 20;
const CLOUD_NAME: &str = "cloud";
const SIGNALS: usize = usize::MAX - 1;

/// A request for changes that waits for one.
struct Waiting {
    conn: Conn,
    path: String,
    prefix: String,
    after: u64,
    until: u64,
}

pub struct Region {
    folder: PathBuf,
    gate: Arc<Gate>,
    keys: Keys,
    server: HttpServer,
    caller: Caller,
    start: Instant,
    engine: Engine,
    file: File,
    cloud: Cloud,
    cloud_changed: bool,
    desk: Desk,
    machines: Machines,
    outputs: Outputs,
    processes: Processes,
    controllers: Controllers,
    plan: Plan,
    waiting: Vec<Waiting>,
    next_port: usize,
    signals: Watch<UnixStream>,
    stop: Arc<AtomicBool>,
    /// Answers that wait for the disk.
    answers: Vec<(Conn, u16, Value)>,
    requests: u64,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// An address that is free now.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind(loopback(0))?.local_addr()
}

fn plan_addresses(folder: &Path, controllers: usize) -> Result<Plan, RegionError> {
    let path = folder.join("region.json");
    let file = path.display().to_string();
    if let Ok(bytes) = std::fs::read(&path) {
        let plan: Plan = serde_json::from_slice(&bytes)
            .map_err(|error| RegionError::Plan { file: file.clone(), error })?;
        if plan.controllers.len() == controllers {
            return Ok(plan);
        }
    }
    let free = || free_address().map_err(io_error("a free port"));
    let plan = Plan {
        state: free()?,
        cloud: free()?,
        desk: free()?,
        controllers: (0..controllers).map(|_| free()).collect::<Result<_, _>>()?,
        meshes: (0..controllers).map(|_| free()).collect::<Result<_, _>>()?,
    };
    let bytes =
        serde_json::to_vec_pretty(&plan).map_err(|error| RegionError::Plan { file: file.clone(), error })?;
    std::fs::write(&path, bytes).map_err(io_error(file))?;
    Ok(plan)
}

fn signals(gate: &Arc<Gate>, stop: &Arc<AtomicBool>) -> io::Result<Watch<UnixStream>> {
    let (reader, writer) = UnixStream::pair()?;
    reader.set_nonblocking(true)?;
    writer.set_nonblocking(true)?;
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    for signal in [SIGINT, SIGTERM, SIGCHLD] {
        signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
    }
    Watch::new(gate, reader, Event::readable(SIGNALS))
}

impl Region {
    /// Opens a region's folder, new or old, and serves it; `run` starts the controllers.
    pub fn open(shape: Shape) -> Result<Region, RegionError> {
        let folder = shape.folder;
        let shown = folder.display().to_string();
        std::fs::create_dir_all(&folder).map_err(io_error(&shown))?;
        let (file, deltas, saved) = File::open(&folder.join("state.redb"))?;
        // Only now: who holds the file is the only one to end what an earlier region left.
        let processes = Processes::open(&folder).map_err(io_error(&shown))?;
        let plan = plan_addresses(&folder, shape.controllers)?;
        let gate = Arc::new(Gate::new().map_err(io_error("the poller"))?);
        let (mut keys, mut server) = (Keys::default(), HttpServer::new(&gate));
        for (addr, port) in [(plan.state, STATE), (plan.cloud, CLOUD), (plan.desk, DESK)] {
            server.listen(&mut keys, addr, port).map_err(io_error(format!("listening on {addr}")))?;
        }
        let stop = Arc::new(AtomicBool::new(false));
        let teams = shape.teams.into_iter();
        let teams: Vec<TeamPlan> =
            teams.map(|(name, guaranteed, limit)| TeamPlan { name, guaranteed, limit }).collect();
        let platform = Platform::local(teams);
        let controllers =
            Controllers::prepare(&folder, shape.how, &plan, &platform).map_err(io_error(&shown))?;
        let mut desk = Desk::default();
        let mut cloud = restore(&saved, &mut desk);
        cloud.kinds = shape.kinds;
        cloud.all_failed(0);
        // What was published when the region was killed is shown now.
        let outputs = Outputs::new(&folder);
        for (key, value) in ends_of(&deltas) {
            let followed = outputs.follow(&key, &value, &desk.descriptions, &desk.results);
            followed.map_err(io_error(format!("publishing {key}")))?;
        }
        Ok(Region {
            outputs,
            signals: signals(&gate, &stop).map_err(io_error("signals"))?,
            caller: Caller::new(&gate),
            machines: Machines::open(&folder, plan.controllers.clone()).map_err(io_error(&shown))?,
            engine: Engine::restored(&deltas, 0),
            start: Instant::now(),
            folder,
            gate,
            keys,
            server,
            file,
            cloud,
            cloud_changed: true,
            desk,
            processes,
            controllers,
            plan,
            waiting: Vec::new(),
            next_port: FIRST_MACHINE,
            stop,
            answers: Vec::new(),
            requests: 0,
        })
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Set, it ends `run`.
    pub fn stopper(&self) -> Arc<AtomicBool> {
        self.stop.clone()
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Serves until it is told to stop; then all that it started is ended.
    pub fn run(mut self) -> Result<(), RegionError> {
        let mut events = Events::new();
        let mut ticked = 0;
        while !self.stop.load(Ordering::Relaxed) {
            events.clear();
            match self.gate.wait(&mut events, Duration::from_millis(TICK_MS)) {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(io_error("the poller")(error)),
            }
            let now = self.now();
            let ready: Vec<usize> = events.iter().map(|event| event.key).collect();
            for key in ready {
                self.event(key, now)?;
            }
            self.machines.step(now, &mut self.desk, &mut self.processes);
            if now >= ticked + TICK_MS {
                ticked = now;
                self.tick(now)?;
            }
            self.commit()?;
            self.machines.report(&mut self.keys, &mut self.caller, now);
        }
        self.controllers.end_all();
        self.processes.end_all();
        Ok(())
    }

    fn event(&mut self, key: usize, now: u64) -> Result<(), RegionError> {
        if key == SIGNALS {
            let mut bytes = [0; 64];
            // What matters is that it woke us.
            while matches!(self.signals.source().read(&mut bytes), Ok(n) if n > 0) {}
            return self.signals.want(true, false).map_err(io_error("signals"));
        }
        if self.server.owns(key) {
            let mut next = self.server.event(&mut self.keys, key, now);
            while let Some(incoming) = next {
                next = self.request(incoming, now);
            }
        } else if self.caller.owns(key)
            && let Some((slot, response)) = self.caller.event(key)
        {
            self.machines.answered(slot, response.as_ref(), &self.desk, now);
        }
        Ok(())
    }

    /// Works on a request; its answer goes out after the next commit.
    fn request(&mut self, incoming: Incoming, now: u64) -> Option<Incoming> {
        self.requests += 1;
        let Incoming { conn, port, request } = incoming;
        let (method, path, body) = (request.method.as_str(), request.path.as_str(), request.body.as_slice());
        let (status, body) = match port {
            STATE => {
                if let Some(waiting) = self.watch(conn, method, path, now) {
                    self.waiting.push(waiting);
                    return None;
                }
                self.engine.call(method, path, body, now)
            }
            CLOUD => {
                self.cloud_changed |= method == "POST";
                self.cloud.call(method, path, body, now)
            }
            DESK => {
                let known = self.desk.call(&self.folder, method, path, body);
                known.unwrap_or_else(|| self.about(method, path))
            }
            port => self.machines.request(port, method, path, body, &self.desk, now),
        };
        self.answers.push((conn, status, body));
        None
    }

    /// A request for changes that has none to give yet and may wait for them.
    fn watch(&self, conn: Conn, method: &str, path: &str, now: u64) -> Option<Waiting> {
        if method != "GET" || !path.starts_with("/changes?") {
            return None;
        }
        let value = |name: &str| query(path, name);
        let block_ms = value("block_ms")?.parse::<u64>().ok().filter(|ms| *ms > 0)?.min(60_000);
        let after = value("after")?.parse().ok()?;
        let prefix = value("starts").unwrap_or("").to_string();
        let wait = !self.engine.has_changed(&prefix, after);
        wait.then(|| Waiting { conn, path: path.into(), prefix, after, until: now + block_ms })
    }

    fn wake_watchers(&mut self, now: u64) {
        let (due, rest): (Vec<Waiting>, Vec<Waiting>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| w.until <= now || self.engine.has_changed(&w.prefix, w.after));
        self.waiting = rest;
        for waiting in due {
            let (status, body) = self.engine.call("GET", &waiting.path, b"", now);
            self.answers.push((waiting.conn, status, body));
        }
    }

    /// The region as `latch` and tests see it.
    fn about(&mut self, method: &str, path: &str) -> (u16, Value) {
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (method, parts.as_slice()) {
            ("GET", ["region"]) => {
                let machines = self.machines.names();
                (
                    200,
                    json!({"plan": self.plan, "folder": self.folder, "machines": machines,
                    "busy": self.machines.busy(), "processes": self.processes.count(),
                    "pids": self.controllers.pids(), "revision": self.engine.revision(), "requests": self.requests}),
                )
            }
            // For demonstrations and tests: as if the controller's process had crashed.
            ("POST", ["controllers", at, "kill"]) => match at.parse::<usize>() {
                Ok(at) if at < self.plan.controllers.len() => {
                    self.controllers.kill(at);
                    (200, json!({"killed": at}))
                }
                _ => (404, json!({"error": "no such controller"})),
            },
            _ => (404, json!({"error": "no such path"})),
        }
    }

    fn tick(&mut self, now: u64) -> Result<(), RegionError> {
        self.engine.tick(now);
        for (slot, response) in self.caller.expire(now) {
            self.machines.answered(slot, response.as_ref(), &self.desk, now);
        }
        self.server.expire(now);
        self.follow_cloud(now)?;
        self.controllers.step(now, &mut self.processes).map_err(io_error("starting a controller"))
    }

    /// Machines come up when they are due, and go when they were returned.
    fn follow_cloud(&mut self, now: u64) -> Result<(), RegionError> {
        let up: Vec<usize> = (0..self.cloud.machines.len())
            .filter(|at| {
                let machine = &self.cloud.machines[*at];
                !machine.failed && machine.up_at <= now && !self.machines.has(&machine.name)
            })
            .collect();
        for at in up {
            let port = Port(self.next_port);
            self.next_port += 1;
            let endpoint = self.server.listen(&mut self.keys, loopback(0), port);
            let endpoint = endpoint.map_err(io_error("a worker's port"))?;
            let rented = &mut self.cloud.machines[at];
            rented.endpoint = endpoint.to_string();
            let rented = rented.clone();
            if let Some(kind) = self.cloud.kind(&rented.kind) {
                self.machines.boot(&rented, kind, endpoint, port, &self.desk, now);
            }
        }
        for name in self.machines.names() {
            let there = self.cloud.machines.iter().any(|machine| machine.name == name && !machine.failed);
            if !there
                && let Some(port) = self.machines.drop_machine(&name, &mut self.processes, &mut self.caller)
            {
                self.server.close_port(port);
            }
        }
        self.cloud.released.clear();
        Ok(())
    }

    /// What changed goes to disk, then the answers go out.
    fn commit(&mut self) -> Result<(), RegionError> {
        let now = self.now();
        self.wake_watchers(now);
        let deltas = self.engine.take_deltas();
        let ends = ends_of(&deltas);
        let mut beside = self.desk.take_unsaved();
        if std::mem::take(&mut self.cloud_changed) {
            let bytes = serde_json::to_vec(&self.cloud)
                .map_err(|error| RegionError::Plan { file: CLOUD_NAME.into(), error })?;
            beside.push(Saved { name: CLOUD_NAME.into(), bytes: Some(bytes) });
        }
        self.file.commit(&deltas, &beside)?;
        for (key, value) in ends {
            let followed = self.outputs.follow(&key, &value, &self.desk.descriptions, &self.desk.results);
            followed.map_err(io_error(format!("publishing {key}")))?;
        }
        for (conn, status, body) in std::mem::take(&mut self.answers) {
            let bytes = serde_json::to_vec(&body).unwrap_or_default();
            // The next request of the connection, if it is there already, waits for the next commit.
            let mut next = self.server.answer(conn, status, &bytes);
            while let Some(incoming) = next {
                next = self.request(incoming, now);
            }
        }
        Ok(())
    }
}

/// Ends of jobs among changes.
fn ends_of(deltas: &[Delta]) -> Vec<(String, Value)> {
    let ends = deltas.iter().filter_map(|delta| match delta {
        Delta::Put { key, value, .. } if key.starts_with("olivelatch/end/") => {
            Some((key.clone(), value.clone()))
        }
        _ => None,
    });
    ends.collect()
}

/// The cloud and the desk as an earlier life of the region left them.
fn restore(saved: &[Saved], desk: &mut Desk) -> Cloud {
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
