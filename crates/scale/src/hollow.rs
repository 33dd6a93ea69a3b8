//! A zone's hollow workers in one process: the worker's own rules and real HTTP, tasks and fetches simulated.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use olivelatch_net::caller::{Caller, Slot};
use olivelatch_net::http::Response;
use olivelatch_net::poll::{Gate, Keys};
use olivelatch_net::server::{Conn, HttpServer, Incoming, Port};
use olivelatch_region::controller_place;
use olivelatch_worker::{
    Descriptions, GangTimes, Phase, ReportAnswer, ReportTimes, Reporter, TaskAttempt, Worker, coordinate,
};
use polling::Events;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::control::{HollowMachine, TaskEvent, TaskEventKind, ZoneCommand, ZoneNews};
use crate::error::{ScaleError, io_error};
use crate::plan::Defect;

/// What a process of hollow workers is started with.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ZoneArguments {
    /// Where the run commands it.
    pub control: SocketAddr,
    pub controllers: Vec<SocketAddr>,
    /// The begin of the run, in milliseconds since 1970: times of all processes count from there.
    pub epoch_ms: u64,
    pub report_ms: u64,
    pub lease_ms: u64,
    pub gang_wait_ms: u64,
    pub gang_peer_ms: u64,
    pub seed: u64,
    pub defect: Option<Defect>,
}

/// The address at which the run is served; workers' ports come after it.
const CONTROL: Port = Port(0);
const WAIT_MS: u64 = 20;
/// Gangs are looked at this often.
const GANGS_MS: u64 = 100;
/// Least time between a report and one that a change asks for, and before the next controller is tried.
const CHANGE_MS: u64 = 500;
const RETRY_MS: u64 = 1_000;
const PATIENCE_MS: u64 = 4_000;
/// A run that says nothing for so long is over: its processes end.
const ORPHAN_MS: u64 = 15_000;
/// Head of a message of the run itself, which is no control traffic of workers.
const HEAD_BYTES: u64 = 200;

/// A clock that all processes of a run share.
pub(crate) struct RunClock {
    start: Instant,
    offset_ms: u64,
}

impl RunClock {
    pub(crate) fn new(epoch_ms: u64) -> RunClock {
        RunClock { start: Instant::now(), offset_ms: unix_ms().saturating_sub(epoch_ms) }
    }

    pub(crate) fn now(&self) -> u64 {
        self.offset_ms + self.start.elapsed().as_millis() as u64
    }
}

/// The time of day in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// How far a task on a worker has come, as it was last told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Observed {
    On,
    Runs,
    Off,
}

/// A worker, its address, its reports, and what was told of its tasks.
struct Hollow {
    port: Port,
    reporter: Reporter,
    observed: BTreeMap<(String, u64), Observed>,
}

struct Zone {
    arguments: ZoneArguments,
    times: ReportTimes,
    clock: RunClock,
    gate: Arc<Gate>,
    keys: Keys,
    server: HttpServer,
    caller: Caller,
    random: StdRng,
    workers: Vec<Worker>,
    hollows: Vec<Hollow>,
    /// Places in the lists by port.
    by_port: HashMap<Port, usize>,
    next_port: usize,
    jobs: Descriptions,
    broken: BTreeMap<(String, u64), u64>,
    gangs_next: u64,
    cut: bool,
    /// Requests that came in while the zone was cut off: nobody answers them.
    unheard: Vec<Conn>,
    news: ZoneNews,
    /// Bytes of the run's own messages.
    own_bytes: (u64, u64),
    commanded: u64,
}

/// Serves a zone's hollow workers until the run ends.
pub fn serve_zone(arguments: ZoneArguments) -> Result<(), ScaleError> {
    let mut zone = Zone::new(arguments)?;
    let mut events = Events::new();
    while zone.clock.now() < zone.commanded + ORPHAN_MS {
        events.clear();
        zone.gate.wait(&mut events, Duration::from_millis(WAIT_MS)).map_err(io_error("the poller"))?;
        let ready: Vec<usize> = events.iter().map(|event| event.key).collect();
        for key in ready {
            zone.event(key)?;
        }
        zone.step();
    }
    Ok(())
}

