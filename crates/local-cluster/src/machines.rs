//! The machines of a local cluster. Their workers send heartbeats to the controllers and run commands as processes.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;

use olivelatch_net::client::{CallSlot, HttpClient};
use olivelatch_net::http::Response;
use olivelatch_net::poller::KeyAllocator;
use olivelatch_net::server::ListenerId;
use olivelatch_worker::processes::{AttemptKey, ProcessExit, Processes};
use olivelatch_worker::{
    AttemptPhase, GangTimes, HeartbeatResponse, HeartbeatSender, HeartbeatTimes, ProcessAction, TaskResult,
    TaskWork, Worker, coordinate_gangs,
};
use serde_json::{Value, json};

use crate::cloud::{CloudMachine, MachineTypeSpec};
use crate::job_store::JobStore;
use crate::settings::{GANG_PEER_S, GANG_WAIT_S, HEARTBEAT_S, LEASE_S, controller_index};
use crate::task_outputs::TaskOutputs;

/// Heartbeats over loopback are cheap, so a change may be reported sooner than after the protocol's minimum interval of
/// half a second.
const HEARTBEAT_TIMES: HeartbeatTimes = HeartbeatTimes {
    interval_ms: (HEARTBEAT_S * 1000.0) as u64,
    min_change_interval_ms: 50,
    retry_ms: 200,
    response_timeout_ms: 4_000,
};
const LEASE_MS: u64 = (LEASE_S * 1000.0) as u64;

