//! One machine's tasks, by the rules of sessions, tokens and leases. Times are milliseconds of a steady clock.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::description::{JobDescription, JobDescriptions, TaskWork};

/// The machine a worker is on.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    pub name: String,
    pub endpoint: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image_fetch_gb_per_s: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub enum AttemptPhase {
    FetchingImage {
        until: u64,
    },
    WaitingForGang {
        since: u64,
    },
    /// None: until its process exits.
    Running {
        until: Option<u64>,
    },
    /// A gang's process has exited well and waits for the others.
    WaitingForGangExit,
    Checkpointing {
        until: Option<u64>,
    },
    /// Told to stop: its process has not exited yet, and how it will count.
    Stopping {
        cause: &'static str,
    },
    Ended {
        cause: &'static str,
        checkpoint_kept: bool,
    },
}

/// The result of a task that is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct TaskResult {
    /// The attempt whose output counts; 0 where that was not kept.
    pub attempt: u64,
    /// The length of the list it gave.
    #[serde(default)]
    #[serde(rename = "gave")]
    pub list_len: Option<u32>,
}

#[derive(Debug, Clone)]
pub struct TaskAttempt {
    pub task: String,
    pub attempt: u64,
    pub phase: AttemptPhase,
    /// When it has its image, it is on the machine.
    pub has_image: bool,
}

impl TaskAttempt {
    pub fn job_name(&self) -> &str {
        self.task.split('/').next().unwrap_or("")
    }

    pub fn is_ended(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended { .. })
    }

    /// It works, or a process of its may still be there.
    pub fn is_live(&self) -> bool {
        matches!(
            self.phase,
            AttemptPhase::Running { .. }
                | AttemptPhase::WaitingForGangExit
                | AttemptPhase::Checkpointing { .. }
                | AttemptPhase::Stopping { .. }
        )
    }
}

/// What the machine has to do with processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProcessAction {
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
    pub epoch: u64,
    /// Rises with every report and every answer to a command.
    pub sequence: u64,
    pub token: u64,
    pub termination_at: Option<u64>,
    pub attempts: Vec<TaskAttempt>,
    pub cached_images: Vec<String>,
    /// When the last report that was answered went out.
    pub last_answered_heartbeat_sent_at: u64,
    pub fails_tasks: bool,
    /// Its tasks take so many times as long.
    pub slowdown_factor: u64,
    /// Tasks that got their image since the last look: the moment rules are judged.
    pub started_tasks: Vec<String>,
    pub has_unreported_change: bool,
    /// Tasks that completed here: started again, they end at once, and the first result counts.
    results: BTreeMap<String, TaskResult>,
    /// Lists that members of gangs gave before the others were through.
    gang_list_lens: BTreeMap<String, u32>,
    process_actions: Vec<ProcessAction>,
}

fn ended_phase(cause: &'static str) -> AttemptPhase {
    AttemptPhase::Ended { cause, checkpoint_kept: false }
}

impl Worker {
    pub fn new(machine: Machine, now: u64) -> Worker {
        Worker {
            machine,
            epoch: 1,
            sequence: 0,
            token: 0,
            termination_at: None,
            attempts: Vec::new(),
            cached_images: Vec::new(),
            last_answered_heartbeat_sent_at: now,
            fails_tasks: false,
            slowdown_factor: 1,
            started_tasks: Vec::new(),
            has_unreported_change: true,
            results: BTreeMap::new(),
            gang_list_lens: BTreeMap::new(),
            process_actions: Vec::new(),
        }
    }

    pub fn take_process_actions(&mut self) -> Vec<ProcessAction> {
        std::mem::take(&mut self.process_actions)
    }

    /// A result that outlived an earlier machine.
    pub fn restore_result(&mut self, task: &str, result: TaskResult) {
        self.results.entry(task.into()).or_insert(result);
    }

    /// The result of a task that is done.
    pub fn result(&self, task: &str) -> Option<TaskResult> {
        self.results.get(task).copied()
    }