impl Zone {
    fn new(arguments: ZoneArguments) -> Result<Zone, ScaleError> {
        let gate = Arc::new(Gate::new().map_err(io_error("the poller"))?);
        let (mut keys, mut server) = (Keys::default(), HttpServer::new(&gate));
        server
            .listen(&mut keys, arguments.control, CONTROL)
            .map_err(io_error(format!("listening on {}", arguments.control)))?;
        let clock = RunClock::new(arguments.epoch_ms);
        Ok(Zone {
            times: ReportTimes {
                every_ms: arguments.report_ms,
                change_ms: CHANGE_MS,
                retry_ms: RETRY_MS,
                patience_ms: PATIENCE_MS,
            },
            caller: Caller::new(&gate),
            random: StdRng::seed_from_u64(arguments.seed),
            commanded: clock.now(),
            clock,
            gate,
            keys,
            server,
            workers: Vec::new(),
            hollows: Vec::new(),
            by_port: HashMap::new(),
            next_port: CONTROL.0 + 1,
            jobs: Descriptions::new(),
            broken: BTreeMap::new(),
            gangs_next: 0,
            cut: false,
            unheard: Vec::new(),
            news: ZoneNews::default(),
            own_bytes: (0, 0),
            arguments,
        })
    }

    fn event(&mut self, key: usize) -> Result<(), ScaleError> {
        let now = self.clock.now();
        if self.server.owns(key) {
            let mut next = self.server.event(&mut self.keys, key, now);
            while let Some(incoming) = next {
                next = self.request(incoming, now)?;
            }
        } else if self.caller.owns(key)
            && let Some((slot, response)) = self.caller.event(key)
        {
            self.answered(slot, response.as_ref(), now);
        }
        Ok(())
    }

    fn request(&mut self, incoming: Incoming, now: u64) -> Result<Option<Incoming>, ScaleError> {
        let Incoming { conn, port, request } = incoming;
        if port == CONTROL {
            let body = self.command(&request.body, now)?;
            self.own_bytes.0 += request.body.len() as u64 + HEAD_BYTES;
            self.own_bytes.1 += body.len() as u64 + HEAD_BYTES;
            return Ok(self.server.answer(conn, 200, &body));
        }
        if self.cut {
            self.unheard.push(conn);
            return Ok(None);
        }
        let (status, body) = self.order(port, &request.method, &request.path, &request.body, now);
        Ok(self.server.answer(conn, status, body.to_string().as_bytes()))
    }

    /// A command straight from a controller, or a look at the worker.
    fn order(&mut self, port: Port, method: &str, path: &str, body: &[u8], now: u64) -> (u16, Value) {
        let Some(at) = self.by_port.get(&port).copied() else {
            return (404, json!({"error": "no such machine"}));
        };
        match (method, path) {
            ("POST", "/orders") => {
                self.news.commands += 1;
                let body = self.with_defect(serde_json::from_slice(body).unwrap_or(Value::Null));
                self.workers[at].direct(body.to_string().as_bytes(), now, &self.jobs)
            }
            ("GET", "/status") => (200, self.workers[at].report(now)),
            _ => (404, json!({"error": "no such path"})),
        }
    }

    /// Commands as a worker with the plan's defect takes them.
    fn with_defect(&self, mut body: Value) -> Value {
        if self.arguments.defect == Some(Defect::IgnoreHalts)
            && let Some(orders) = body["orders"].as_array_mut()
        {
            orders.retain(|order| order["verb"] != "halt");
        }
        body
    }