fn to_ms(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

/// The listener of a worker, and the connection and schedule of its heartbeats.
struct HeartbeatChannel {
    listener: ListenerId,
    call_slot: CallSlot,
    sender: HeartbeatSender,
}

/// The workers of all machines, with the state that they share.
pub struct Machines {
    workers: Vec<Worker>,
    heartbeat_channels: Vec<HeartbeatChannel>,
    /// Time since which a member of a started gang has been missing, by job and attempt.
    incomplete_gangs: BTreeMap<(String, u64), u64>,
    controllers: Vec<SocketAddr>,
    outputs: TaskOutputs,
    /// Log of process starts and exits. An entry is written after the result that it reports is on disk.
    run_log: File,
    pending_log: String,
}

impl Machines {
    /// Opens the run log in the folder of a local cluster. There are no machines yet.
    pub fn open(folder: &Path, controllers: Vec<SocketAddr>) -> io::Result<Machines> {
        let run_log = OpenOptions::new().create(true).append(true).open(folder.join("runs.jsonl"))?;
        Ok(Machines {
            workers: Vec::new(),
            heartbeat_channels: Vec::new(),
            incomplete_gangs: BTreeMap::new(),
            controllers,
            outputs: TaskOutputs::new(folder),
            run_log,
            pending_log: String::new(),
        })
    }

    fn worker_index(&self, machine: &str) -> Option<usize> {
        self.workers.iter().position(|worker| worker.machine.name == machine)
    }

    pub fn has_machine(&self, name: &str) -> bool {
        self.worker_index(name).is_some()
    }

    pub fn names(&self) -> Vec<String> {
        self.workers.iter().map(|worker| worker.machine.name.clone()).collect()
    }

    /// Starts the worker of a machine that has booted. It is served on `endpoint`.
    pub fn add_machine(
        &mut self,
        machine: &CloudMachine,
        machine_type: &MachineTypeSpec,
        endpoint: SocketAddr,
        listener: ListenerId,
        job_store: &JobStore,
        now: u64,
    ) {
        let machine = machine.machine(machine_type, endpoint.to_string());
        let mut worker = Worker::new(machine, now);
        job_store.results.iter().for_each(|(task, result)| worker.restore_result(task, *result));
        // Different workers start with different controllers, which distributes the heartbeats.
        let first_controller = listener.0 % self.controllers.len().max(1);
        self.workers.push(worker);
        self.heartbeat_channels.push(HeartbeatChannel {
            listener,
            call_slot: CallSlot(listener.0),
            sender: HeartbeatSender::new(first_controller, now),
        });
    }

    /// Removes the worker of a machine that was released or has failed, and kills its tasks. Returns the listener of
    /// the worker.
    pub fn remove_machine(
        &mut self,
        name: &str,
        processes: &mut Processes,
        http_client: &mut HttpClient,
    ) -> Option<ListenerId> {
        let index = self.worker_index(name)?;
        let worker = self.workers.remove(index);
        let channel = self.heartbeat_channels.remove(index);
        for attempt in worker.attempts.iter().filter(|attempt| attempt.is_live()) {
            processes.kill(&AttemptKey {
                machine: name.into(),
                task: attempt.task.clone(),
                attempt: attempt.attempt,
            });
        }
        http_client.abort_call(channel.call_slot);
        Some(channel.listener)
    }

    /// Handles a request to the worker behind a listener: commands of a controller, or a status query.
    pub fn handle_request(
        &mut self,
        listener: ListenerId,
        method: &str,
        path: &str,
        body: &[u8],
        job_store: &JobStore,
        now: u64,
    ) -> (u16, Value) {
        let Some(index) = self.heartbeat_channels.iter().position(|channel| channel.listener == listener)
        else {
            return (404, json!({"error": "no such machine"}));
        };
        match (method, path) {
            ("POST", "/orders") => {
                self.workers[index].handle_direct_command(body, now, &job_store.descriptions)
            }
            ("GET", "/status") => (200, self.workers[index].heartbeat(now)),
            _ => (404, json!({"error": "no such path"})),
        }
    }

    /// Advances all workers to time `now`: handles the exits of processes, coordinates gangs, and starts and stops
    /// processes.
    pub fn step_workers(&mut self, now: u64, job_store: &mut JobStore, processes: &mut Processes) {
        for exit in processes.collect_exits(now) {
            self.handle_exit(&exit, job_store, now);
        }
        for worker in &mut self.workers {
            worker.advance(now, LEASE_MS, &job_store.descriptions);
            worker.started_tasks.clear();
        }
        let times =
            GangTimes { gather_timeout_ms: to_ms(GANG_WAIT_S), peer_loss_timeout_ms: to_ms(GANG_PEER_S) };
        // The tasks of a gang are done once the last of them has exited.
        let waiting = self.tasks_waiting_for_gang();
        coordinate_gangs(&mut self.workers, now, times, &job_store.descriptions, &mut self.incomplete_gangs);
        for (index, task) in waiting {
            self.record_completed_gang_task(index, &task, job_store, now);
        }
        for index in 0..self.workers.len() {
            for action in self.workers[index].take_process_actions() {
                self.perform_process_action(index, action, job_store, processes, now);
            }
        }
    }

    /// Stores the result of a gang's task if the gang has just completed.
    fn record_completed_gang_task(&mut self, index: usize, task: &str, job_store: &mut JobStore, now: u64) {
        let done = AttemptPhase::Ended { cause: "done", checkpoint_kept: false };
        let worker = &self.workers[index];
        let attempt = worker.attempts.iter().find(|attempt| attempt.task == task && attempt.phase == done);
        let Some(attempt) = attempt.map(|attempt| attempt.attempt) else { return };
        let (machine, result) = (worker.machine.name.clone(), worker.result(task).unwrap_or_default());
        self.store_result(task, result, job_store);
        self.append_log(&json!({"at_ms": now, "event": "exit", "task": task, "attempt": attempt,
            "machine": machine, "code": 0, "done": true}));
    }

    /// Returns the gang tasks that have exited successfully and wait for other members, each with the index of its
    /// worker.
    fn tasks_waiting_for_gang(&self) -> Vec<(usize, String)> {
        let waiting = |(index, worker): (usize, &Worker)| {
            let attempts = worker.attempts.iter();
            let waiting = attempts.filter(|attempt| attempt.phase == AttemptPhase::WaitingForGangExit);
            waiting.map(|attempt| (index, attempt.task.clone())).collect::<Vec<_>>()
        };
        self.workers.iter().enumerate().flat_map(waiting).collect()
    }

    /// Stores the result of a task in the job store and in all workers, so that a machine that is commanded to run
    /// the task again reports it as done at once.
    fn store_result(&mut self, task: &str, result: TaskResult, job_store: &mut JobStore) {
        job_store.record_result(task, result);
        self.workers.iter_mut().for_each(|worker| worker.restore_result(task, result));
    }

    fn append_log(&mut self, entry: &Value) {
        self.pending_log.push_str(&entry.to_string());
        self.pending_log.push('\n');
    }

    fn handle_exit(&mut self, exit: &ProcessExit, job_store: &mut JobStore, now: u64) {
        let key = &exit.key;
        let Some(index) = self.worker_index(&key.machine) else { return };
        let succeeded = exit.code == Some(0) && self.outputs.sync(&key.task, key.attempt).is_ok();
        let list_len = if succeeded { self.outputs.list_length(&key.task, key.attempt) } else { None };
        let worker = &mut self.workers[index];
        let done =
            worker.process_exited(&key.task, key.attempt, succeeded, list_len, &job_store.descriptions);
        if done {
            self.store_result(&key.task, TaskResult { attempt: key.attempt, list_len }, job_store);
        }
        self.append_log(&json!({"at_ms": now, "event": "exit", "task": key.task, "attempt": key.attempt,
            "machine": key.machine, "code": exit.code, "done": done}));
    }

    fn perform_process_action(
        &mut self,
        index: usize,
        action: ProcessAction,
        job_store: &JobStore,
        processes: &mut Processes,
        now: u64,
    ) {
        let machine = self.workers[index].machine.name.clone();
        let key = |task: String, attempt| AttemptKey { machine: machine.clone(), task, attempt };
        match action {
            ProcessAction::Start { task, attempt } => {
                self.start_task(index, &key(task, attempt), job_store, processes, now);
            }
            ProcessAction::Stop { task, attempt, grace_ms } => {
                processes.stop(&key(task, attempt), grace_ms, now);
            }
            ProcessAction::Kill { task, attempt } => processes.kill(&key(task, attempt)),
        }
    }

    fn start_task(
        &mut self,
        index: usize,
        key: &AttemptKey,
        job_store: &JobStore,
        processes: &mut Processes,
        now: u64,
    ) {
        let job = key.task.split('/').next().unwrap_or("");
        let Some(description) = job_store.descriptions.get(job) else { return };
        let TaskWork::Process(command) = &description.work else { return };
        let variables =
            self.outputs.prepare_attempt(&key.task, key.attempt, &job_store.descriptions, &job_store.results);
        let started = variables
            .and_then(|variables| processes.start(key.clone(), command, description.tasks, &variables));
        let (pid, problem) = match &started {
            Ok(pid) => (Some(*pid), None),
            Err(error) => (None, Some(error.to_string())),
        };
        self.append_log(&json!({"at_ms": now, "event": "start", "task": key.task, "attempt": key.attempt,
            "machine": key.machine, "pid": pid, "problem": problem}));
        if let Some(problem) = problem {
            // The log of the task tells the user why the task failed.
            processes.log_start_failure(key, &format!("cannot start the task: {problem}\n"));
            self.workers[index].process_exited(&key.task, key.attempt, false, None, &job_store.descriptions);
        }
    }

    /// Writes the pending entries of the run log and sends the heartbeats that are due. Everything that these report
    /// must be on disk.
    pub fn send_heartbeats(&mut self, keys: &mut KeyAllocator, http_client: &mut HttpClient, now: u64) {
        if !self.pending_log.is_empty() {
            // A write error is ignored: the log only serves tests and users, and a full disk must not stop the
            // machines.
            let _ = self.run_log.write_all(self.pending_log.as_bytes());
            self.pending_log.clear();
        }
        if self.controllers.is_empty() {
            return;
        }
        for index in 0..self.workers.len() {
            let HeartbeatChannel { call_slot, sender, .. } = &mut self.heartbeat_channels[index];
            if !sender.is_due(&self.workers[index], now, HEARTBEAT_TIMES) {
                continue;
            }
            let body = sender.send(&mut self.workers[index], now, HEARTBEAT_TIMES, 0).to_string();
            let addr = self.controllers[sender.current_controller(self.controllers.len())];
            let (slot, request) = (*call_slot, ("POST", "/v1/report", body.as_bytes()));
            if !http_client.send_request(keys, slot, addr, request, now + HEARTBEAT_TIMES.response_timeout_ms)
            {
                self.handle_response(slot, None, &JobStore::default(), now);
            }
        }
    }

    /// Handles the response to a heartbeat. Without a response, the next controller is tried.
    pub fn handle_response(
        &mut self,
        slot: CallSlot,
        response: Option<&Response>,
        job_store: &JobStore,
        now: u64,
    ) {
        let Some(index) = self.heartbeat_channels.iter().position(|channel| channel.call_slot == slot) else {
            return;
        };
        let body: Value =
            response.and_then(|response| serde_json::from_slice(&response.body).ok()).unwrap_or(Value::Null);
        let status = response.map_or(0, |response| response.status);
        let controllers = self.controllers.len();
        let index_of = |name: &str| controller_index(name, controllers);
        let response = HeartbeatResponse { status, body: &body };
        let (worker, sender) = (&mut self.workers[index], &mut self.heartbeat_channels[index].sender);
        sender.handle_response(worker, response, now, HEARTBEAT_TIMES, &job_store.descriptions, index_of);
    }

    /// Returns the number of attempts that run or whose process may still exist.
    pub fn running_tasks(&self) -> usize {
        self.workers.iter().flat_map(|worker| &worker.attempts).filter(|attempt| attempt.is_live()).count()
    }
}

#[cfg(test)]
#[path = "tests/machines.rs"]
mod tests;
