//! One machine's tasks, by the rules of sessions, tokens and leases. Times are milliseconds of a steady clock.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::describe::{Description, Descriptions, Work};

/// The machine a worker is on.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    pub name: String,
    pub endpoint: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub fetch_gb_per_s: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Phase {
    Fetching {
        until: u64,
    },
    Gathering {
        since: u64,
    },
    /// None: until its process exits.
    Running {
        until: Option<u64>,
    },
    /// A gang's process has exited well and waits for the others.
    Complete,
    Saving {
        until: Option<u64>,
    },
    /// Told to stop: its process has not exited yet, and how it will count.
    Stopping {
        cause: &'static str,
    },
    Ended {
        cause: &'static str,
        kept: bool,
    },
}

/// The result of a task that is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Made {
    /// The attempt whose output counts; 0 where that was not kept.
    pub attempt: u64,
    /// The length of the list it gave.
    #[serde(default)]
    pub gave: Option<u32>,
}

#[derive(Debug, Clone)]
pub struct TaskAttempt {
    pub task: String,
    pub attempt: u64,
    pub phase: Phase,
    /// When it has its image, it is on the machine.
    pub on: bool,
}

impl TaskAttempt {
    pub fn job(&self) -> &str {
        self.task.split('/').next().unwrap_or("")
    }

    pub fn ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    /// It works, or a process of its may still be there.
    pub fn live(&self) -> bool {
        matches!(
            self.phase,
            Phase::Running { .. } | Phase::Complete | Phase::Saving { .. } | Phase::Stopping { .. }
        )
    }
}

/// What the machine has to do with processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    Start {
        task: String,
        attempt: u64,
    },
    /// Politely, and hard after the grace.
    Stop {
        task: String,
        attempt: u64,
        grace_ms: u64,
    },
    /// At once.
    Kill {
        task: String,
        attempt: u64,
    },
}

/// A process that is told to stop and saves nothing gets this long.
const STOP_GRACE_MS: u64 = 1_000;

#[derive(Debug)]
pub struct Worker {
    pub machine: Machine,
    pub session: u64,
    /// Rises with every report and every answer to a command.
    pub sequence: u64,
    pub token: u64,
    pub notice_until: Option<u64>,
    pub attempts: Vec<TaskAttempt>,
    pub images: Vec<String>,
    /// When the last report that was answered went out.
    pub answered: u64,
    pub sick: bool,
    /// Its tasks take so many times as long.
    pub slow: u64,
    /// Tasks that got their image since the last look: the moment rules are judged.
    pub started: Vec<String>,
    pub changed: bool,
    /// Tasks that completed here: started again, they end at once, and the first result counts.
    finished: BTreeMap<String, Made>,
    /// Lists that members of gangs gave before the others were through.
    given: BTreeMap<String, u32>,
    effects: Vec<Effect>,
}

fn ended(cause: &'static str) -> Phase {
    Phase::Ended { cause, kept: false }
}

impl Worker {
    pub fn new(machine: Machine, now: u64) -> Worker {
        Worker {
            machine,
            session: 1,
            sequence: 0,
            token: 0,
            notice_until: None,
            attempts: Vec::new(),
            images: Vec::new(),
            answered: now,
            sick: false,
            slow: 1,
            started: Vec::new(),
            changed: true,
            finished: BTreeMap::new(),
            given: BTreeMap::new(),
            effects: Vec::new(),
        }
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// A result that outlived an earlier machine.
    pub fn knows_result(&mut self, task: &str, made: Made) {
        self.finished.entry(task.into()).or_insert(made);
    }

    /// The result of a task that is done.
    pub fn result(&self, task: &str) -> Option<Made> {
        self.finished.get(task).copied()
    }

    pub fn report(&mut self, now: u64) -> Value {
        self.sequence += 1;
        let pieces: Vec<Value> =
            self.attempts.iter().map(|piece| attempt_json(piece, self.finished.get(&piece.task))).collect();
        let notice = self.notice_until.map(|until| until.saturating_sub(now) as f64 / 1000.0);
        let machine = &self.machine;
        json!({"box": machine.name, "endpoint": machine.endpoint, "boxkind": machine.kind, "hall": machine.zone,
            "loaners": machine.spot, "shift": self.session, "tick": self.sequence, "baton": self.token,
            "warning_s": notice, "pieces": pieces})
    }

    /// The answer to a report sent at `sent`. False: it is dropped, and does not renew the lease.
    pub fn answer(&mut self, body: &Value, sent: u64, now: u64, jobs: &Descriptions) -> bool {
        let token = body["baton"].as_u64().unwrap_or(0);
        if token < self.token || token == 0 {
            return false;
        }
        self.changed |= token > self.token;
        self.token = token;
        self.answered = sent;
        self.execute(&body["orders"], now, jobs);
        true
    }

    /// A command straight from a controller.
    pub fn direct(&mut self, body: &[u8], now: u64, jobs: &Descriptions) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (Some(token), Some(session)) = (body["baton"].as_u64(), body["shift"].as_u64()) else {
            return (400, json!({}));
        };
        if token < self.token || session != self.session {
            return (409, self.report(now));
        }
        self.changed |= token > self.token;
        self.token = token;
        self.execute(&body["orders"], now, jobs);
        (200, self.report(now))
    }

