//! The independent check: judges what hollow workers saw by the users' rules, and knows nothing of the controllers' state.
//! Events come in the order of their times.

use std::collections::{BTreeMap, HashMap};

use crate::control::{TaskEvent, TaskEventKind};

/// Rounding of CPUs.
const SLACK_CPUS: f64 = 1e-6;

/// What the check must know of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobFacts {
    pub team: usize,
    pub cpus: f64,
}

/// When a user was told that a job is cancelled, and when all of it must be gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cancelled {
    pub at_ms: u64,
    pub gone_by_ms: u64,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
#[serde(tag = "rule", rename_all = "snake_case")]
pub enum Violation {
    /// A task is on two workers at once.
    RanTwice { at_ms: u64, task: String, workers: [String; 2] },
    /// A team uses more than its limit.
    Quota { at_ms: u64, team: usize, cpus: f64, limit: f64 },
    /// A task is there, or starts, too long after its user was told that it is cancelled.
    RanCancelled { at_ms: u64, task: String, worker: String },
    /// A job that was never submitted has a task on a worker.
    Invented { at_ms: u64, task: String },
    /// An accepted job is not known any more.
    Forgotten { job: String },
    /// A final answer was followed by another one.
    WentBack { job: String },
}

impl Violation {
    /// The rule's name in the protocol.
    pub fn rule(&self) -> &'static str {
        match self {
            Violation::RanTwice { .. } => "ran_twice",
            Violation::Quota { .. } => "quota",
            Violation::RanCancelled { .. } => "ran_cancelled",
            Violation::Invented { .. } => "invented",
            Violation::Forgotten { .. } => "forgotten",
            Violation::WentBack { .. } => "went_back",
        }
    }
}

/// What is on the workers now, and which rules were broken.
#[derive(Debug, Default)]
pub struct Check {
    jobs: HashMap<String, JobFacts>,
    limits: Vec<f64>,
    /// Workers that each task is on.
    on: HashMap<String, Vec<String>>,
    used: Vec<f64>,
    cancelled: HashMap<String, Cancelled>,
    /// Cancelled jobs by the time at which they must be gone.
    deadlines: BTreeMap<u64, Vec<String>>,
    violations: Vec<Violation>,
    judged: u64,
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

impl Check {
    /// `limits`: CPUs that each team may use at most.
    pub fn new(limits: Vec<f64>) -> Check {
        Check { used: vec![0.0; limits.len()], limits, ..Check::default() }
    }

    pub fn submitted(&mut self, job: &str, facts: JobFacts) {
        self.jobs.insert(job.into(), facts);
    }

    /// The first answer to the wish counts.
    pub fn cancelled(&mut self, job: &str, when: Cancelled) {
        if self.cancelled.contains_key(job) {
            return;
        }
        self.cancelled.insert(job.into(), when);
        self.deadlines.entry(when.gone_by_ms).or_default().push(job.into());
    }

    /// An accepted job that no controller knows.
    pub fn forgotten(&mut self, job: &str) {
        self.violations.push(Violation::Forgotten { job: job.into() });
    }

    /// A job that was called done or cancelled is called something else.
    pub fn went_back(&mut self, job: &str) {
        self.violations.push(Violation::WentBack { job: job.into() });
    }

    /// Takes the next event in.
    pub fn take(&mut self, event: &TaskEvent) {
        self.pass(event.at_ms);
        self.judged += 1;
        match event.kind {
            TaskEventKind::On => self.task_on(event),
            TaskEventKind::Runs => {}
            TaskEventKind::Off | TaskEventKind::Done => self.task_off(event),
        }
    }

    /// Time passes: what was cancelled must be gone.
    pub fn pass(&mut self, now_ms: u64) {
        let later = self.deadlines.split_off(&now_ms);
        let due = std::mem::replace(&mut self.deadlines, later);
        for (gone_by_ms, jobs) in due {
            jobs.iter().for_each(|job| self.must_be_gone(job, gone_by_ms));
        }
    }

    fn must_be_gone(&mut self, job: &str, gone_by_ms: u64) {
        let there: Vec<(String, String)> = self
            .on
            .iter()
            .filter(|(task, _)| job_of(task) == job)
            .flat_map(|(task, workers)| workers.iter().map(|worker| (task.clone(), worker.clone())))
            .collect();
        for (task, worker) in there {
            self.violations.push(Violation::RanCancelled { at_ms: gone_by_ms, task, worker });
        }
    }

    fn task_on(&mut self, event: &TaskEvent) {
        let Some(facts) = self.jobs.get(job_of(&event.task)).copied() else {
            self.violations.push(Violation::Invented { at_ms: event.at_ms, task: event.task.clone() });
            return;
        };
        if self.cancelled.get(job_of(&event.task)).is_some_and(|when| event.at_ms > when.gone_by_ms) {
            let (task, worker) = (event.task.clone(), event.worker.clone());
            self.violations.push(Violation::RanCancelled { at_ms: event.at_ms, task, worker });
        }
        let workers = self.on.entry(event.task.clone()).or_default();
        if let Some(other) = workers.iter().find(|worker| **worker != event.worker) {
            let workers = [other.clone(), event.worker.clone()];
            self.violations.push(Violation::RanTwice {
                at_ms: event.at_ms,
                task: event.task.clone(),
                workers,
            });
        }
        workers.push(event.worker.clone());
        self.use_cpus(event.at_ms, facts.team, facts.cpus);
    }

    fn use_cpus(&mut self, at_ms: u64, team: usize, cpus: f64) {
        let (Some(used), Some(limit)) = (self.used.get_mut(team), self.limits.get(team)) else { return };
        *used += cpus;
        if *used > limit + SLACK_CPUS {
            self.violations.push(Violation::Quota { at_ms, team, cpus: *used, limit: *limit });
        }
    }

    fn task_off(&mut self, event: &TaskEvent) {
        let Some(workers) = self.on.get_mut(&event.task) else { return };
        let Some(at) = workers.iter().position(|worker| *worker == event.worker) else { return };
        workers.swap_remove(at);
        if workers.is_empty() {
            self.on.remove(&event.task);
        }
        if let Some(facts) = self.jobs.get(job_of(&event.task))
            && let Some(used) = self.used.get_mut(facts.team)
        {
            *used -= facts.cpus;
        }
    }

    /// Tasks that are on a worker.
    pub fn on(&self) -> usize {
        self.on.len()
    }

    /// CPUs that a team has left under its limit, by what the workers saw.
    pub fn room(&self, team: usize) -> f64 {
        let used = self.used.get(team).copied().unwrap_or(0.0);
        self.limits.get(team).map_or(0.0, |limit| limit - used)
    }

    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Events that were judged.
    pub fn judged(&self) -> u64 {
        self.judged
    }
}
