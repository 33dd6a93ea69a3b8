//! A region in virtual time: real controllers (coordination and bookkeeping), stand-ins around them, and the rules of the
//! users' protocol checked at every start of a task.

// Each test program uses a part of it.
#![allow(dead_code)]

mod conditions;
mod config_changes;
pub mod dag_runs;
mod event_queue;
mod graph_actions;
mod invariants;
mod operator_queries;
mod status_polls;

mod actions;
mod fault_injection;
mod job_stream;
mod stored;
mod trace;
mod waiting;

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use dag_runs::DagRuns;
use event_queue::EventQueue;
use fault_injection::{ClockFault, Faults};
use job_stream::JobStream;
use olivelatch::coordination::controller::Controller;
use olivelatch::coordination::{Action, Event, InboundId};
use olivelatch::ids::JobId;
use olivelatch::protocol::graphs::GraphRouteRequest;
use olivelatch::protocol::kv::KvRequest;
use olivelatch::protocol::peer::PeerMessage;
use olivelatch::protocol::users::{UserRequest, parse_submission};
use olivelatch::protocol::workers::parse_heartbeat;
use olivelatch::protocol::{HttpOutcome, HttpResponse};
use olivelatch::settings::Settings;
use olivelatch::tunables::Tunables;
use olivelatch_kv_store::KvEngine;
use olivelatch_local_cluster::Cloud;
use olivelatch_worker::{
    GangTimes, JobDescription, JobDescriptions, ProcessAction, TaskWork, Worker, coordinate_gangs,
};
use operator_queries::{OperatorQueries, QuerySubject};
use serde_json::{Value, json};
use status_polls::StatusPolls;
use trace::Trace;
use waiting::WaitingCheck;

pub const STEP_MS: u64 = 20;
const START_MS: u64 = 100_000;

pub struct ControllerSlot {
    pub controller: Option<Controller>,
    name: String,
    zone: String,
    cut_links: HashSet<String>,
    incarnation: u64,
    event_queue: EventQueue,
    clock_fault: ClockFault,
}

impl ControllerSlot {
    pub fn is_leader(&self) -> bool {
        self.controller.as_ref().is_some_and(|node| node.leader().is_some())
    }
}

pub struct SimulatedCluster {
    pub now: u64,
    config: Value,
    tunables: String,
    pub controllers: Vec<ControllerSlot>,
    pub kv_store: KvEngine,
    kv_outage: bool,
    cloud: Cloud,
    cloud_down: bool,
    workers: Vec<Worker>,
    hung_machines: HashSet<String>,
    worker_targets: Vec<(usize, u64, Option<u64>)>,
    jobs: JobDescriptions,
    /// Since when an attempt of a gang lacks a member.
    broken_gangs: BTreeMap<(String, u64), u64>,
    submissions: BTreeMap<String, Value>,
    accepted_jobs: HashSet<String>,
    retries: Vec<(u64, String)>,
    /// Cancellations that no node has taken yet, and when they are repeated.
    pending_cancels: BTreeMap<String, u64>,
    cancelled: BTreeMap<String, u64>,
    final_states: BTreeMap<String, String>,
    requests_in_flight: BTreeMap<(usize, u64), PendingRequest>,
    pub next_request: u64,
    violations: Vec<String>,
    zone_cuts: HashSet<(String, String)>,
    /// What a controller can do a second, in units of a report; none: no limit.
    controller_capacity: Option<f64>,
    direct_commands_lost: bool,
    /// Answers with changes are longer than a controller may hold.
    changes_too_long: bool,
    held_commands: Vec<(usize, Vec<u8>)>,
    /// What becomes of transactions while their answers are lost.
    txn_mode: TxnMode,
    held_txns: Vec<Vec<u8>>,
    faults: Faults,
    status_polls: StatusPolls,
    waiting_check: WaitingCheck,
    job_stream: Option<JobStream>,
    mesh_mode: MeshMode,
    /// What controllers said to each other and was held back: to whom, from whom.
    held_mesh: Vec<(usize, String, PeerMessage)>,
    /// Users that ask about a job again and again: its name, how often and when next (ms).
    repeating_pollers: Vec<(String, u64, u64)>,
    pub counters: BTreeMap<&'static str, u64>,
    operator_queries: OperatorQueries,
    pub dag_runs: DagRuns,
    config_changes: config_changes::ConfigChanges,
    /// Processor time of the controllers' own code.
    pub event_cpu_time: EventCpuTime,
    /// Changes that the state service has carried out.
    pub kv_mutations: u64,
    /// When the first task of each job got its image.
    pub first_start: BTreeMap<String, u64>,
    /// And the latest one.
    last_start: BTreeMap<String, u64>,
    /// Final states when an operator's question went out: an answer must not be older.
    known_at_request: BTreeMap<(usize, u64), BTreeMap<String, String>>,
    trace: Trace,
}