    fn execute(&mut self, orders: &Value, now: u64, jobs: &Descriptions) {
        for order in orders.as_array().unwrap_or(&Vec::new()) {
            let task = order["piece"].as_str().unwrap_or("").to_string();
            let attempt = order["try"].as_u64().unwrap_or(0);
            match order["verb"].as_str() {
                Some("run") => self.run(task, attempt, now, jobs),
                Some("halt") => {
                    let grace = order["wind_down_s"].as_f64().unwrap_or(0.0) * 1000.0;
                    self.halt(&task, attempt, grace as u64, now, jobs);
                }
                Some("reap") => {
                    self.attempts.retain(|p| !(p.task == task && p.attempt == attempt && p.ended()));
                }
                _ => {}
            }
            self.changed = true;
        }
    }

    fn has_room(&self, job: &Description, jobs: &Descriptions) -> bool {
        let (mut cpus, mut gpus, mut memory) = (job.cpus, job.gpus, job.memory_gb);
        for piece in self.attempts.iter().filter(|piece| !piece.ended()) {
            if let Some(other) = jobs.get(piece.job()) {
                cpus += other.cpus;
                gpus += other.gpus;
                memory += other.memory_gb;
            }
        }
        let machine = &self.machine;
        let fits = |used: f64, there: f64| used <= there + 1e-9;
        fits(cpus, machine.cpus) && fits(gpus, machine.gpus) && fits(memory, machine.memory_gb)
    }

    fn run(&mut self, task: String, attempt: u64, now: u64, jobs: &Descriptions) {
        if self.attempts.iter().any(|piece| piece.task == task && piece.attempt == attempt) {
            return;
        }
        let name = task.split('/').next().unwrap_or("").to_string();
        let busy = self.attempts.iter().any(|piece| piece.task == task && !piece.ended());
        let phase = match jobs.get(&name) {
            None => ended("unknown"),
            Some(_) if busy => ended("busy"),
            Some(job) if !self.has_room(job, jobs) => ended("full"),
            Some(job) if self.images.contains(&job.image) => Phase::Fetching { until: now },
            Some(job) => {
                let fetch_ms = job.size_gb / self.machine.fetch_gb_per_s.max(1e-6) * 1000.0;
                Phase::Fetching { until: now + fetch_ms as u64 }
            }
        };
        self.attempts.push(TaskAttempt { task, attempt, phase, on: false });
    }

    fn halt(&mut self, task: &str, attempt: u64, grace_ms: u64, now: u64, jobs: &Descriptions) {
        let ours = |piece: &TaskAttempt| piece.task == task && piece.attempt == attempt && !piece.ended();
        let Some(at) = self.attempts.iter().position(ours) else { return };
        let Some(job) = jobs.get(self.attempts[at].job()) else { return };
        let process = matches!(job.work, Work::Runs(_)) && self.attempts[at].live();
        let saves = job.checkpoint && grace_ms >= job.save_ms;
        let until = (!process).then_some(now + job.save_ms);
        let piece = &mut self.attempts[at];
        piece.phase = match &piece.phase {
            Phase::Running { .. } if saves => Phase::Saving { until },
            Phase::Saving { until } if grace_ms > 0 => Phase::Saving { until: *until },
            Phase::Stopping { cause } => Phase::Stopping { cause },
            _ if process => Phase::Stopping { cause: "halted" },
            _ => ended("halted"),
        };
        if process {
            let grace_ms = if matches!(piece.phase, Phase::Saving { .. }) { grace_ms } else { STOP_GRACE_MS };
            self.effects.push(Effect::Stop { task: task.into(), attempt, grace_ms });
        }
    }

    /// Time passes on the machine. Gangs need `coordinate` as well.
    pub fn step(&mut self, now: u64, lease_ms: u64, jobs: &Descriptions) {
        if now > self.answered + lease_ms {
            self.new_session(now);
        }
        for at in 0..self.attempts.len() {
            let before = self.attempts[at].phase.clone();
            match before {
                Phase::Fetching { until } if until <= now => self.fetched(at, now, jobs),
                Phase::Running { until: Some(until) } if until <= now => {
                    let piece = &mut self.attempts[at];
                    let gave = match jobs.get(piece.job()).map(|job| &job.work) {
                        Some(Work::Takes { gives, .. }) => *gives,
                        _ => None,
                    };
                    let made = Made { attempt: piece.attempt, gave };
                    piece.phase = ended("done");
                    self.finished.entry(piece.task.clone()).or_insert(made);
                }
                Phase::Saving { until: Some(until) } if until <= now => {
                    self.attempts[at].phase = Phase::Ended { cause: "halted", kept: true };
                }
                _ => {}
            }
            self.changed |= self.attempts[at].phase != before;
        }
    }

