//! The region's machines: workers that report to the controllers and run real commands.

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
use crate::controllers::{GANG_PEER_S, GANG_WAIT_S, HEARTBEAT_S, LEASE_S, controller_index};
use crate::job_store::JobStore;
use crate::task_outputs::TaskOutputs;

/// On one machine reports cost little, so they may follow one another faster than the protocol's half second.
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

/// How a worker's reports go.
struct HeartbeatChannel {
    listener: ListenerId,
    call_slot: CallSlot,
    reporter: HeartbeatSender,
}

pub struct Machines {
    workers: Vec<Worker>,
    heartbeat_channels: Vec<HeartbeatChannel>,
    /// Since when an attempt of a gang lacks a member.
    broken_gangs: BTreeMap<(String, u64), u64>,
    controllers: Vec<SocketAddr>,
    outputs: TaskOutputs,
    /// What was run when, by the workers' own word; written once what it tells is on disk.
    run_log: File,
    pending_log: String,
}

impl Machines {
    pub fn open(folder: &Path, controllers: Vec<SocketAddr>) -> io::Result<Machines> {
        let record = OpenOptions::new().create(true).append(true).open(folder.join("runs.jsonl"))?;
        Ok(Machines {
            workers: Vec::new(),
            heartbeat_channels: Vec::new(),
            broken_gangs: BTreeMap::new(),
            controllers,
            outputs: TaskOutputs::new(folder),
            run_log: record,
            pending_log: String::new(),
        })
    }

    pub fn has_machine(&self, name: &str) -> bool {
        self.workers.iter().any(|worker| worker.machine.name == name)
    }

    pub fn names(&self) -> Vec<String> {
        self.workers.iter().map(|worker| worker.machine.name.clone()).collect()
    }

    /// A rented machine comes up; `endpoint` is where its worker is served.
    pub fn add_machine(
        &mut self,
        rented: &CloudMachine,
        kind: &MachineTypeSpec,
        endpoint: SocketAddr,
        port: ListenerId,
        desk: &JobStore,
        now: u64,
    ) {
        let machine = rented.machine(kind, endpoint.to_string());
        let mut worker = Worker::new(machine, now);
        desk.results.iter().for_each(|(task, made)| worker.restore_result(task, *made));
        let home = port.0 % self.controllers.len().max(1);
        self.workers.push(worker);
        self.heartbeat_channels.push(HeartbeatChannel {
            listener: port,
            call_slot: CallSlot(port.0),
            reporter: HeartbeatSender::new(home, now),
        });
    }

    /// A machine that was returned: its tasks are ended with it.
    pub fn remove_machine(
        &mut self,
        name: &str,
        processes: &mut Processes,
        caller: &mut HttpClient,
    ) -> Option<ListenerId> {
        let at = self.workers.iter().position(|worker| worker.machine.name == name)?;
        let worker = self.workers.remove(at);
        let reporting = self.heartbeat_channels.remove(at);
        for piece in worker.attempts.iter().filter(|piece| piece.is_live()) {
            processes.kill(&AttemptKey {
                machine: name.into(),
                task: piece.task.clone(),
                attempt: piece.attempt,
            });
        }
        caller.abort_call(reporting.call_slot);
        Some(reporting.listener)
    }

    /// A controller's command, or a look at the worker.
    pub fn handle_request(
        &mut self,
        port: ListenerId,
        method: &str,
        path: &str,
        body: &[u8],
        desk: &JobStore,
        now: u64,
    ) -> (u16, Value) {
        let Some(at) = self.heartbeat_channels.iter().position(|reporting| reporting.listener == port) else {
            return (404, json!({"error": "no such machine"}));
        };
        match (method, path) {
            ("POST", "/orders") => self.workers[at].handle_direct_command(body, now, &desk.descriptions),
            ("GET", "/status") => (200, self.workers[at].heartbeat(now)),
            _ => (404, json!({"error": "no such path"})),
        }
    }