    fn command(&mut self, body: &[u8], now: u64) -> Result<Vec<u8>, ScaleError> {
        let json = |error| ScaleError::Json { what: "a command of the run".into(), error };
        self.commanded = now;
        let commands: Vec<ZoneCommand> = serde_json::from_slice(body).map_err(json)?;
        for command in commands {
            match command {
                ZoneCommand::Boot(machine) => self.boot(machine, now)?,
                ZoneCommand::Drop(name) => self.drop_worker(&name, now),
                ZoneCommand::Describe(job) => drop(self.jobs.insert(job.job.clone(), job.into())),
                ZoneCommand::Cut(cut) => self.cut(cut),
            }
        }
        self.observe(now);
        let calls = &self.gate.calls;
        self.news.until_ms = now;
        self.news.workers = self.workers.len();
        self.news.on = self.hollows.iter().map(Hollow::on).sum();
        self.news.bytes_in = calls.bytes_read.load(Ordering::Relaxed).saturating_sub(self.own_bytes.0);
        self.news.bytes_out = calls.bytes_written.load(Ordering::Relaxed).saturating_sub(self.own_bytes.1);
        let body = serde_json::to_vec(&self.news).map_err(json)?;
        self.news.events.clear();
        Ok(body)
    }

    fn boot(&mut self, machine: HollowMachine, now: u64) -> Result<(), ScaleError> {
        let port = Port(self.next_port);
        self.next_port += 1;
        let endpoint = machine.endpoint.clone();
        let address = endpoint.parse().map_err(|_| ScaleError::Process(format!("no address: {endpoint}")))?;
        self.server
            .listen(&mut self.keys, address, port)
            .map_err(io_error(format!("listening on {endpoint}")))?;
        // Workers that come up together do not report together.
        let first = now + self.random.random_range(0..self.times.every_ms.max(1));
        let controller = self.random.random_range(0..self.arguments.controllers.len());
        self.by_port.insert(port, self.workers.len());
        self.workers.push(Worker::new(machine.into(), now));
        let reporter = Reporter::new(controller, first);
        self.hollows.push(Hollow { port, reporter, observed: BTreeMap::new() });
        Ok(())
    }

    fn drop_worker(&mut self, name: &str, now: u64) {
        let Some(at) = self.workers.iter().position(|worker| worker.machine.name == name) else { return };
        self.observe(now);
        self.workers.swap_remove(at);
        let hollow = self.hollows.swap_remove(at);
        for (key, observed) in &hollow.observed {
            if *observed != Observed::Off {
                self.news.events.push(told(now, name, key, TaskEventKind::Off));
            }
        }
        self.by_port.remove(&hollow.port);
        if let Some(moved) = self.hollows.get(at) {
            self.by_port.insert(moved.port, at);
        }
        self.server.close_port(hollow.port);
        self.caller.hang_up(Slot(hollow.port.0));
    }

    fn cut(&mut self, cut: bool) {
        self.cut = cut;
        if cut {
            // Reports on their way are lost.
            let slots: Vec<Slot> = self.hollows.iter().map(|hollow| Slot(hollow.port.0)).collect();
            let now = self.clock.now();
            for slot in slots {
                self.caller.hang_up(slot);
                self.answered(slot, None, now);
            }
            return;
        }
        for conn in std::mem::take(&mut self.unheard) {
            // Whoever asked has given up; what it asked for is not carried out.
            self.server.answer(conn, 503, b"{}");
        }
    }

    /// An answer to a report, or none.
    fn answered(&mut self, slot: Slot, response: Option<&Response>, now: u64) {
        let Some(at) = self.by_port.get(&Port(slot.0)).copied() else { return };
        let body = response.and_then(|response| serde_json::from_slice(&response.body).ok());
        let body = self.with_defect(body.unwrap_or(Value::Null));
        let status = response.map_or(0, |response| response.status);
        self.news.answered += u64::from(status == 200);
        let controllers = self.arguments.controllers.len();
        let place = |name: &str| controller_place(name, controllers);
        let (worker, reporter) = (&mut self.workers[at], &mut self.hollows[at].reporter);
        let answer = ReportAnswer { status, body: &body };
        reporter.answered(worker, answer, now, self.times, &self.jobs, place);
    }

