//! A simulated cluster in virtual time: real controllers (coordination and bookkeeping) with a simulated key-value
//! store, cloud, workers and clients. It detects violations of invariants, such as a task that runs twice or after its
//! cancellation, and responses that contradict earlier ones.
//!
//! Runs are deterministic: there are no connections, processes or sleeps, time advances in steps of [`STEP_MS`], and
//! the outcome depends only on the scenario and the controllers' seeds.

// Each test binary uses only some of these functions.
#![allow(dead_code)]

mod actions;
mod conditions;
mod config_changes;
mod controllers;
pub mod dag_runs;
mod deliveries;
mod direct_commands;
mod event_queue;
mod fault_injection;
mod graph_actions;
mod invariants;
mod job_arguments;
mod job_stream;
mod machines;
mod operator_queries;
mod poll_bursts;
mod requests;
mod store_file;
mod trace;
mod users;
mod waiting;

use std::collections::{BTreeMap, HashSet};

use config_changes::ConfigChanges;
pub use controllers::{ControllerSlot, EventHandlingTime};
use dag_runs::DagRuns;
use deliveries::{PeerMessageMode, TxnMode};
use direct_commands::DirectCommands;
use fault_injection::Faults;
use job_arguments::{JobArguments, named_argument, numeric_argument};
use job_stream::JobStream;
use machines::HeartbeatTarget;
use olivelatch::protocol::peer::PeerMessage;
use olivelatch_kv_store::KvEngine;
use olivelatch_local_cluster::Cloud;
use olivelatch_worker::{JobDescriptions, Worker};
use operator_queries::OperatorQueries;
use poll_bursts::PollBursts;
use requests::PendingRequest;
use serde_json::{Value, json};
use trace::Trace;
use users::{RepeatingPoll, ResponseCheck, Resubmission};
use waiting::WaitingCheck;

/// Virtual time that passes in one step, in ms.
pub const STEP_MS: u64 = 20;
/// Virtual time at which a new cluster starts, in ms.
const START_MS: u64 = 100_000;

/// A simulated cluster: its controllers, the services and machines that they use, and what its users know. Unless
/// noted otherwise, times are virtual and in ms.
pub struct SimulatedCluster {
    pub now: u64,
    /// The controllers' settings file. Each controller gets its own node, zone and peers when it starts.
    config: Value,
    /// The text of the controllers' tunables file.
    tunables: String,
    pub controllers: Vec<ControllerSlot>,
    pub kv_store: KvEngine,
    /// Whether the kv store refuses all requests.
    kv_outage: bool,
    cloud: Cloud,
    cloud_down: bool,
    workers: Vec<Worker>,
    hung_machines: HashSet<String>,
    /// Where each worker sends its heartbeats, in the order of `workers`.
    heartbeat_targets: Vec<HeartbeatTarget>,
    /// What workers know about each job.
    jobs: JobDescriptions,
    /// Attempts of gangs that lack a member, by job and attempt, with the time since which they do.
    broken_gangs: BTreeMap<(String, u64), u64>,
    /// Submissions as on the wire, by job.
    submissions: BTreeMap<String, Value>,
    /// Jobs whose users know that they were accepted.
    accepted_jobs: HashSet<String>,
    resubmissions: Vec<Resubmission>,
    /// Jobs that users cancel and whose final state is not known yet, with the time of the next cancel request.
    pending_cancels: BTreeMap<String, u64>,
    /// Jobs whose users know that they are cancelled, with the time since which they know.
    cancelled: BTreeMap<String, u64>,
    /// Final states that responses have shown to users, by job.
    final_states: BTreeMap<String, String>,
    /// Requests without a response, by the controller's index and the request's number.
    requests_in_flight: BTreeMap<(usize, u64), PendingRequest>,
    /// Length of the longest body of a heartbeat so far.
    longest_heartbeat_bytes: u64,
    /// How many heartbeats the workers have sent so far.
    heartbeat_count: u64,
    /// How many requests have been sent so far; the last one has this number.
    pub request_count: u64,
    /// Violations of invariants and rules, in the order in which they were found.
    violations: Vec<String>,
    /// Pairs of zones between which no message arrives.
    zone_cuts: HashSet<(String, String)>,
    /// Events that a controller can handle per second, in units of one heartbeat; `None` for no limit.
    controller_capacity: Option<f64>,
    /// How direct commands are delivered, and those that arrive later.
    direct_commands: DirectCommands,
    /// Whether responses to polls for changes are longer than a controller accepts.
    change_responses_too_large: bool,
    txn_mode: TxnMode,
    /// Bodies of held transactions.
    held_txns: Vec<Vec<u8>>,
    faults: Faults,
    poll_bursts: PollBursts,
    waiting_check: WaitingCheck,
    job_stream: Option<JobStream>,
    peer_message_mode: PeerMessageMode,
    /// Held messages between controllers: receiver, sender, message.
    held_peer_messages: Vec<(usize, String, PeerMessage)>,
    repeating_polls: Vec<RepeatingPoll>,
    /// The highest value of each of the leaders' counters.
    pub counters: BTreeMap<&'static str, u64>,
    operator_queries: OperatorQueries,
    pub dag_runs: DagRuns,
    config_changes: ConfigChanges,
    /// Real time that the controllers take to handle events.
    pub event_handling_time: EventHandlingTime,
    /// Mutations that the kv store has applied.
    pub kv_mutations: u64,
    /// When the first task of each job got its image, which counts as its start.
    pub first_start: BTreeMap<String, u64>,
    /// When the latest task of each job got its image.
    last_start: BTreeMap<String, u64>,
    /// How many tasks of each job have started so far, repeated starts included.
    start_counts: BTreeMap<String, u64>,
    /// Final states that users knew when an operator's query was sent, by the controller's index and the query's
    /// number. The response must not contradict them.
    final_states_at_request: BTreeMap<(usize, u64), BTreeMap<String, String>>,
    trace: Trace,
}