    /// The lease has ended: all tasks are killed and forgotten.
    fn new_session(&mut self, now: u64) {
        self.session += 1;
        self.sequence = 0;
        self.answered = now;
        for piece in self.attempts.drain(..).filter(TaskAttempt::live) {
            self.effects.push(Effect::Kill { task: piece.task, attempt: piece.attempt });
        }
        self.changed = true;
    }

    fn fetched(&mut self, at: usize, now: u64, jobs: &Descriptions) {
        let Some(job) = jobs.get(self.attempts[at].job()) else { return };
        let piece = &mut self.attempts[at];
        piece.on = true;
        self.started.push(piece.task.clone());
        if !self.images.contains(&job.image) {
            self.images.push(job.image.clone());
        }
        if self.finished.contains_key(&piece.task) {
            piece.phase = ended("done");
        } else if self.sick || matches!(job.work, Work::Takes { fails: true, .. }) {
            piece.phase = ended("error");
        } else if job.gang {
            piece.phase = Phase::Gathering { since: now };
        } else {
            self.begin(at, now, jobs);
        }
    }

    /// The task runs from now on.
    pub(crate) fn begin(&mut self, at: usize, now: u64, jobs: &Descriptions) {
        let piece = &mut self.attempts[at];
        let until = match jobs.get(piece.job()).map(|job| &job.work) {
            Some(Work::Takes { run_ms, .. }) => Some(now + run_ms.saturating_mul(self.slow)),
            _ => None,
        };
        piece.phase = Phase::Running { until };
        if until.is_none() {
            self.effects.push(Effect::Start { task: piece.task.clone(), attempt: piece.attempt });
        }
        self.changed = true;
    }

    /// A task that its gang does not need any more.
    pub(crate) fn drop_peer(&mut self, at: usize, cause: &'static str) {
        let piece = &mut self.attempts[at];
        if matches!(piece.phase, Phase::Stopping { .. } | Phase::Ended { .. }) {
            return;
        }
        let process = matches!(piece.phase, Phase::Running { until: None } | Phase::Saving { until: None });
        piece.phase = if process { Phase::Stopping { cause } } else { ended(cause) };
        if process {
            let (task, attempt) = (piece.task.clone(), piece.attempt);
            self.effects.push(Effect::Stop { task, attempt, grace_ms: STOP_GRACE_MS });
        }
        self.changed = true;
    }

    /// All members of the gang have exited well.
    pub(crate) fn complete(&mut self, at: usize) {
        let piece = &mut self.attempts[at];
        let made = Made { attempt: piece.attempt, gave: self.given.remove(&piece.task) };
        piece.phase = ended("done");
        self.finished.entry(piece.task.clone()).or_insert(made);
        self.changed = true;
    }

    /// The task's process has exited; `well`: with 0; `gave`: the length of the list it left. True: the task is done,
    /// and its result counts from now on.
    pub fn exited(
        &mut self,
        task: &str,
        attempt: u64,
        well: bool,
        gave: Option<u32>,
        jobs: &Descriptions,
    ) -> bool {
        let ours = |piece: &TaskAttempt| piece.task == task && piece.attempt == attempt && !piece.ended();
        let Some(at) = self.attempts.iter().position(ours) else { return false };
        let gang = jobs.get(self.attempts[at].job()).is_some_and(|job| job.gang);
        self.attempts[at].phase = match &self.attempts[at].phase {
            Phase::Saving { .. } => Phase::Ended { cause: "halted", kept: well },
            Phase::Stopping { cause } => ended(cause),
            _ if well && gang => Phase::Complete,
            _ if well => ended("done"),
            _ => ended("error"),
        };
        self.changed = true;
        let done = self.attempts[at].phase == ended("done");
        if done {
            self.finished.entry(task.into()).or_insert(Made { attempt, gave });
        } else if let Some(gave) = gave.filter(|_| self.attempts[at].phase == Phase::Complete) {
            self.given.insert(task.into(), gave);
        }
        done
    }
}

/// `made` and `gave` are more than the protocol asks for: whoever does not know them ignores them.
fn attempt_json(piece: &TaskAttempt, made: Option<&Made>) -> Value {
    let (status, cause, kept) = match &piece.phase {
        Phase::Fetching { .. } => ("fetching", None, false),
        Phase::Gathering { .. } => ("gathering", None, false),
        Phase::Running { .. } | Phase::Complete | Phase::Stopping { .. } => ("running", None, false),
        Phase::Saving { .. } => ("flushing", None, false),
        Phase::Ended { cause, kept } => ("ended", Some(*cause), *kept),
    };
    let mut told =
        json!({"piece": piece.task, "try": piece.attempt, "status": status, "cause": cause, "kept": kept});
    if let Some(made) = made.filter(|made| cause == Some("done") && made.attempt > 0) {
        told["made"] = json!(made.attempt);
        if let Some(gave) = made.gave {
            told["gave"] = json!(gave);
        }
    }
    told
}

#[cfg(test)]
#[path = "tests/core.rs"]
mod tests;