/// How long controllers took over their events, all together and at most over one.
#[derive(Default, Clone, Copy)]
pub struct EventCpuTime {
    pub total: Duration,
    pub longest: Duration,
    /// What that event was.
    pub longest_event: &'static str,
}

impl EventCpuTime {
    fn add(&mut self, took: Duration, kind: &'static str) {
        self.total += took;
        if took > self.longest {
            (self.longest, self.longest_event) = (took, kind);
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum TxnMode {
    Normal,
    /// Carried out, but the answer is lost.
    ResponseLost,
    /// Carried out only when they are delivered.
    Delayed,
}

/// What becomes of what controllers say to each other.
#[derive(Clone, Copy, PartialEq)]
enum MeshMode {
    Normal,
    /// Delivered later, perhaps after the sender has ended.
    Delayed,
    /// Delivered, and once more later.
    Duplicated,
}

enum PendingRequest {
    User {
        id: String,
        expect: Option<u16>,
        raw: bool,
    },
    Heartbeat {
        worker: usize,
        sent: u64,
        epoch: u64,
    },
    Operator(QuerySubject),
    Graph(dag_runs::GraphRequest),
    DagRunView(String),
    /// A change of configuration, by its name.
    Config(String),
}

fn named_argument<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

fn numeric_argument(words: &[&str], name: &str, default: f64) -> f64 {
    named_argument(words, name)
        .map_or(default, |text| text.parse().unwrap_or_else(|_| panic!("{name}={text}")))
}

impl SimulatedCluster {
    pub fn new() -> SimulatedCluster {
        let config = json!({"node": "n0", "zone": "a", "front": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
            "endpoints": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
            "cluster": {"count": 3, "zones": ["a", "b", "c"], "teams": [], "objectives": [],
                "workers": {"report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0,
                    "cancel_s": 32.0},
                "state": {"rps": 200.0, "write_rps": 100.0, "value_kb": 4.0, "txn_ops": 8},
                "cloud": {"rps": 5.0, "list_lag_s": 5.0},
                "quota": {"core_share": 1.0, "mem_mb": 100.0, "max_connections": 1000},
                "time_bound_ms": 10.0}});
        SimulatedCluster {
            now: START_MS,
            config,
            tunables: String::new(),
            controllers: Vec::new(),
            kv_store: KvEngine::default(),
            kv_outage: false,
            cloud: Cloud::default(),
            cloud_down: false,
            workers: Vec::new(),
            hung_machines: HashSet::new(),
            worker_targets: Vec::new(),
            jobs: JobDescriptions::new(),
            broken_gangs: BTreeMap::new(),
            submissions: BTreeMap::new(),
            accepted_jobs: HashSet::new(),
            retries: Vec::new(),
            pending_cancels: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            final_states: BTreeMap::new(),
            requests_in_flight: BTreeMap::new(),
            next_request: 0,
            violations: Vec::new(),
            zone_cuts: HashSet::new(),
            controller_capacity: None,
            direct_commands_lost: false,
            changes_too_long: false,
            held_commands: Vec::new(),
            txn_mode: TxnMode::Normal,
            held_txns: Vec::new(),
            faults: Faults::default(),
            status_polls: StatusPolls::default(),
            waiting_check: WaitingCheck::default(),
            job_stream: None,
            mesh_mode: MeshMode::Normal,
            held_mesh: Vec::new(),
            repeating_pollers: Vec::new(),
            counters: BTreeMap::new(),
            operator_queries: OperatorQueries::default(),
            dag_runs: DagRuns::default(),
            config_changes: config_changes::ConfigChanges::default(),
            event_cpu_time: EventCpuTime::default(),
            kv_mutations: 0,
            first_start: BTreeMap::new(),
            last_start: BTreeMap::new(),
            known_at_request: BTreeMap::new(),
            trace: Trace::default(),
        }
    }

    /// A world whose messages are written to a file of this name, if the environment names a folder for them.
    pub fn traced(name: &str) -> SimulatedCluster {
        SimulatedCluster { trace: Trace::to(name), ..SimulatedCluster::new() }
    }

    fn boot_controller(&mut self, at: usize) {
        let mut config = self.config.clone();
        config["node"] = json!(self.controllers[at].name);
        config["zone"] = json!(self.controllers[at].zone);
        let others = self.controllers.iter().enumerate().filter(|(other, _)| *other != at);
        let others: Vec<Value> = others
            .map(|(ix, slot)| json!({"node": slot.name, "zone": slot.zone, "addr": format!("127.0.0.1:{}", ix + 10)}))
            .collect();
        config["others"] = json!(others);
        config["cluster"]["count"] = json!(self.controllers.len());
        let settings = Settings::parse("scenario", &config.to_string()).expect("settings");
        let mut tunables = Tunables::parse("scenario", &self.tunables).expect("tunables");
        let changes = &self.config_changes;
        tunables.config.enabled =
            changes.enabled && !changes.disabled_controllers.contains(&self.controllers[at].name);
        self.controllers[at].incarnation += 1;
        self.controllers[at].event_queue = self.controller_capacity.map(EventQueue::new).unwrap_or_default();
        let seed = at as u64 * 1000 + self.controllers[at].incarnation;
        self.controllers[at].controller =
            Some(Controller::new(settings, tunables, seed, self.controller_clock(at)));
    }

    fn is_cut(&self, node: usize, what: &str) -> bool {
        let cuts = &self.controllers[node].cut_links;
        cuts.contains(what) || (cuts.contains("all") && what != "none")
    }

    fn are_zones_cut(&self, a: &str, b: &str) -> bool {
        self.zone_cuts.contains(&(a.into(), b.into())) || self.zone_cuts.contains(&(b.into(), a.into()))
    }

    fn send_event(&mut self, at: usize, input: Event) {
        if self.controllers[at].clock_fault.frozen {
            self.controllers[at].clock_fault.missed_events.push(input);
            return;
        }
        let now = self.now;
        if let Some(input) = self.controllers[at].event_queue.take_or_queue(now, input) {
            self.handle_event_now(at, input);
        }
    }

    fn handle_event_now(&mut self, at: usize, input: Event) {
        let clock = self.controller_clock(at);
        let ControllerSlot { controller: Some(node), name, .. } = &mut self.controllers[at] else { return };
        let name = name.clone();
        self.trace.event(self.now, &name, &input);
        let (began, kind) = (Instant::now(), input.name());
        let outputs = node.handle_event(clock, input);
        self.event_cpu_time.add(began.elapsed(), kind);
        for output in outputs {
            self.trace.action(self.now, &name, &output);
            self.perform_action(at, output);
        }
    }

    fn perform_action(&mut self, at: usize, output: Action) {
        match output {
            Action::Respond { inbound: call, response: answer } => self.handle_response(at, call, &answer),
            Action::CallKv { outbound: ask, request, timeout_ms } => {
                let blind = self.is_cut(at, "polls") && matches!(request, KvRequest::PollChanges { .. });
                let outcome = if self.kv_outage || blind || self.is_cut(at, "state") {
                    HttpOutcome::Response { status: 503, body: Vec::new() }
                } else {
                    let call = request.to_http_request();
                    let mode = if call.path == "/txn" { self.txn_mode } else { TxnMode::Normal };
                    if mode == TxnMode::Delayed {
                        match self.faults.txn_delay_ms {
                            Some(late) => self.delay_txn(late, call.body.clone()),
                            None => self.held_txns.push(call.body.clone()),
                        }
                        self.send_event(at, Event::Kv { outbound: ask, outcome: HttpOutcome::Unknown });
                        return;
                    }
                    let (status, body) =
                        self.kv_store.handle_request(call.method, &call.path, &call.body, self.now);
                    if call.path == "/txn" && status == 200 {
                        let txn: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
                        self.kv_mutations += txn["then"].as_array().map_or(0, |changes| changes.len() as u64);
                    }
                    match mode {
                        _ if self.changes_too_long && call.path.starts_with("/changes") => {
                            HttpOutcome::TooLarge
                        }
                        TxnMode::ResponseLost => HttpOutcome::Unknown,
                        _ => HttpOutcome::Response { status, body: body.to_string().into_bytes() },
                    }
                };
                self.deliver_kv_response(at, ask, outcome, timeout_ms);
            }
            Action::CallCloud { outbound: ask, request, timeout_ms } => {
                let outcome = if self.cloud_down {
                    HttpOutcome::Response { status: 503, body: b"{\"error\":\"trouble\"}".to_vec() }
                } else {
                    let call = request.to_http_request();
                    let (status, body) =
                        self.cloud.handle_request(call.method, &call.path, &call.body, self.now);
                    HttpOutcome::Response { status, body: body.to_string().into_bytes() }
                };
                self.deliver_cloud_response(at, ask, outcome, timeout_ms);
            }
            Action::SendWorkerCommands { outbound: ask, endpoint, request: call, .. } => {
                self.controllers[at].event_queue.charge_command();
                let worker = self.workers.iter().position(|worker| worker.machine.endpoint == endpoint);
                let reach =
                    worker.is_some_and(|worker| self.can_reach(at, worker) && !self.is_cut(at, "orders"));
                let outcome = match worker.filter(|_| reach) {
                    Some(worker)
                        if self.faults.receive_path_down.contains(&self.workers[worker].machine.name) =>
                    {
                        HttpOutcome::Unknown
                    }
                    Some(worker) if self.direct_commands_lost => {
                        self.held_commands.push((worker, call.body.clone()));
                        HttpOutcome::Unknown
                    }
                    Some(worker) => {
                        let (status, body) =
                            self.workers[worker].handle_direct_command(&call.body, self.now, &self.jobs);
                        HttpOutcome::Response { status, body: body.to_string().into_bytes() }
                    }
                    None => HttpOutcome::NotSent,
                };
                self.send_event(at, Event::WorkerCommands { outbound: ask, outcome });
            }
            Action::SendPeerMessage { controller: node, message } => {
                let Some(to) = self.controllers.iter().position(|slot| slot.name == node) else { return };
                let apart = self.are_zones_cut(&self.controllers[at].zone, &self.controllers[to].zone);
                if apart || self.is_cut(at, "mesh") || self.is_cut(to, "mesh") {
                    return;
                }
                let from = self.controllers[at].name.clone();
                if self.mesh_mode != MeshMode::Normal {
                    self.held_mesh.push((to, from.clone(), message.clone()));
                }
                if self.mesh_mode == MeshMode::Delayed {
                    return;
                }
                self.send_event(to, Event::Peer { controller: from, message });
            }
        }
    }

    fn can_reach(&self, node: usize, worker: usize) -> bool {
        let worker = &self.workers[worker];
        let gone = !self.cloud.machines.iter().any(|machine| machine.name == worker.machine.name);
        !gone
            && !self.hung_machines.contains(&worker.machine.name)
            && !self.is_cut(node, "workers")
            && !self.are_zones_cut(&self.controllers[node].zone, &worker.machine.zone)
    }

    fn handle_response(&mut self, at: usize, inbound: InboundId, response: &HttpResponse) {
        let Some(waiting) = self.requests_in_flight.remove(&(at, inbound.0)) else { return };
        let body: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        match waiting {
            PendingRequest::Heartbeat { worker, sent, epoch: session } => {
                self.handle_heartbeat_response(worker, sent, session, response.status, &body)
            }
            PendingRequest::Operator(about) => {
                let known = self.known_at_request.remove(&(at, inbound.0)).unwrap_or_default();
                let wrong = self.operator_queries.find_contradiction(&about, response, &known);
                let wrong = wrong.or(self.operator_queries.handle_response(&about, response, self.now).err());
                self.violations.extend(wrong);
            }
            PendingRequest::Graph(send) => {
                let wrong = self.dag_runs.handle_response(send, Some(response), self.now).err();
                self.violations.extend(wrong);
                self.accepted_jobs.extend(std::mem::take(&mut self.dag_runs.accepted));
            }
            PendingRequest::Config(name) => self.handle_config_response(&name, Some(response)),
            PendingRequest::DagRunView(path) => {
                let wrong = self.dag_runs.handle_poll_response(&path, response).err();
                self.violations.extend(wrong);
            }
            PendingRequest::User { id, expect, raw } => {
                if let Some(expect) = expect
                    && response.status != expect
                {
                    self.violations.push(format!("{id}: answered {} instead of {expect}", response.status));
                }
                if response.status < 300 && !raw {
                    self.record_status(&id, body["status"].as_str().unwrap_or(""));
                }
                if response.status < 300 && !raw {
                    self.faults.last_answered_at.insert(id.clone(), self.now);
                    if self.accepted_jobs.insert(id.clone()) {
                        self.schedule_close_polls(&id);
                    }
                }
                if matches!(response.status, 400 | 422) && !raw && self.accepted_jobs.contains(&id) {
                    self.violations.push(format!("forgotten: {id} got {}", response.status));
                }
                let again = response.status == 503 && expect.is_none() && !raw;
                if again && self.is_unacknowledged(&id) {
                    self.retries.push((self.now + 1000, id.clone()));
                }
                if response.status == 404 && self.accepted_jobs.contains(&id) {
                    self.violations.push(format!("forgotten: {id}"));
                }
            }
        }
    }

    /// Submitted, and no node has said yet that it is accepted.
    fn is_unacknowledged(&self, id: &str) -> bool {
        self.submissions.contains_key(id) && !self.accepted_jobs.contains(id)
    }

    fn record_status(&mut self, id: &str, status: &str) {
        if let Some(known) = self.final_states.get(id)
            && known != status
        {
            self.violations.push(format!("went_back: {id} was {known} and is {status}"));
        }
        if status == "done" || status == "withdrawn" {
            let before = self.final_states.insert(id.into(), status.into());
            if before.is_none() {
                self.schedule_close_polls(id);
            }
        }
        if status == "withdrawn" {
            self.cancelled.entry(id.into()).or_insert(self.now);
        }
    }

    fn handle_heartbeat_response(
        &mut self,
        worker: usize,
        sent: u64,
        session: u64,
        status: u16,
        body: &Value,
    ) {
        let now = self.now;
        // The worker has given it up, and reports elsewhere.
        if now >= sent + 4000 || self.faults.receive_path_down.contains(&self.workers[worker].machine.name) {
            return;
        }
        self.worker_targets[worker].2 = None;
        if status == 200 && self.workers[worker].epoch == session {
            self.workers[worker].apply_heartbeat_response(body, sent, now, &self.jobs);
            return;
        }
        let home =
            body["home"].as_str().and_then(|home| self.controllers.iter().position(|slot| slot.name == home));
        let state = &mut self.worker_targets[worker];
        match home.filter(|home| status == 421 && *home != state.0) {
            Some(home) => *state = (home, now, None),
            None => *state = ((state.0 + 1) % self.controllers.len(), now + 1000, None),
        }
    }

    /// Ask a node that runs; the load balancer would do the same.
    fn send_user_request(&mut self, request: UserRequest, id: &str, expect: Option<u16>, raw: bool) {
        let up: Vec<usize> = (0..self.controllers.len())
            .filter(|at| {
                !self.is_cut(*at, "users")
                    && self.controllers[*at].controller.as_ref().is_some_and(Controller::is_ready)
            })
            .collect();
        let Some(at) = up.get(self.next_request as usize % up.len().max(1)).copied() else {
            if self.is_unacknowledged(id) && !raw {
                self.retries.push((self.now + 1000, id.into()));
            }
            return;
        };
        self.next_request += 1;
        let call = self.next_request;
        self.requests_in_flight.insert((at, call), PendingRequest::User { id: id.into(), expect, raw });
        self.send_event(at, Event::User { inbound: InboundId(call), request });
    }

    /// Users repeat a cancellation until it is answered.
    fn repeat_cancels(&mut self) {
        let finals = &self.final_states;
        self.pending_cancels.retain(|id, _| !finals.contains_key(id));
        let due: Vec<String> = self
            .pending_cancels
            .iter()
            .filter(|(_, at)| **at <= self.now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.pending_cancels.insert(id.clone(), self.now + 1000);
            let job = JobId::parse(&id).expect("a job");
            self.send_user_request(UserRequest::Cancel { id: job }, &id, None, false);
        }
    }

    /// Users that ask about their jobs whatever the answer.
    fn repeat_polls(&mut self) {
        for at in 0..self.repeating_pollers.len() {
            while self.repeating_pollers[at].2 <= self.now {
                let id = self.repeating_pollers[at].0.clone();
                self.repeating_pollers[at].2 += self.repeating_pollers[at].1;
                self.poll_job(&id);
            }
        }
    }

    /// Operators ask whoever runs, ready or not.
    fn send_operator_queries(&mut self) {
        for (about, request) in self.operator_queries.due_queries(self.now) {
            let up: Vec<usize> =
                (0..self.controllers.len()).filter(|at| self.controllers[*at].controller.is_some()).collect();
            let Some(at) = up.get(self.next_request as usize % up.len().max(1)).copied() else { return };
            self.next_request += 1;
            let call = self.next_request;
            self.requests_in_flight.insert((at, call), PendingRequest::Operator(about));
            self.known_at_request.insert((at, call), self.final_states.clone());
            self.send_event(at, Event::Operator { inbound: InboundId(call), request });
        }
    }

    /// Clients of graphs: changes to whoever is ready, questions to whoever runs.
    fn send_graph_requests(&mut self) {
        for send in self.dag_runs.due_requests(self.now) {
            let GraphRouteRequest::Modify(request) = dag_runs::parse_route("POST", &send.path, &send.body)
            else {
                continue;
            };
            match self.pick_controller(|world, at| {
                !world.is_cut(at, "users")
                    && world.controllers[at].controller.as_ref().is_some_and(Controller::is_ready)
            }) {
                Some(at) => {
                    let call = self.track_request(at, PendingRequest::Graph(send));
                    self.send_event(at, Event::Graph { inbound: call, request });
                }
                None => drop(self.dag_runs.handle_response(send, None, self.now)),
            }
        }
        for path in self.dag_runs.due_polls(self.now) {
            let GraphRouteRequest::Query(request) = dag_runs::parse_route("GET", &path, &Value::Null) else {
                continue;
            };
            let Some(at) = self.pick_controller(|world, at| world.controllers[at].controller.is_some())
            else {
                return;
            };
            let call = self.track_request(at, PendingRequest::DagRunView(path));
            self.send_event(at, Event::Operator { inbound: call, request });
        }
    }

    /// One of the controllers that will do, in turn.
    fn pick_controller(&self, will_do: impl Fn(&SimulatedCluster, usize) -> bool) -> Option<usize> {
        let up: Vec<usize> = (0..self.controllers.len()).filter(|at| will_do(self, *at)).collect();
        up.get(self.next_request as usize % up.len().max(1)).copied()
    }

    fn track_request(&mut self, at: usize, call: PendingRequest) -> InboundId {
        self.next_request += 1;
        self.requests_in_flight.insert((at, self.next_request), call);
        InboundId(self.next_request)
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        self.deliver_delayed();
        self.send_graph_requests();
        self.send_operator_queries();
        self.step_config();
        self.repeat_cancels();
        self.repeat_polls();
        self.step_status_polls();
        self.step_stream();
        self.boot_machines();
        let lease = self.config["cluster"]["workers"]["lease_s"].as_f64().unwrap_or(12.0) * 1000.0;
        for at in 0..self.workers.len() {
            let here =
                self.cloud.machines.iter().any(|machine| machine.name == self.workers[at].machine.name);
            if !here || self.hung_machines.contains(&self.workers[at].machine.name) {
                // A machine that hangs beyond its lease carries nothing out when it goes on.
                let over = self.now > self.workers[at].last_answered_heartbeat_sent_at + lease as u64;
                if !here || over {
                    self.workers[at].advance(self.now, lease as u64, &BTreeMap::new());
                }
                self.workers[at].attempts.retain(|_| here);
                self.check_cancelled(at);
                continue;
            }
            self.workers[at].advance(self.now, lease as u64, &self.jobs);
            self.check_tasks(at);
            self.send_heartbeat(at);
        }
        self.coordinate_gangs();
        self.check_waiting();
        let (due, rest) = std::mem::take(&mut self.retries).into_iter().partition(|(at, _)| *at <= self.now);
        self.retries = rest;
        let due: Vec<(u64, String)> = due;
        for (_, id) in due {
            let request =
                parse_submission(self.submissions[&id].to_string().as_bytes()).expect("a submission");
            self.send_user_request(request, &id, None, false);
        }
        self.deliver_kept_heartbeats();
        for at in 0..self.controllers.len() {
            if !self.controllers[at].clock_fault.frozen {
                self.drain_event_queue(at);
                self.send_event(at, Event::Tick);
            }
        }
        let seen: Vec<(&'static str, u64)> = self
            .controllers
            .iter()
            .filter_map(|slot| slot.controller.as_ref()?.leader())
            .flat_map(|leader| {
                let c = &leader.counters;
                [
                    ("shared", c.queued_shared),
                    ("dedicated", c.queued_dedicated),
                    ("steals", c.steals),
                    ("stolen", c.stolen_tasks),
                    ("spilled", c.spilled_tasks),
                    ("preempted", c.preempted_tasks),
                    ("lost", c.machines_lost),
                    ("bound", c.tasks_bound),
                    ("looked", c.machines_examined),
                    ("searches", c.gang_searches),
                    ("changes", c.kv_mutations),
                    ("greeted", c.leadership_announcements),
                    ("greeted_at_once", c.max_announcements_per_step),
                ]
            })
            .collect();
        for (name, value) in seen {
            let most = self.counters.entry(name).or_default();
            *most = (*most).max(value);
        }
    }

    /// Gangs gather and miss their members.
    fn coordinate_gangs(&mut self) {
        let time = |name: &str| self.config["cluster"]["workers"][name].as_f64().unwrap_or(0.0) * 1000.0;
        let times = GangTimes {
            gather_timeout_ms: time("gang_wait_s") as u64,
            peer_loss_timeout_ms: time("gang_peer_s") as u64,
        };
        coordinate_gangs(&mut self.workers, self.now, times, &self.jobs, &mut self.broken_gangs);
        // Nothing runs here but in virtual time.
        let effects = self.workers.iter_mut().flat_map(|worker| worker.take_process_actions());
        let killed = effects.filter(|effect| matches!(effect, ProcessAction::Kill { .. })).count();
        self.faults.lost_with_lease += killed as u64;
    }

    fn boot_machines(&mut self) {
        for machine in &self.cloud.machines {
            let known = self.workers.iter().any(|worker| worker.machine.name == machine.name);
            if machine.ready_at <= self.now && !known {
                let kind =
                    self.cloud.machine_types.iter().find(|kind| kind.name == machine.machine_type).cloned();
                let kind = kind.expect("a known kind");
                let on = machine.machine(&kind, machine.endpoint.clone());
                self.workers.push(Worker::new(on, self.now));
                self.worker_targets.push((self.workers.len() % self.controllers.len(), self.now, None));
            }
        }
    }

    fn send_heartbeat(&mut self, at: usize) {
        let (node, due, open) = self.worker_targets[at];
        if let Some(sent) = open {
            // No response within 4 s: the next node, 1 s later.
            if self.now >= sent + 4000 {
                self.worker_targets[at] = ((node + 1) % self.controllers.len(), self.now + 1000, None);
            }
            return;
        }
        let every = (self.config["cluster"]["workers"]["report_s"].as_f64().unwrap_or(2.0) * 1000.0) as u64;
        let soon = self.workers[at].has_unreported_change && self.now + every >= due + 500;
        if self.now < due && !soon {
            return;
        }
        self.workers[at].has_unreported_change = false;
        let session = self.workers[at].epoch;
        let body = self.workers[at].heartbeat(self.now).to_string();
        self.worker_targets[at] = (node, self.now + every, Some(self.now));
        if self.controllers[node].controller.is_none() {
            self.worker_targets[at] = ((node + 1) % self.controllers.len(), self.now + 1000, None);
            return;
        }
        if !self.can_reach(node, at) || self.faults.send_path_down.contains(&self.workers[at].machine.name) {
            return;
        }
        let report = parse_heartbeat(body.as_bytes()).expect("a report of the protocol's form");
        self.copy_heartbeat(node, body.as_bytes());
        self.next_request += 1;
        let call = self.next_request;
        self.requests_in_flight
            .insert((node, call), PendingRequest::Heartbeat { worker: at, sent: self.now, epoch: session });
        self.send_event(node, Event::Heartbeat { inbound: InboundId(call), heartbeat: report });
    }

    fn submit_job(&mut self, words: &[&str]) {
        let (id, spec, expect) = self.describe_job(words);
        let request = parse_submission(spec.to_string().as_bytes()).expect("a submission");
        self.send_user_request(request, &id, expect, false);
    }

    /// The job's description; workers and the rules know it from now on.
    fn describe_job(&mut self, words: &[&str]) -> (String, Value, Option<u16>) {
        let id = format!("job-{:06}", words[0].parse::<u64>().expect("a job number"));
        let flag = |name: &str| words.contains(&name);
        let shape = if flag("gang") {
            "gang"
        } else if flag("service") {
            "daemon"
        } else {
            "array"
        };
        let spec = json!({"uid": id, "jobclass": named_argument(words, "class").unwrap_or("work"),
            "owner": named_argument(words, "team").unwrap_or("core"), "shape": shape,
            "urgency": named_argument(words, "urgency").unwrap_or("normal"), "pieces": numeric_argument(words, "tasks", 1.0) as u64,
            "vcpus": numeric_argument(words, "cpus", 1.0), "accelerators": numeric_argument(words, "gpus", 0.0),
            "memory_gb": numeric_argument(words, "memory", 1.0), "bundle": named_argument(words, "image").unwrap_or("img-1"),
            "size_gb": numeric_argument(words, "size", 0.1),
            "boxkinds": named_argument(words, "kinds").map(|kinds| kinds.split(',').collect::<Vec<_>>()),
            "hall": named_argument(words, "zone"), "together": flag("together"), "scatter": flag("scatter"),
            "loaners": flag("spot"), "guess_s": numeric_argument(words, "guess", numeric_argument(words, "run", 5.0)),
            "snapshot_s": numeric_argument(words, "checkpoint", 0.0), "flush_s": numeric_argument(words, "save", 1.0),
            "due_s": named_argument(words, "due").map(|due| due.parse::<f64>().expect("due"))});
        let run_ms = if shape == "daemon" {
            u64::MAX / 4
        } else {
            (numeric_argument(words, "run", 5.0) * 1000.0) as u64
        };
        let expect = named_argument(words, "expect").map(|code| code.parse().expect("a status"));
        if expect.is_none_or(|code: u16| code < 300) {
            let facts = JobDescription {
                cpus: numeric_argument(words, "cpus", 1.0),
                gpus: numeric_argument(words, "gpus", 0.0),
                memory_gb: numeric_argument(words, "memory", 1.0),
                image: named_argument(words, "image").unwrap_or("img-1").into(),
                image_gb: numeric_argument(words, "size", 0.1),
                gang: shape == "gang",
                tasks: numeric_argument(words, "tasks", 1.0) as u32,
                can_checkpoint: numeric_argument(words, "checkpoint", 0.0) > 0.0,
                checkpoint_save_ms: (numeric_argument(words, "save", 1.0) * 1000.0) as u64,
                work: TaskWork::Simulated {
                    run_ms,
                    fails: flag("fails"),
                    list_len: named_argument(words, "gives").map(|n| n.parse().expect("gives")),
                },
                inputs: BTreeMap::new(),
                map_source: None,
            };
            self.jobs.insert(id.clone(), facts);
            self.submissions.insert(id.clone(), spec.clone());
        }
        (id, spec, expect)
    }

    fn poll_job(&mut self, id: &str) {
        let job = JobId::parse(id).expect("a job");
        self.send_user_request(UserRequest::Poll { id: job }, id, None, false);
    }
}
