//! The worker of one machine: reports, commands, tokens and the lease, as in the users' protocol. Gangs have one task.

use std::collections::{BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Client, Reply, Request, serve};
use crate::jobs::{Job, Jobs};
use crate::record::Record;

/// Shortest time between two reports of changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
const RETRY: Duration = Duration::from_secs(1);

/// Times of the protocol.
#[derive(Clone, Copy)]
pub struct Times {
    pub report: Duration,
    pub lease: Duration,
}

/// What all machines share.
#[derive(Clone)]
pub struct Shared {
    pub jobs: Jobs,
    pub record: Record,
    pub times: Times,
    /// The name and the address of each controller.
    pub controllers: Arc<Vec<(String, SocketAddr)>>,
    /// Results of tasks that are done; they are stored outside the machines.
    pub done: Arc<Mutex<BTreeSet<String>>>,
}

/// What the cloud knows of a machine.
#[derive(Clone)]
pub struct MachineKind {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub vcpus: f64,
    pub memory_gb: f64,
    pub pull_gb_per_s: f64,
}

#[derive(Clone, PartialEq)]
enum Phase {
    Fetching,
    Running { until: Option<Instant> },
    Flushing { until: Instant },
    Ended { cause: &'static str, kept: bool },
}

struct Task {
    name: String,
    attempt: u64,
    phase: Phase,
}

impl Task {
    fn is_live(&self) -> bool {
        !matches!(self.phase, Phase::Ended { .. })
    }
}

struct State {
    shift: u64,
    tick: u64,
    baton: u64,
    lease_began: Instant,
    tasks: Vec<Task>,
    /// When each image is on the machine.
    images: HashMap<String, Instant>,
    is_changed: bool,
    /// Every task that the machine starts fails.
    is_sick: bool,
}

/// A machine with its worker; clones share it.
#[derive(Clone)]
pub struct Worker {
    pub machine: MachineKind,
    pub endpoint: SocketAddr,
    shared: Shared,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
}

impl Worker {
    /// Starts the worker of a machine that is up.
    pub fn start(machine: MachineKind, shared: &Shared) -> std::io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            shift: 1,
            tick: 0,
            baton: 0,
            lease_began: Instant::now(),
            tasks: Vec::new(),
            images: HashMap::new(),
            is_changed: true,
            is_sick: false,
        };
        let worker = Worker {
            machine,
            endpoint: listener.local_addr()?,
            shared: shared.clone(),
            state: Arc::new(Mutex::new(state)),
            stopped: Arc::new(AtomicBool::new(false)),
        };
        let served = worker.clone();
        serve(listener, worker.stopped.clone(), Arc::new(move |request: &Request| served.handle(request)));
        let reporting = worker.clone();
        thread::spawn(move || reporting.report_until_stopped());
        Ok(worker)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, text: &str) {
        self.shared.record.line(&self.machine.name, text);
    }

    /// The machine is gone, with everything on it.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.lock().tasks.clear();
    }

    pub fn set_sick(&self, is_sick: bool) {
        self.lock().is_sick = is_sick;
        self.note(if is_sick { "fails every task from now on" } else { "is sound again" });
    }

    /// Free CPUs and memory, without tasks that have ended.
    pub fn free(&self) -> (f64, f64) {
        let state = self.lock();
        let live = state.tasks.iter().filter(|task| task.is_live());
        let jobs: Vec<Job> = live.filter_map(|task| self.shared.jobs.of_task(&task.name)).collect();
        let used = |field| jobs.iter().map(|job| job.number(field)).sum::<f64>();
        (self.machine.vcpus - used("vcpus"), self.machine.memory_gb - used("memory_gb"))
    }

    /// Whether a leader has answered.
    pub fn is_led(&self) -> bool {
        self.lock().baton > 0
    }

    pub fn is_running(&self, task: &str) -> bool {
        let state = self.lock();
        state.tasks.iter().any(|known| known.name == task && matches!(known.phase, Phase::Running { .. }))
    }

    fn report(&self, state: &mut State) -> Value {
        state.tick += 1;
        let pieces: Vec<Value> = state
            .tasks
            .iter()
            .map(|task| match &task.phase {
                Phase::Fetching => json!({"piece": task.name, "try": task.attempt, "status": "fetching"}),
                Phase::Running { .. } => json!({"piece": task.name, "try": task.attempt, "status": "running"}),
                Phase::Flushing { .. } => json!({"piece": task.name, "try": task.attempt, "status": "flushing"}),
                Phase::Ended { cause: "halted", kept } => {
                    json!({"piece": task.name, "try": task.attempt, "status": "ended", "cause": "halted", "kept": kept})
                }
                Phase::Ended { cause, .. } => {
                    json!({"piece": task.name, "try": task.attempt, "status": "ended", "cause": cause})
                }
            })
            .collect();
        json!({"box": self.machine.name, "endpoint": self.endpoint.to_string(), "boxkind": self.machine.kind,
            "hall": self.machine.zone, "loaners": self.machine.spot, "shift": state.shift, "tick": state.tick,
            "baton": state.baton, "warning_s": null, "pieces": pieces})
    }

    fn handle(&self, request: &Request) -> Option<Reply> {
        if self.stopped.load(Ordering::Relaxed) {
            return None;
        }
        let mut state = self.lock();
        if (request.method.as_str(), request.path.as_str()) == ("GET", "/status") {
            return Some((200, self.report(&mut state)));
        }
        let body = request.json();
        let (Some(baton), Some(shift)) = (body["baton"].as_u64(), body["shift"].as_u64()) else {
            return Some((400, json!({"error": "baton or shift is missing"})));
        };
        if baton < state.baton || shift != state.shift {
            return Some((409, self.report(&mut state)));
        }
        state.is_changed |= baton > state.baton;
        state.baton = baton;
        self.execute(&mut state, &body);
        Some((200, self.report(&mut state)))
    }

    fn execute(&self, state: &mut State, body: &Value) {
        for order in body["orders"].as_array().into_iter().flatten() {
            let (name, attempt) = (order["piece"].as_str().unwrap_or(""), order["try"].as_u64().unwrap_or(0));
            self.note(&format!("is told {order}"));
            match order["verb"].as_str() {
                Some("run") => self.run(state, name, attempt),
                Some("halt") => self.halt(state, name, attempt, order["wind_down_s"].as_f64().unwrap_or(0.0)),
                Some("reap") => {
                    state.tasks.retain(|task| task.is_live() || task.name != name || task.attempt != attempt);
                }
                _ => {}
            }
            state.is_changed = true;
        }
    }

    fn run(&self, state: &mut State, name: &str, attempt: u64) {
        if state.tasks.iter().any(|task| task.name == name && task.attempt == attempt) {
            return;
        }
        let live: Vec<&Task> = state.tasks.iter().filter(|task| task.is_live()).collect();
        let jobs: Vec<Job> = live.iter().filter_map(|task| self.shared.jobs.of_task(&task.name)).collect();
        let refused = |cause| Phase::Ended { cause, kept: false };
        let phase = match self.shared.jobs.of_task(name) {
            None => refused("unknown"),
            Some(_) if live.iter().any(|task| task.name == name) => refused("busy"),
            Some(job) => {
                let need = |field| jobs.iter().chain([&job]).map(|job| job.number(field)).sum::<f64>();
                let fits = need("vcpus") <= self.machine.vcpus + 1e-6
                    && need("memory_gb") <= self.machine.memory_gb + 1e-6;
                if fits {
                    let pull_s = job.number("size_gb") / self.machine.pull_gb_per_s;
                    let image = job.body["bundle"].as_str().unwrap_or("").to_string();
                    let ready = Instant::now() + Duration::from_secs_f64(pull_s);
                    state.images.entry(image).or_insert(ready);
                    Phase::Fetching
                } else {
                    refused("full")
                }
            }
        };
        state.tasks.push(Task { name: name.into(), attempt, phase });
    }

    fn halt(&self, state: &mut State, name: &str, attempt: u64, wind_down_s: f64) {
        let Some(job) = self.shared.jobs.of_task(name) else { return };
        let wanted = state.tasks.iter_mut().find(|task| task.name == name && task.attempt == attempt);
        let Some(task) = wanted.filter(|task| task.is_live()) else { return };
        let saves = job.number("snapshot_s") > 0.0 && wind_down_s >= job.number("flush_s");
        task.phase = match &task.phase {
            Phase::Running { .. } if saves => {
                Phase::Flushing { until: Instant::now() + Duration::from_secs_f64(job.number("flush_s")) }
            }
            Phase::Flushing { until } if wind_down_s > 0.0 => Phase::Flushing { until: *until },
            _ => Phase::Ended { cause: "halted", kept: false },
        };
    }

    /// Advances the tasks and the lease to the present.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        if now.duration_since(state.lease_began) > self.shared.times.lease {
            if !state.tasks.is_empty() {
                self.note("its lease has run out: all its tasks are killed");
            }
            state.shift += 1;
            state.tasks.clear();
            state.lease_began = now;
            state.is_changed = true;
        }
        let (images, is_sick) = (&state.images, state.is_sick);
        for task in &mut state.tasks {
            let next = self.next_phase(task, images, is_sick, now);
            if let Some(next) = next {
                let text = match &next {
                    Phase::Running { .. } => "runs".to_string(),
                    Phase::Ended { cause, .. } => format!("has ended: {cause}"),
                    _ => "goes on".to_string(),
                };
                self.note(&format!("{} try {} {text}", task.name, task.attempt));
                task.phase = next;
                state.is_changed = true;
            }
        }
    }

    fn next_phase(
        &self,
        task: &Task,
        images: &HashMap<String, Instant>,
        is_sick: bool,
        now: Instant,
    ) -> Option<Phase> {
        let job = self.shared.jobs.of_task(&task.name)?;
        let mut done = self.shared.done.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = |cause| Some(Phase::Ended { cause, kept: false });
        match &task.phase {
            Phase::Fetching => {
                let image = job.body["bundle"].as_str().unwrap_or("");
                if images.get(image).is_none_or(|ready| *ready > now) {
                    None
                } else if done.contains(&task.name) {
                    ended("done")
                } else if is_sick {
                    ended("error")
                } else {
                    Some(Phase::Running { until: job.run.map(|run| now + run) })
                }
            }
            Phase::Running { until: Some(until) } if *until <= now => {
                done.insert(task.name.clone());
                ended("done")
            }
            Phase::Flushing { until } if *until <= now => Some(Phase::Ended { cause: "halted", kept: true }),
            _ => None,
        }
    }

    fn report_until_stopped(&self) {
        let controllers = self.shared.controllers.clone();
        let number: usize = self.machine.name.bytes().map(usize::from).sum();
        let mut current = number % controllers.len();
        let mut client = Client::new(controllers[current].1);
        let (mut due, mut sent_last) = (Instant::now(), None::<Instant>);
        let mut round: u32 = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
            let now = Instant::now();
            let mut state = self.lock();
            self.advance(&mut state);
            let has_change = state.is_changed && sent_last.is_none_or(|sent| now >= sent + CHANGE_INTERVAL);
            if now < due
                && !(has_change && sent_last.is_none_or(|sent| due <= sent + self.shared.times.report * 2))
            {
                continue;
            }
            state.is_changed = false;
            let (shift, body) = (state.shift, self.report(&mut state).to_string());
            drop(state);
            let response = client.request("POST", "/v1/report", &body, RESPONSE_TIMEOUT);
            sent_last = Some(now);
            // Plus or minus a quarter.
            round += 1;
            due = now + self.shared.times.report * (3 + round % 3) / 4;
            let mut next = None;
            match response {
                Ok((200, answer)) => self.accept(&answer, shift, now),
                Ok((421, answer)) => {
                    let home = answer["home"].as_str();
                    let named = home.and_then(|home| controllers.iter().position(|(name, _)| name == home));
                    match named.filter(|named| *named != current) {
                        Some(named) => {
                            next = Some(named);
                            due = Instant::now();
                        }
                        None => {
                            next = Some((current + 1) % controllers.len());
                            due = Instant::now() + RETRY;
                        }
                    }
                }
                _ => {
                    next = Some((current + 1) % controllers.len());
                    due = Instant::now() + RETRY;
                }
            }
            if let Some(next) = next {
                current = next;
                client = Client::new(controllers[current].1);
                sent_last = None;
                // A change waits for the new time as well.
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        }
    }

    fn accept(&self, answer: &Value, shift: u64, sent: Instant) {
        let mut state = self.lock();
        let Some(baton) = answer["baton"].as_u64().filter(|baton| *baton >= state.baton) else { return };
        if shift != state.shift {
            return;
        }
        state.is_changed |= baton > state.baton;
        state.baton = baton;
        state.lease_began = sent;
        self.execute(&mut state, answer);
    }
}
