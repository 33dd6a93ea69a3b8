//! A zone's hollow workers in one process: the worker's own rules and real HTTP, tasks and fetches simulated.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use olivelatch_local_cluster::controller_index;
use olivelatch_net::client::{CallSlot, HttpClient};
use olivelatch_net::http::Response;
use olivelatch_net::poller::{EventPoller, KeyAllocator};
use olivelatch_net::server::{ConnectionId, HttpServer, IncomingRequest, ListenerId};
use olivelatch_worker::{
    AttemptPhase, GangTimes, HeartbeatResponse, HeartbeatSender, HeartbeatTimes, JobDescriptions,
    TaskAttempt, Worker, coordinate_gangs,
};
use polling::Events;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::control::{SimulatedMachine, TaskEvent, TaskEventKind, ZoneCommand, ZoneStatus};
use crate::error::{ScaleError, io_error};
use crate::plan::Defect;

/// What a process of hollow workers is started with.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ZoneProcessArguments {
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
const CONTROL_LISTENER: ListenerId = ListenerId(0);
const POLL_MS: u64 = 20;
/// Gangs are looked at this often.
const GANG_CHECK_MS: u64 = 100;
/// Least time between a report and one that a change asks for, and before the next controller is tried.
const MIN_HEARTBEAT_GAP_MS: u64 = 500;
const RETRY_MS: u64 = 1_000;
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
/// A run that says nothing for so long is over: its processes end.
const CONTROL_TIMEOUT_MS: u64 = 15_000;
/// Head of a message of the run itself, which is no control traffic of workers.
const MESSAGE_HEAD_BYTES: u64 = 200;

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
enum ObservedPhase {
    Placed,
    Running,
    Removed,
}

/// A worker, its address, its reports, and what was told of its tasks.
struct SimulatedWorker {
    listener: ListenerId,
    reporter: HeartbeatSender,
    observed: BTreeMap<(String, u64), ObservedPhase>,
}

struct Zone {
    arguments: ZoneProcessArguments,
    heartbeat_times: HeartbeatTimes,
    clock: RunClock,
    poller: Arc<EventPoller>,
    keys: KeyAllocator,
    server: HttpServer,
    http_client: HttpClient,
    rng: StdRng,
    workers: Vec<Worker>,
    simulated_workers: Vec<SimulatedWorker>,
    /// Places in the lists by port.
    worker_by_listener: HashMap<ListenerId, usize>,
    next_listener: usize,
    jobs: JobDescriptions,
    broken_gangs: BTreeMap<(String, u64), u64>,
    next_gang_check: u64,
    partitioned: bool,
    /// Requests that came in while the zone was cut off: nobody answers them.
    unanswered_connections: Vec<ConnectionId>,
    status: ZoneStatus,
    /// Bytes of the run's own messages.
    control_bytes: (u64, u64),
    last_command_at: u64,
}

/// Serves a zone's simulated workers until the run ends.
///
/// # Errors
///
/// A listener cannot be opened or polled.
pub fn serve_zone(arguments: ZoneProcessArguments) -> Result<(), ScaleError> {
    let mut zone = Zone::new(arguments)?;
    let mut events = Events::new();
    while zone.clock.now() < zone.last_command_at + CONTROL_TIMEOUT_MS {
        events.clear();
        zone.poller.wait(&mut events, Duration::from_millis(POLL_MS)).map_err(io_error("the poller"))?;
        let ready: Vec<usize> = events.iter().map(|event| event.key).collect();
        for key in ready {
            zone.handle_event(key)?;
        }
        zone.step();
    }
    Ok(())
}