    pub fn heartbeat(&mut self, now: u64) -> Value {
        self.sequence += 1;
        let pieces: Vec<Value> =
            self.attempts.iter().map(|piece| attempt_json(piece, self.results.get(&piece.task))).collect();
        let notice = self.termination_at.map(|until| until.saturating_sub(now) as f64 / 1000.0);
        let machine = &self.machine;
        json!({"box": machine.name, "endpoint": machine.endpoint, "boxkind": machine.machine_type, "hall": machine.zone,
            "loaners": machine.spot, "shift": self.epoch, "tick": self.sequence, "baton": self.token,
            "warning_s": notice, "pieces": pieces})
    }

    /// The answer to a report sent at `sent`. False: it is dropped, and does not renew the lease.
    pub fn apply_heartbeat_response(
        &mut self,
        body: &Value,
        sent: u64,
        now: u64,
        jobs: &JobDescriptions,
    ) -> bool {
        let token = body["baton"].as_u64().unwrap_or(0);
        if token < self.token || token == 0 {
            return false;
        }
        self.has_unreported_change |= token > self.token;
        self.token = token;
        self.last_answered_heartbeat_sent_at = sent;
        self.execute_commands(&body["orders"], now, jobs);
        true
    }

    /// A command straight from a controller.
    pub fn handle_direct_command(&mut self, body: &[u8], now: u64, jobs: &JobDescriptions) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (Some(token), Some(session)) = (body["baton"].as_u64(), body["shift"].as_u64()) else {
            return (400, json!({}));
        };
        if token < self.token || session != self.epoch {
            return (409, self.heartbeat(now));
        }
        self.has_unreported_change |= token > self.token;
        self.token = token;
        self.execute_commands(&body["orders"], now, jobs);
        (200, self.heartbeat(now))
    }

    fn execute_commands(&mut self, commands: &Value, now: u64, jobs: &JobDescriptions) {
        for order in commands.as_array().unwrap_or(&Vec::new()) {
            let task = order["piece"].as_str().unwrap_or("").to_string();
            let attempt = order["try"].as_u64().unwrap_or(0);
            match order["verb"].as_str() {
                Some("run") => self.start_attempt(task, attempt, now, jobs),
                Some("halt") => {
                    let grace = order["wind_down_s"].as_f64().unwrap_or(0.0) * 1000.0;
                    self.stop_attempt(&task, attempt, grace as u64, now, jobs);
                }
                Some("reap") => {
                    self.attempts.retain(|p| !(p.task == task && p.attempt == attempt && p.is_ended()));
                }
                _ => {}
            }
            self.has_unreported_change = true;
        }
    }

    fn has_capacity_for(&self, job: &JobDescription, jobs: &JobDescriptions) -> bool {
        let (mut cpus, mut gpus, mut memory) = (job.cpus, job.gpus, job.memory_gb);
        for piece in self.attempts.iter().filter(|piece| !piece.is_ended()) {
            if let Some(other) = jobs.get(piece.job_name()) {
                cpus += other.cpus;
                gpus += other.gpus;
                memory += other.memory_gb;
            }
        }
        let machine = &self.machine;
        let fits = |used: f64, there: f64| used <= there + 1e-9;
        fits(cpus, machine.cpus) && fits(gpus, machine.gpus) && fits(memory, machine.memory_gb)
    }

    fn start_attempt(&mut self, task: String, attempt: u64, now: u64, jobs: &JobDescriptions) {
        if self.attempts.iter().any(|piece| piece.task == task && piece.attempt == attempt) {
            return;
        }
        let name = task.split('/').next().unwrap_or("").to_string();
        let busy = self.attempts.iter().any(|piece| piece.task == task && !piece.is_ended());
        let phase = match jobs.get(&name) {
            None => ended_phase("unknown"),
            Some(_) if busy => ended_phase("busy"),
            Some(job) if !self.has_capacity_for(job, jobs) => ended_phase("full"),
            Some(job) if self.cached_images.contains(&job.image) => {
                AttemptPhase::FetchingImage { until: now }
            }
            Some(job) => {
                let fetch_ms = job.image_gb / self.machine.image_fetch_gb_per_s.max(1e-6) * 1000.0;
                AttemptPhase::FetchingImage { until: now + fetch_ms as u64 }
            }
        };
        self.attempts.push(TaskAttempt { task, attempt, phase, has_image: false });
    }

    fn stop_attempt(&mut self, task: &str, attempt: u64, grace_ms: u64, now: u64, jobs: &JobDescriptions) {
        let ours = |piece: &TaskAttempt| piece.task == task && piece.attempt == attempt && !piece.is_ended();
        let Some(at) = self.attempts.iter().position(ours) else { return };
        let Some(job) = jobs.get(self.attempts[at].job_name()) else { return };
        let process = matches!(job.work, TaskWork::Process(_)) && self.attempts[at].is_live();
        let saves = job.can_checkpoint && grace_ms >= job.checkpoint_save_ms;
        let until = (!process).then_some(now + job.checkpoint_save_ms);
        let piece = &mut self.attempts[at];
        piece.phase = match &piece.phase {
            AttemptPhase::Running { .. } if saves => AttemptPhase::Checkpointing { until },
            AttemptPhase::Checkpointing { until } if grace_ms > 0 => {
                AttemptPhase::Checkpointing { until: *until }
            }
            AttemptPhase::Stopping { cause } => AttemptPhase::Stopping { cause },
            _ if process => AttemptPhase::Stopping { cause: "halted" },
            _ => ended_phase("halted"),
        };
        if process {
            let grace_ms = if matches!(piece.phase, AttemptPhase::Checkpointing { .. }) {
                grace_ms
            } else {
                STOP_GRACE_MS
            };
            self.process_actions.push(ProcessAction::Stop { task: task.into(), attempt, grace_ms });
        }
    }

    /// Time passes on the machine. Gangs need `coordinate` as well.
    pub fn advance(&mut self, now: u64, lease_ms: u64, jobs: &JobDescriptions) {
        if now > self.last_answered_heartbeat_sent_at + lease_ms {
            self.begin_epoch(now);
        }
        for at in 0..self.attempts.len() {
            let before = self.attempts[at].phase.clone();
            match before {
                AttemptPhase::FetchingImage { until } if until <= now => {
                    self.finish_image_fetch(at, now, jobs)
                }
                AttemptPhase::Running { until: Some(until) } if until <= now => {
                    let piece = &mut self.attempts[at];
                    let gave = match jobs.get(piece.job_name()).map(|job| &job.work) {
                        Some(TaskWork::Simulated { list_len: gives, .. }) => *gives,
                        _ => None,
                    };
                    let made = TaskResult { attempt: piece.attempt, list_len: gave };
                    piece.phase = ended_phase("done");
                    self.results.entry(piece.task.clone()).or_insert(made);
                }
                AttemptPhase::Checkpointing { until: Some(until) } if until <= now => {
                    self.attempts[at].phase = AttemptPhase::Ended { cause: "halted", checkpoint_kept: true };
                }
                _ => {}
            }
            self.has_unreported_change |= self.attempts[at].phase != before;
        }
    }

    /// The lease has ended: all tasks are killed and forgotten.
    fn begin_epoch(&mut self, now: u64) {
        self.epoch += 1;
        self.sequence = 0;
        self.last_answered_heartbeat_sent_at = now;
        for piece in self.attempts.drain(..).filter(TaskAttempt::is_live) {
            self.process_actions.push(ProcessAction::Kill { task: piece.task, attempt: piece.attempt });
        }
        self.has_unreported_change = true;
    }

    fn finish_image_fetch(&mut self, at: usize, now: u64, jobs: &JobDescriptions) {
        let Some(job) = jobs.get(self.attempts[at].job_name()) else { return };
        let piece = &mut self.attempts[at];
        piece.has_image = true;
        self.started_tasks.push(piece.task.clone());
        if !self.cached_images.contains(&job.image) {
            self.cached_images.push(job.image.clone());
        }
        if self.results.contains_key(&piece.task) {
            piece.phase = ended_phase("done");
        } else if self.fails_tasks || matches!(job.work, TaskWork::Simulated { fails: true, .. }) {
            piece.phase = ended_phase("error");
        } else if job.gang {
            piece.phase = AttemptPhase::WaitingForGang { since: now };
        } else {
            self.start_running(at, now, jobs);
        }
    }

    /// The task runs from now on.
    pub(crate) fn start_running(&mut self, at: usize, now: u64, jobs: &JobDescriptions) {
        let piece = &mut self.attempts[at];
        let until = match jobs.get(piece.job_name()).map(|job| &job.work) {
            Some(TaskWork::Simulated { run_ms, .. }) => {
                Some(now + run_ms.saturating_mul(self.slowdown_factor))
            }
            _ => None,
        };
        piece.phase = AttemptPhase::Running { until };
        if until.is_none() {
            self.process_actions
                .push(ProcessAction::Start { task: piece.task.clone(), attempt: piece.attempt });
        }
        self.has_unreported_change = true;
    }

    /// A task that its gang does not need any more.
    pub(crate) fn stop_peer(&mut self, at: usize, cause: &'static str) {
        let piece = &mut self.attempts[at];
        if matches!(piece.phase, AttemptPhase::Stopping { .. } | AttemptPhase::Ended { .. }) {
            return;
        }
        let process = matches!(
            piece.phase,
            AttemptPhase::Running { until: None } | AttemptPhase::Checkpointing { until: None }
        );
        piece.phase = if process { AttemptPhase::Stopping { cause } } else { ended_phase(cause) };
        if process {
            let (task, attempt) = (piece.task.clone(), piece.attempt);
            self.process_actions.push(ProcessAction::Stop { task, attempt, grace_ms: STOP_GRACE_MS });
        }
        self.has_unreported_change = true;
    }

    /// All members of the gang have exited well.
    pub(crate) fn complete_attempt(&mut self, at: usize) {
        let piece = &mut self.attempts[at];
        let made = TaskResult { attempt: piece.attempt, list_len: self.gang_list_lens.remove(&piece.task) };
        piece.phase = ended_phase("done");
        self.results.entry(piece.task.clone()).or_insert(made);
        self.has_unreported_change = true;
    }

    /// The task's process has exited; `well`: with 0; `gave`: the length of the list it left. True: the task is done,
    /// and its result counts from now on.
    pub fn process_exited(
        &mut self,
        task: &str,
        attempt: u64,
        success: bool,
        list_len: Option<u32>,
        jobs: &JobDescriptions,
    ) -> bool {
        let ours = |piece: &TaskAttempt| piece.task == task && piece.attempt == attempt && !piece.is_ended();
        let Some(at) = self.attempts.iter().position(ours) else { return false };
        let gang = jobs.get(self.attempts[at].job_name()).is_some_and(|job| job.gang);
        self.attempts[at].phase = match &self.attempts[at].phase {
            AttemptPhase::Checkpointing { .. } => {
                AttemptPhase::Ended { cause: "halted", checkpoint_kept: success }
            }
            AttemptPhase::Stopping { cause } => ended_phase(cause),
            _ if success && gang => AttemptPhase::WaitingForGangExit,
            _ if success => ended_phase("done"),
            _ => ended_phase("error"),
        };
        self.has_unreported_change = true;
        let done = self.attempts[at].phase == ended_phase("done");
        if done {
            self.results.entry(task.into()).or_insert(TaskResult { attempt, list_len });
        } else if let Some(gave) =
            list_len.filter(|_| self.attempts[at].phase == AttemptPhase::WaitingForGangExit)
        {
            self.gang_list_lens.insert(task.into(), gave);
        }
        done
    }
}

/// `made` and `gave` are more than the protocol asks for: whoever does not know them ignores them.
fn attempt_json(attempt: &TaskAttempt, result: Option<&TaskResult>) -> Value {
    let (status, cause, kept) = match &attempt.phase {
        AttemptPhase::FetchingImage { .. } => ("fetching", None, false),
        AttemptPhase::WaitingForGang { .. } => ("gathering", None, false),
        AttemptPhase::Running { .. } | AttemptPhase::WaitingForGangExit | AttemptPhase::Stopping { .. } => {
            ("running", None, false)
        }
        AttemptPhase::Checkpointing { .. } => ("flushing", None, false),
        AttemptPhase::Ended { cause, checkpoint_kept: kept } => ("ended", Some(*cause), *kept),
    };
    let mut told = json!({"piece": attempt.task, "try": attempt.attempt, "status": status, "cause": cause, "kept": kept});
    if let Some(made) = result.filter(|made| cause == Some("done") && made.attempt > 0) {
        told["made"] = json!(made.attempt);
        if let Some(gave) = made.list_len {
            told["gave"] = json!(gave);
        }
    }
    told
}

#[cfg(test)]
#[path = "tests/core.rs"]
mod tests;