    /// Time passes on all machines: what is due starts, stops and is told.
    pub fn step_workers(&mut self, now: u64, desk: &mut JobStore, processes: &mut Processes) {
        for exit in processes.collect_exits(now) {
            self.handle_exit(&exit, desk, now);
        }
        for worker in &mut self.workers {
            worker.advance(now, LEASE_MS, &desk.descriptions);
            worker.started_tasks.clear();
        }
        let times =
            GangTimes { gather_timeout_ms: to_ms(GANG_WAIT_S), peer_loss_timeout_ms: to_ms(GANG_PEER_S) };
        let complete = self.completed_tasks();
        coordinate_gangs(&mut self.workers, now, times, &desk.descriptions, &mut self.broken_gangs);
        for (at, task) in complete {
            let done = |piece: &olivelatch_worker::TaskAttempt| {
                piece.task == task
                    && piece.phase == (AttemptPhase::Ended { cause: "done", checkpoint_kept: false })
            };
            if let Some(piece) = self.workers[at].attempts.iter().find(|piece| done(piece)) {
                let (attempt, machine) = (piece.attempt, self.workers[at].machine.name.clone());
                let made = self.workers[at].result(&task).unwrap_or_default();
                self.store_result(&task, made, desk);
                // A gang's tasks are done when the last of them has exited.
                self.append_log(json!({"at_ms": now, "event": "exit", "task": task, "attempt": attempt,
                    "machine": machine, "code": 0, "done": true}));
            }
        }
        for at in 0..self.workers.len() {
            for effect in self.workers[at].take_process_actions() {
                self.apply_effect(at, effect, desk, processes, now);
            }
        }
    }

    /// Members of gangs that have exited well and wait for the others.
    fn completed_tasks(&self) -> Vec<(usize, String)> {
        let waits = |at: usize| {
            let pieces = self.workers[at]
                .attempts
                .iter()
                .filter(|piece| piece.phase == AttemptPhase::WaitingForGangExit);
            pieces.map(move |piece| (at, piece.task.clone()))
        };
        (0..self.workers.len()).flat_map(waits).collect()
    }

    /// A task is done: whichever machine is told to run it again ends it at once, as those do that come up later.
    fn store_result(&mut self, task: &str, made: TaskResult, desk: &mut JobStore) {
        desk.record_result(task, made);
        self.workers.iter_mut().for_each(|worker| worker.restore_result(task, made));
    }

    fn append_log(&mut self, what: Value) {
        self.pending_log.push_str(&what.to_string());
        self.pending_log.push('\n');
    }

    fn handle_exit(&mut self, exit: &ProcessExit, desk: &mut JobStore, now: u64) {
        let key = &exit.key;
        let Some(at) = self.workers.iter().position(|worker| worker.machine.name == key.machine) else {
            return;
        };
        let well = exit.code == Some(0) && self.outputs.sync(&key.task, key.attempt).is_ok();
        let gave = if well { self.outputs.list_length(&key.task, key.attempt) } else { None };
        let done = self.workers[at].process_exited(&key.task, key.attempt, well, gave, &desk.descriptions);
        if done {
            self.store_result(&key.task, TaskResult { attempt: key.attempt, list_len: gave }, desk);
        }
        self.append_log(json!({"at_ms": now, "event": "exit", "task": key.task, "attempt": key.attempt,
            "machine": key.machine, "code": exit.code, "done": done}));
    }

    fn apply_effect(
        &mut self,
        at: usize,
        effect: ProcessAction,
        desk: &JobStore,
        processes: &mut Processes,
        now: u64,
    ) {
        let machine = self.workers[at].machine.name.clone();
        let key = |task: String, attempt| AttemptKey { machine: machine.clone(), task, attempt };
        match effect {
            ProcessAction::Start { task, attempt } => {
                self.start_task(at, &key(task, attempt), desk, processes, now)
            }
            ProcessAction::Stop { task, attempt, grace_ms } => {
                processes.stop(&key(task, attempt), grace_ms, now)
            }
            ProcessAction::Kill { task, attempt } => processes.kill(&key(task, attempt)),
        }
    }