impl Zone {
    fn new(arguments: ZoneProcessArguments) -> Result<Zone, ScaleError> {
        let gate = Arc::new(EventPoller::new().map_err(io_error("the poller"))?);
        let (mut keys, mut server) = (KeyAllocator::default(), HttpServer::new(&gate));
        server
            .listen(&mut keys, arguments.control, CONTROL_LISTENER)
            .map_err(io_error(format!("listening on {}", arguments.control)))?;
        let clock = RunClock::new(arguments.epoch_ms);
        Ok(Zone {
            heartbeat_times: HeartbeatTimes {
                interval_ms: arguments.report_ms,
                min_change_interval_ms: MIN_HEARTBEAT_GAP_MS,
                retry_ms: RETRY_MS,
                response_timeout_ms: HEARTBEAT_TIMEOUT_MS,
            },
            http_client: HttpClient::new(&gate),
            rng: StdRng::seed_from_u64(arguments.seed),
            last_command_at: clock.now(),
            clock,
            poller: gate,
            keys,
            server,
            workers: Vec::new(),
            simulated_workers: Vec::new(),
            worker_by_listener: HashMap::new(),
            next_listener: CONTROL_LISTENER.0 + 1,
            jobs: JobDescriptions::new(),
            broken_gangs: BTreeMap::new(),
            next_gang_check: 0,
            partitioned: false,
            unanswered_connections: Vec::new(),
            status: ZoneStatus::default(),
            control_bytes: (0, 0),
            arguments,
        })
    }

    fn handle_event(&mut self, key: usize) -> Result<(), ScaleError> {
        let now = self.clock.now();
        if self.server.owns_key(key) {
            let mut next = self.server.handle_event(&mut self.keys, key, now);
            while let Some(incoming) = next {
                next = self.handle_request(incoming, now)?;
            }
        } else if self.http_client.owns_key(key)
            && let Some((slot, response)) = self.http_client.handle_event(key)
        {
            self.handle_response(slot, response.as_ref(), now);
        }
        Ok(())
    }

    fn handle_request(
        &mut self,
        incoming: IncomingRequest,
        now: u64,
    ) -> Result<Option<IncomingRequest>, ScaleError> {
        let IncomingRequest { connection: conn, listener: port, request } = incoming;
        if port == CONTROL_LISTENER {
            let body = self.handle_control_message(&request.body, now)?;
            self.control_bytes.0 += request.body.len() as u64 + MESSAGE_HEAD_BYTES;
            self.control_bytes.1 += body.len() as u64 + MESSAGE_HEAD_BYTES;
            return Ok(self.server.respond(conn, 200, &body));
        }
        if self.partitioned {
            self.unanswered_connections.push(conn);
            return Ok(None);
        }
        let (status, body) =
            self.handle_worker_command(port, &request.method, &request.path, &request.body, now);
        Ok(self.server.respond(conn, status, body.to_string().as_bytes()))
    }

    /// A command straight from a controller, or a look at the worker.
    fn handle_worker_command(
        &mut self,
        port: ListenerId,
        method: &str,
        path: &str,
        body: &[u8],
        now: u64,
    ) -> (u16, Value) {
        let Some(at) = self.worker_by_listener.get(&port).copied() else {
            return (404, json!({"error": "no such machine"}));
        };
        match (method, path) {
            ("POST", "/orders") => {
                self.status.commands_received += 1;
                let body = self.apply_defect(serde_json::from_slice(body).unwrap_or(Value::Null));
                self.workers[at].handle_direct_command(body.to_string().as_bytes(), now, &self.jobs)
            }
            ("GET", "/status") => (200, self.workers[at].heartbeat(now)),
            _ => (404, json!({"error": "no such path"})),
        }
    }

    /// Commands as a worker with the plan's defect takes them.
    fn apply_defect(&self, mut body: Value) -> Value {
        if self.arguments.defect == Some(Defect::IgnoreStops)
            && let Some(orders) = body["orders"].as_array_mut()
        {
            orders.retain(|order| order["verb"] != "halt");
        }
        body
    }

    fn handle_control_message(&mut self, body: &[u8], now: u64) -> Result<Vec<u8>, ScaleError> {
        let json = |error| ScaleError::Json { what: "a command of the run".into(), error };
        self.last_command_at = now;
        let commands: Vec<ZoneCommand> = serde_json::from_slice(body).map_err(json)?;
        for command in commands {
            match command {
                ZoneCommand::Boot(machine) => self.boot_worker(machine, now)?,
                ZoneCommand::Remove(name) => self.remove_worker(&name, now),
                ZoneCommand::Describe(job) => drop(self.jobs.insert(job.job.clone(), job.into())),
                ZoneCommand::SetPartitioned(cut) => self.set_partitioned(cut),
            }
        }
        self.observe_workers(now);
        let calls = &self.poller.syscalls;
        self.status.until_ms = now;
        self.status.workers = self.workers.len();
        self.status.tasks_on_machines =
            self.simulated_workers.iter().map(SimulatedWorker::tasks_on_machine).sum();
        self.status.bytes_in = calls.bytes_read.load(Ordering::Relaxed).saturating_sub(self.control_bytes.0);
        self.status.bytes_out =
            calls.bytes_written.load(Ordering::Relaxed).saturating_sub(self.control_bytes.1);
        let body = serde_json::to_vec(&self.status).map_err(json)?;
        self.status.events.clear();
        Ok(body)
    }