/// The settings of a cluster with three zones, before a scenario changes them.
fn default_config() -> Value {
    json!({"node": "n0", "zone": "a", "front": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
            "endpoints": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
            "cluster": {"count": 3, "zones": ["a", "b", "c"], "teams": [], "objectives": [],
                "workers": {"report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0,
                    "cancel_s": 32.0},
                "state": {"rps": 200.0, "write_rps": 100.0, "value_kb": 4.0, "txn_ops": 8},
                "cloud": {"rps": 5.0, "list_lag_s": 5.0},
                "quota": {"core_share": 1.0, "mem_mb": 100.0, "max_connections": 1000},
                "time_bound_ms": 10.0}})
}

impl SimulatedCluster {
    /// Returns a cluster without controllers, machines and jobs.
    pub fn new() -> SimulatedCluster {
        SimulatedCluster {
            now: START_MS,
            config: default_config(),
            tunables: String::new(),
            controllers: Vec::new(),
            kv_store: KvEngine::default(),
            kv_outage: false,
            cloud: Cloud::default(),
            cloud_down: false,
            workers: Vec::new(),
            hung_machines: HashSet::new(),
            heartbeat_targets: Vec::new(),
            jobs: JobDescriptions::new(),
            broken_gangs: BTreeMap::new(),
            submissions: BTreeMap::new(),
            accepted_jobs: HashSet::new(),
            resubmissions: Vec::new(),
            pending_cancels: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            final_states: BTreeMap::new(),
            requests_in_flight: BTreeMap::new(),
            longest_heartbeat_bytes: 0,
            heartbeat_count: 0,
            request_count: 0,
            violations: Vec::new(),
            zone_cuts: HashSet::new(),
            controller_capacity: None,
            direct_commands: DirectCommands::default(),
            change_responses_too_large: false,
            txn_mode: TxnMode::Normal,
            held_txns: Vec::new(),
            faults: Faults::default(),
            poll_bursts: PollBursts::default(),
            waiting_check: WaitingCheck::default(),
            job_stream: None,
            peer_message_mode: PeerMessageMode::Normal,
            held_peer_messages: Vec::new(),
            repeating_polls: Vec::new(),
            counters: BTreeMap::new(),
            operator_queries: OperatorQueries::default(),
            dag_runs: DagRuns::default(),
            config_changes: ConfigChanges::default(),
            event_handling_time: EventHandlingTime::default(),
            kv_mutations: 0,
            first_start: BTreeMap::new(),
            last_start: BTreeMap::new(),
            start_counts: BTreeMap::new(),
            final_states_at_request: BTreeMap::new(),
            trace: Trace::default(),
        }
    }

    /// Returns an empty cluster that writes its messages to a trace file of this name if `TRACE_DIR` is set.
    pub fn traced(name: &str) -> SimulatedCluster {
        SimulatedCluster { trace: Trace::create(name), ..SimulatedCluster::new() }
    }

    /// Advances virtual time by one step.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        self.deliver_delayed();
        self.deliver_command_copies();
        self.send_graph_requests();
        self.send_operator_queries();
        self.step_config();
        self.repeat_cancels();
        self.repeat_polls();
        self.step_poll_bursts();
        self.step_stream();
        self.boot_machines();
        self.step_workers();
        self.coordinate_gangs();
        self.check_waiting();
        self.repeat_submissions();
        self.deliver_kept_heartbeats();
        self.step_controllers();
        self.record_counters();
    }

    /// Returns a setting of the workers' protocol in ms; the settings file has it in seconds.
    fn worker_setting_ms(&self, name: &str, default_s: f64) -> u64 {
        (self.config["cluster"]["workers"][name].as_f64().unwrap_or(default_s) * 1000.0) as u64
    }
}