    /// Time passes on all workers: what is due happens, is told, and is reported.
    fn step(&mut self) {
        let now = self.clock.now();
        for (slot, response) in self.caller.expire(now) {
            self.answered(slot, response.as_ref(), now);
        }
        self.server.expire(now);
        for worker in &mut self.workers {
            worker.step(now, self.arguments.lease_ms, &self.jobs);
            worker.started.clear();
            worker.take_effects();
        }
        if now >= self.gangs_next {
            self.gangs_next = now + GANGS_MS;
            let times =
                GangTimes { wait_ms: self.arguments.gang_wait_ms, peer_ms: self.arguments.gang_peer_ms };
            coordinate(&mut self.workers, now, times, &self.jobs, &mut self.broken);
        }
        self.observe(now);
        if !self.cut {
            self.report(now);
        }
    }

    fn report(&mut self, now: u64) {
        for at in 0..self.workers.len() {
            let (worker, hollow) = (&mut self.workers[at], &mut self.hollows[at]);
            if !hollow.reporter.due(worker, now, self.times) {
                continue;
            }
            // The protocol's interval, plus or minus a quarter.
            let quarter = self.times.every_ms / 4;
            let jitter = self.random.random_range(0..=2 * quarter);
            let times = ReportTimes { every_ms: self.times.every_ms - quarter, ..self.times };
            let mut body = hollow.reporter.send(worker, now, times, jitter);
            if self.arguments.defect == Some(Defect::HideTasks) {
                body["pieces"] = json!([]);
            }
            self.news.reports += 1;
            let controllers = &self.arguments.controllers;
            let address = controllers[hollow.reporter.controller(controllers.len())];
            let slot = Slot(hollow.port.0);
            let body = body.to_string();
            let request = ("POST", "/v1/report", body.as_bytes());
            if !self.caller.call(&mut self.keys, slot, address, request, now + PATIENCE_MS) {
                self.answered(slot, None, now);
            }
        }
    }

    /// What became of the tasks since the last look.
    fn observe(&mut self, now: u64) {
        for (worker, hollow) in self.workers.iter().zip(&mut self.hollows) {
            hollow.observe(worker, now, &mut self.news.events);
        }
    }
}

fn told(at_ms: u64, worker: &str, (task, attempt): &(String, u64), kind: TaskEventKind) -> TaskEvent {
    TaskEvent { at_ms, worker: worker.into(), task: task.clone(), attempt: *attempt, kind }
}

impl Hollow {
    fn on(&self) -> usize {
        self.observed.values().filter(|observed| **observed != Observed::Off).count()
    }

    fn observe(&mut self, worker: &Worker, now: u64, events: &mut Vec<TaskEvent>) {
        let name = &worker.machine.name;
        for piece in worker.attempts.iter().filter(|piece| piece.on) {
            self.observe_attempt(name, piece, now, events);
        }
        // What was killed with its session, or reaped, is not in the list any more.
        self.observed.retain(|key, observed| {
            let there = worker.attempts.iter().any(|piece| piece.attempt == key.1 && piece.task == key.0);
            if !there && *observed != Observed::Off {
                events.push(told(now, name, key, TaskEventKind::Off));
            }
            there
        });
    }

    fn observe_attempt(&mut self, worker: &str, piece: &TaskAttempt, now: u64, events: &mut Vec<TaskEvent>) {
        let key = (piece.task.clone(), piece.attempt);
        let before = self.observed.get(&key).copied();
        let after = match piece.phase {
            Phase::Fetching { .. } | Phase::Gathering { .. } => Observed::On,
            Phase::Ended { .. } => Observed::Off,
            _ => Observed::Runs,
        };
        if before == Some(after) {
            return;
        }
        let mut tell = |kind| events.push(told(now, worker, &key, kind));
        if before.is_none() {
            tell(TaskEventKind::On);
        }
        match (after, &piece.phase) {
            (Observed::Runs, _) => tell(TaskEventKind::Runs),
            (Observed::Off, Phase::Ended { cause: "done", .. }) => tell(TaskEventKind::Done),
            (Observed::Off, _) => tell(TaskEventKind::Off),
            (Observed::On, _) => {}
        }
        self.observed.insert(key, after);
    }
}