    fn boot_worker(&mut self, machine: SimulatedMachine, now: u64) -> Result<(), ScaleError> {
        let port = ListenerId(self.next_listener);
        self.next_listener += 1;
        let endpoint = machine.endpoint.clone();
        let address = endpoint.parse().map_err(|_| ScaleError::Process(format!("no address: {endpoint}")))?;
        self.server
            .listen(&mut self.keys, address, port)
            .map_err(io_error(format!("listening on {endpoint}")))?;
        // Workers that come up together do not report together.
        let first = now + self.rng.random_range(0..self.heartbeat_times.interval_ms.max(1));
        let controller = self.rng.random_range(0..self.arguments.controllers.len());
        self.worker_by_listener.insert(port, self.workers.len());
        self.workers.push(Worker::new(machine.into(), now));
        let reporter = HeartbeatSender::new(controller, first);
        self.simulated_workers.push(SimulatedWorker { listener: port, reporter, observed: BTreeMap::new() });
        Ok(())
    }

    fn remove_worker(&mut self, name: &str, now: u64) {
        let Some(at) = self.workers.iter().position(|worker| worker.machine.name == name) else { return };
        self.observe_workers(now);
        self.workers.swap_remove(at);
        let hollow = self.simulated_workers.swap_remove(at);
        for (key, observed) in &hollow.observed {
            if *observed != ObservedPhase::Removed {
                self.status.events.push(task_event(now, name, key, TaskEventKind::Removed));
            }
        }
        self.worker_by_listener.remove(&hollow.listener);
        if let Some(moved) = self.simulated_workers.get(at) {
            self.worker_by_listener.insert(moved.listener, at);
        }
        self.server.close_listener(hollow.listener);
        self.http_client.abort_call(CallSlot(hollow.listener.0));
    }

    fn set_partitioned(&mut self, cut: bool) {
        self.partitioned = cut;
        if cut {
            // Reports on their way are lost.
            let slots: Vec<CallSlot> =
                self.simulated_workers.iter().map(|hollow| CallSlot(hollow.listener.0)).collect();
            let now = self.clock.now();
            for slot in slots {
                self.http_client.abort_call(slot);
                self.handle_response(slot, None, now);
            }
            return;
        }
        for conn in std::mem::take(&mut self.unanswered_connections) {
            // Whoever asked has given up; what it asked for is not carried out.
            self.server.respond(conn, 503, b"{}");
        }
    }

    /// An answer to a report, or none.
    fn handle_response(&mut self, slot: CallSlot, response: Option<&Response>, now: u64) {
        let Some(at) = self.worker_by_listener.get(&ListenerId(slot.0)).copied() else { return };
        let body = response.and_then(|response| serde_json::from_slice(&response.body).ok());
        let body = self.apply_defect(body.unwrap_or(Value::Null));
        let status = response.map_or(0, |response| response.status);
        self.status.heartbeats_acknowledged += u64::from(status == 200);
        let controllers = self.arguments.controllers.len();
        let place = |name: &str| controller_index(name, controllers);
        let (worker, reporter) = (&mut self.workers[at], &mut self.simulated_workers[at].reporter);
        let answer = HeartbeatResponse { status, body: &body };
        reporter.handle_response(worker, answer, now, self.heartbeat_times, &self.jobs, place);
    }

    /// Time passes on all workers: what is due happens, is told, and is reported.
    fn step(&mut self) {
        let now = self.clock.now();
        for (slot, response) in self.http_client.expire_calls(now) {
            self.handle_response(slot, response.as_ref(), now);
        }
        self.server.close_idle(now);
        for worker in &mut self.workers {
            worker.advance(now, self.arguments.lease_ms, &self.jobs);
            worker.started_tasks.clear();
            worker.take_process_actions();
        }
        if now >= self.next_gang_check {
            self.next_gang_check = now + GANG_CHECK_MS;
            let times = GangTimes {
                gather_timeout_ms: self.arguments.gang_wait_ms,
                peer_loss_timeout_ms: self.arguments.gang_peer_ms,
            };
            coordinate_gangs(&mut self.workers, now, times, &self.jobs, &mut self.broken_gangs);
        }
        self.observe_workers(now);
        if !self.partitioned {
            self.send_heartbeats(now);
        }
    }

