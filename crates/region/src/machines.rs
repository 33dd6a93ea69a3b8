//! The region's machines: workers that report to the controllers and run real commands.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;

use olivelatch_net::caller::{Caller, Slot};
use olivelatch_net::http::Response;
use olivelatch_net::poll::Keys;
use olivelatch_net::server::Port;
use olivelatch_worker::processes::{Exit, Key, Processes};
use olivelatch_worker::{
    Effect, GangTimes, Made, Phase, ReportAnswer, ReportTimes, Reporter, Work, Worker, coordinate,
};
use serde_json::{Value, json};

use crate::cloud::{KindSpec, Rented};
use crate::controllers::{GANG_PEER_S, GANG_WAIT_S, LEASE_S, REPORT_S, controller_place};
use crate::desk::Desk;
use crate::outputs::Outputs;

/// On one machine reports cost little, so they may follow one another faster than the protocol's half second.
const REPORTS: ReportTimes =
    ReportTimes { every_ms: (REPORT_S * 1000.0) as u64, change_ms: 50, retry_ms: 200, patience_ms: 4_000 };
const LEASE_MS: u64 = (LEASE_S * 1000.0) as u64;

fn ms(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

/// How a worker's reports go.
struct Reporting {
    port: Port,
    slot: Slot,
    reporter: Reporter,
}

pub struct Machines {
    workers: Vec<Worker>,
    reporting: Vec<Reporting>,
    /// Since when an attempt of a gang lacks a member.
    broken: BTreeMap<(String, u64), u64>,
    controllers: Vec<SocketAddr>,
    outputs: Outputs,
    /// What was run when, by the workers' own word; written once what it tells is on disk.
    record: File,
    notes: String,
}

impl Machines {
    pub fn open(folder: &Path, controllers: Vec<SocketAddr>) -> io::Result<Machines> {
        let record = OpenOptions::new().create(true).append(true).open(folder.join("runs.jsonl"))?;
        Ok(Machines {
            workers: Vec::new(),
            reporting: Vec::new(),
            broken: BTreeMap::new(),
            controllers,
            outputs: Outputs::new(folder),
            record,
            notes: String::new(),
        })
    }

    pub fn has(&self, name: &str) -> bool {
        self.workers.iter().any(|worker| worker.machine.name == name)
    }

    pub fn names(&self) -> Vec<String> {
        self.workers.iter().map(|worker| worker.machine.name.clone()).collect()
    }

    /// A rented machine comes up; `endpoint` is where its worker is served.
    pub fn boot(
        &mut self,
        rented: &Rented,
        kind: &KindSpec,
        endpoint: SocketAddr,
        port: Port,
        desk: &Desk,
        now: u64,
    ) {
        let machine = rented.machine(kind, endpoint.to_string());
        let mut worker = Worker::new(machine, now);
        desk.results.iter().for_each(|(task, made)| worker.knows_result(task, *made));
        let home = port.0 % self.controllers.len().max(1);
        self.workers.push(worker);
        self.reporting.push(Reporting { port, slot: Slot(port.0), reporter: Reporter::new(home, now) });
    }

    /// A machine that was returned: its tasks are ended with it.
    pub fn drop_machine(
        &mut self,
        name: &str,
        processes: &mut Processes,
        caller: &mut Caller,
    ) -> Option<Port> {
        let at = self.workers.iter().position(|worker| worker.machine.name == name)?;
        let worker = self.workers.remove(at);
        let reporting = self.reporting.remove(at);
        for piece in worker.attempts.iter().filter(|piece| piece.live()) {
            processes.kill(&Key { machine: name.into(), task: piece.task.clone(), attempt: piece.attempt });
        }
        caller.hang_up(reporting.slot);
        Some(reporting.port)
    }

    /// A controller's command, or a look at the worker.
    pub fn request(
        &mut self,
        port: Port,
        method: &str,
        path: &str,
        body: &[u8],
        desk: &Desk,
        now: u64,
    ) -> (u16, Value) {
        let Some(at) = self.reporting.iter().position(|reporting| reporting.port == port) else {
            return (404, json!({"error": "no such machine"}));
        };
        match (method, path) {
            ("POST", "/orders") => self.workers[at].direct(body, now, &desk.descriptions),
            ("GET", "/status") => (200, self.workers[at].report(now)),
            _ => (404, json!({"error": "no such path"})),
        }
    }

    /// Time passes on all machines: what is due starts, stops and is told.
    pub fn step(&mut self, now: u64, desk: &mut Desk, processes: &mut Processes) {
        for exit in processes.reap(now) {
            self.exited(&exit, desk, now);
        }
        for worker in &mut self.workers {
            worker.step(now, LEASE_MS, &desk.descriptions);
            worker.started.clear();
        }
        let times = GangTimes { wait_ms: ms(GANG_WAIT_S), peer_ms: ms(GANG_PEER_S) };
        let complete = self.complete();
        coordinate(&mut self.workers, now, times, &desk.descriptions, &mut self.broken);
        for (at, task) in complete {
            let done = |piece: &olivelatch_worker::TaskAttempt| {
                piece.task == task && piece.phase == (Phase::Ended { cause: "done", kept: false })
            };
            if let Some(piece) = self.workers[at].attempts.iter().find(|piece| done(piece)) {
                let (attempt, machine) = (piece.attempt, self.workers[at].machine.name.clone());
                let made = self.workers[at].result(&task).unwrap_or_default();
                self.keep_result(&task, made, desk);
                // A gang's tasks are done when the last of them has exited.
                self.note(json!({"at_ms": now, "event": "exit", "task": task, "attempt": attempt,
                    "machine": machine, "code": 0, "done": true}));
            }
        }
        for at in 0..self.workers.len() {
            for effect in self.workers[at].take_effects() {
                self.carry_out(at, effect, desk, processes, now);
            }
        }
    }

    /// Members of gangs that have exited well and wait for the others.
    fn complete(&self) -> Vec<(usize, String)> {
        let waits = |at: usize| {
            let pieces = self.workers[at].attempts.iter().filter(|piece| piece.phase == Phase::Complete);
            pieces.map(move |piece| (at, piece.task.clone()))
        };
        (0..self.workers.len()).flat_map(waits).collect()
    }

    /// A task is done: whichever machine is told to run it again ends it at once, as those do that come up later.
    fn keep_result(&mut self, task: &str, made: Made, desk: &mut Desk) {
        desk.result(task, made);
        self.workers.iter_mut().for_each(|worker| worker.knows_result(task, made));
    }

    fn note(&mut self, what: Value) {
        self.notes.push_str(&what.to_string());
        self.notes.push('\n');
    }

    fn exited(&mut self, exit: &Exit, desk: &mut Desk, now: u64) {
        let key = &exit.key;
        let Some(at) = self.workers.iter().position(|worker| worker.machine.name == key.machine) else {
            return;
        };
        let well = exit.code == Some(0) && self.outputs.sync(&key.task, key.attempt).is_ok();
        let gave = if well { self.outputs.list_length(&key.task, key.attempt) } else { None };
        let done = self.workers[at].exited(&key.task, key.attempt, well, gave, &desk.descriptions);
        if done {
            self.keep_result(&key.task, Made { attempt: key.attempt, gave }, desk);
        }
        self.note(json!({"at_ms": now, "event": "exit", "task": key.task, "attempt": key.attempt,
            "machine": key.machine, "code": exit.code, "done": done}));
    }

    fn carry_out(&mut self, at: usize, effect: Effect, desk: &Desk, processes: &mut Processes, now: u64) {
        let machine = self.workers[at].machine.name.clone();
        let key = |task: String, attempt| Key { machine: machine.clone(), task, attempt };
        match effect {
            Effect::Start { task, attempt } => self.start(at, &key(task, attempt), desk, processes, now),
            Effect::Stop { task, attempt, grace_ms } => processes.stop(&key(task, attempt), grace_ms, now),
            Effect::Kill { task, attempt } => processes.kill(&key(task, attempt)),
        }
    }

    fn start(&mut self, at: usize, key: &Key, desk: &Desk, processes: &mut Processes, now: u64) {
        let job = key.task.split('/').next().unwrap_or("");
        let Some(description) = desk.descriptions.get(job) else { return };
        let Work::Runs(command) = &description.work else { return };
        let variables = self.outputs.prepare(&key.task, key.attempt, &desk.descriptions, &desk.results);
        let started = variables
            .and_then(|variables| processes.start(key.clone(), command, description.tasks, &variables));
        let (pid, problem) = match &started {
            Ok(pid) => (Some(*pid), None),
            Err(error) => (None, Some(error.to_string())),
        };
        self.note(json!({"at_ms": now, "event": "start", "task": key.task, "attempt": key.attempt,
            "machine": key.machine, "pid": pid, "problem": problem}));
        if let Some(problem) = problem {
            // The user looks for the reason in the task's log.
            processes.note_failure(key, &format!("cannot start: {problem}\n"));
            self.workers[at].exited(&key.task, key.attempt, false, None, &desk.descriptions);
        }
    }

    /// Reports that are due go out; all they say is on disk by now.
    pub fn report(&mut self, keys: &mut Keys, caller: &mut Caller, now: u64) {
        if !self.notes.is_empty() {
            // The record is for checks and people; a full disk must not stop the machines.
            let _ = self.record.write_all(self.notes.as_bytes());
            self.notes.clear();
        }
        if self.controllers.is_empty() {
            return;
        }
        for at in 0..self.workers.len() {
            let Reporting { slot, reporter, .. } = &mut self.reporting[at];
            if !reporter.due(&self.workers[at], now, REPORTS) {
                continue;
            }
            let body = reporter.send(&mut self.workers[at], now, REPORTS, 0).to_string();
            let addr = self.controllers[reporter.controller(self.controllers.len())];
            let (slot, request) = (*slot, ("POST", "/v1/report", body.as_bytes()));
            if !caller.call(keys, slot, addr, request, now + REPORTS.patience_ms) {
                self.answered(slot, None, &Desk::default(), now);
            }
        }
    }

    /// An answer to a report, or none: then the next controller is tried.
    pub fn answered(&mut self, slot: Slot, response: Option<&Response>, desk: &Desk, now: u64) {
        let Some(at) = self.reporting.iter().position(|reporting| reporting.slot == slot) else { return };
        let body: Value =
            response.and_then(|response| serde_json::from_slice(&response.body).ok()).unwrap_or(Value::Null);
        let status = response.map_or(0, |response| response.status);
        let controllers = self.controllers.len();
        let place = |name: &str| controller_place(name, controllers);
        let answer = ReportAnswer { status, body: &body };
        let (worker, reporter) = (&mut self.workers[at], &mut self.reporting[at].reporter);
        reporter.answered(worker, answer, now, REPORTS, &desk.descriptions, place);
    }

    /// Tasks that have their image and are not over.
    pub fn busy(&self) -> usize {
        self.workers.iter().flat_map(|worker| &worker.attempts).filter(|piece| piece.live()).count()
    }
}

#[cfg(test)]
#[path = "tests/machines.rs"]
mod tests;