    fn start_task(
        &mut self,
        at: usize,
        key: &AttemptKey,
        desk: &JobStore,
        processes: &mut Processes,
        now: u64,
    ) {
        let job = key.task.split('/').next().unwrap_or("");
        let Some(description) = desk.descriptions.get(job) else { return };
        let TaskWork::Process(command) = &description.work else { return };
        let variables =
            self.outputs.prepare_attempt(&key.task, key.attempt, &desk.descriptions, &desk.results);
        let started = variables
            .and_then(|variables| processes.start(key.clone(), command, description.tasks, &variables));
        let (pid, problem) = match &started {
            Ok(pid) => (Some(*pid), None),
            Err(error) => (None, Some(error.to_string())),
        };
        self.append_log(json!({"at_ms": now, "event": "start", "task": key.task, "attempt": key.attempt,
            "machine": key.machine, "pid": pid, "problem": problem}));
        if let Some(problem) = problem {
            // The user looks for the reason in the task's log.
            processes.log_start_failure(key, &format!("cannot start: {problem}\n"));
            self.workers[at].process_exited(&key.task, key.attempt, false, None, &desk.descriptions);
        }
    }

    /// Reports that are due go out; all they say is on disk by now.
    pub fn send_heartbeats(&mut self, keys: &mut KeyAllocator, caller: &mut HttpClient, now: u64) {
        if !self.pending_log.is_empty() {
            // The record is for checks and people; a full disk must not stop the machines.
            let _ = self.run_log.write_all(self.pending_log.as_bytes());
            self.pending_log.clear();
        }
        if self.controllers.is_empty() {
            return;
        }
        for at in 0..self.workers.len() {
            let HeartbeatChannel { call_slot: slot, reporter, .. } = &mut self.heartbeat_channels[at];
            if !reporter.is_due(&self.workers[at], now, HEARTBEAT_TIMES) {
                continue;
            }
            let body = reporter.send(&mut self.workers[at], now, HEARTBEAT_TIMES, 0).to_string();
            let addr = self.controllers[reporter.current_controller(self.controllers.len())];
            let (slot, request) = (*slot, ("POST", "/v1/report", body.as_bytes()));
            if !caller.send_request(keys, slot, addr, request, now + HEARTBEAT_TIMES.response_timeout_ms) {
                self.handle_response(slot, None, &JobStore::default(), now);
            }
        }
    }

    /// An answer to a report, or none: then the next controller is tried.
    pub fn handle_response(
        &mut self,
        slot: CallSlot,
        response: Option<&Response>,
        desk: &JobStore,
        now: u64,
    ) {
        let Some(at) = self.heartbeat_channels.iter().position(|reporting| reporting.call_slot == slot)
        else {
            return;
        };
        let body: Value =
            response.and_then(|response| serde_json::from_slice(&response.body).ok()).unwrap_or(Value::Null);
        let status = response.map_or(0, |response| response.status);
        let controllers = self.controllers.len();
        let place = |name: &str| controller_index(name, controllers);
        let answer = HeartbeatResponse { status, body: &body };
        let (worker, reporter) = (&mut self.workers[at], &mut self.heartbeat_channels[at].reporter);
        reporter.handle_response(worker, answer, now, HEARTBEAT_TIMES, &desk.descriptions, place);
    }

    /// Tasks that have their image and are not over.
    pub fn running_tasks(&self) -> usize {
        self.workers.iter().flat_map(|worker| &worker.attempts).filter(|piece| piece.is_live()).count()
    }
}

#[cfg(test)]
#[path = "tests/machines.rs"]
mod tests;