    fn send_heartbeats(&mut self, now: u64) {
        for at in 0..self.workers.len() {
            let (worker, hollow) = (&mut self.workers[at], &mut self.simulated_workers[at]);
            if !hollow.reporter.is_due(worker, now, self.heartbeat_times) {
                continue;
            }
            // The protocol's interval, plus or minus a quarter.
            let quarter = self.heartbeat_times.interval_ms / 4;
            let jitter = self.rng.random_range(0..=2 * quarter);
            let times = HeartbeatTimes {
                interval_ms: self.heartbeat_times.interval_ms - quarter,
                ..self.heartbeat_times
            };
            let mut body = hollow.reporter.send(worker, now, times, jitter);
            if self.arguments.defect == Some(Defect::HideTasks) {
                body["pieces"] = json!([]);
            }
            self.status.heartbeats_sent += 1;
            let controllers = &self.arguments.controllers;
            let address = controllers[hollow.reporter.current_controller(controllers.len())];
            let slot = CallSlot(hollow.listener.0);
            let body = body.to_string();
            let request = ("POST", "/v1/report", body.as_bytes());
            if !self.http_client.send_request(
                &mut self.keys,
                slot,
                address,
                request,
                now + HEARTBEAT_TIMEOUT_MS,
            ) {
                self.handle_response(slot, None, now);
            }
        }
    }

    /// What became of the tasks since the last look.
    fn observe_workers(&mut self, now: u64) {
        for (worker, hollow) in self.workers.iter().zip(&mut self.simulated_workers) {
            hollow.observe(worker, now, &mut self.status.events);
        }
    }
}

fn task_event(at_ms: u64, worker: &str, (task, attempt): &(String, u64), kind: TaskEventKind) -> TaskEvent {
    TaskEvent { at_ms, worker: worker.into(), task: task.clone(), attempt: *attempt, kind }
}

impl SimulatedWorker {
    fn tasks_on_machine(&self) -> usize {
        self.observed.values().filter(|observed| **observed != ObservedPhase::Removed).count()
    }

    fn observe(&mut self, worker: &Worker, now: u64, events: &mut Vec<TaskEvent>) {
        let name = &worker.machine.name;
        for piece in worker.attempts.iter().filter(|piece| piece.has_image) {
            self.record_attempt_phase(name, piece, now, events);
        }
        // What was killed with its session, or reaped, is not in the list any more.
        self.observed.retain(|key, observed| {
            let there = worker.attempts.iter().any(|piece| piece.attempt == key.1 && piece.task == key.0);
            if !there && *observed != ObservedPhase::Removed {
                events.push(task_event(now, name, key, TaskEventKind::Removed));
            }
            there
        });
    }

    fn record_attempt_phase(
        &mut self,
        worker: &str,
        piece: &TaskAttempt,
        now: u64,
        events: &mut Vec<TaskEvent>,
    ) {
        let key = (piece.task.clone(), piece.attempt);
        let before = self.observed.get(&key).copied();
        let after = match piece.phase {
            AttemptPhase::FetchingImage { .. } | AttemptPhase::WaitingForGang { .. } => ObservedPhase::Placed,
            AttemptPhase::Ended { .. } => ObservedPhase::Removed,
            _ => ObservedPhase::Running,
        };
        if before == Some(after) {
            return;
        }
        let mut tell = |kind| events.push(task_event(now, worker, &key, kind));
        if before.is_none() {
            tell(TaskEventKind::Placed);
        }
        match (after, &piece.phase) {
            (ObservedPhase::Running, _) => tell(TaskEventKind::Started),
            (ObservedPhase::Removed, AttemptPhase::Ended { cause: "done", .. }) => {
                tell(TaskEventKind::Completed);
            }
            (ObservedPhase::Removed, _) => tell(TaskEventKind::Removed),
            (ObservedPhase::Placed, _) => {}
        }
        self.observed.insert(key, after);
    }
}
