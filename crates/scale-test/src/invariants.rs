//! The independent checker: judges what simulated workers saw by the users' rules, and knows nothing of the controllers'
//! state. Events must come in the order of their times. Does no I/O and reads no clock.

use std::collections::{BTreeMap, HashMap};

use crate::control::{TaskEvent, TaskEventKind};

/// Tolerance for rounding of CPUs.
const SLACK_CPUS: f64 = 1e-6;

/// What the checker must know of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobFacts {
    /// Index of its team.
    pub team: usize,
    /// CPUs of a task.
    pub cpus: f64,
}

/// A cancelled job, in milliseconds of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancelTimes {
    /// When its user received the confirmation.
    pub at_ms: u64,
    /// When all its tasks must have stopped.
    pub stopped_by_ms: u64,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
#[serde(tag = "rule", rename_all = "snake_case")]
pub enum Violation {
    /// A task is on two workers at once.
    RanTwice {
        /// When.
        at_ms: u64,
        /// The task.
        task: String,
        /// The two workers.
        workers: [String; 2],
    },
    /// A team uses more than its limit.
    #[serde(rename = "quota")]
    QuotaExceeded {
        /// When.
        at_ms: u64,
        /// Index of the team.
        team: usize,
        /// CPUs that it uses.
        cpus: f64,
        /// CPUs that it may use.
        limit: f64,
    },
    /// A task is on a worker, or starts, too long after its cancellation was confirmed.
    RanCancelled {
        /// When.
        at_ms: u64,
        /// The task.
        task: String,
        /// Its worker.
        worker: String,
    },
    /// A job that was never submitted has a task on a worker.
    #[serde(rename = "invented")]
    UnknownJob {
        /// When.
        at_ms: u64,
        /// The task.
        task: String,
    },
    /// No controller knows an accepted job any more.
    #[serde(rename = "forgotten")]
    LostJob {
        /// The job.
        job: String,
    },
    /// A terminal state was followed by another one.
    #[serde(rename = "went_back")]
    TerminalStateChanged {
        /// The job.
        job: String,
    },
}

impl Violation {
    /// The rule's name in the report.
    pub fn rule_name(&self) -> &'static str {
        match self {
            Violation::RanTwice { .. } => "ran_twice",
            Violation::QuotaExceeded { .. } => "quota",
            Violation::RanCancelled { .. } => "ran_cancelled",
            Violation::UnknownJob { .. } => "invented",
            Violation::LostJob { .. } => "forgotten",
            Violation::TerminalStateChanged { .. } => "went_back",
        }
    }
}

/// What is on the workers now, and which rules were broken.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    jobs: HashMap<String, JobFacts>,
    limits: Vec<f64>,
    /// Workers that each task is on.
    task_workers: HashMap<String, Vec<String>>,
    used_cpus: Vec<f64>,
    cancelled: HashMap<String, CancelTimes>,
    /// Cancelled jobs by the time at which their tasks must have stopped.
    stop_deadlines: BTreeMap<u64, Vec<String>>,
    violations: Vec<Violation>,
    events_checked: u64,
}

fn job_of_task(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

impl InvariantChecker {
    /// A checker that has seen nothing. `limits`: CPUs that each team may use at most.
    pub fn new(limits: Vec<f64>) -> InvariantChecker {
        InvariantChecker { used_cpus: vec![0.0; limits.len()], limits, ..InvariantChecker::default() }
    }

    /// Records a job before it is submitted.
    pub fn record_submission(&mut self, job: &str, facts: JobFacts) {
        self.jobs.insert(job.into(), facts);
    }

    /// Records that a cancellation was confirmed; the first confirmation counts.
    pub fn record_cancellation(&mut self, job: &str, when: CancelTimes) {
        if self.cancelled.contains_key(job) {
            return;
        }
        self.cancelled.insert(job.into(), when);
        self.stop_deadlines.entry(when.stopped_by_ms).or_default().push(job.into());
    }

    /// Records that no controller knows an accepted job.
    pub fn record_lost_job(&mut self, job: &str) {
        self.violations.push(Violation::LostJob { job: job.into() });
    }

    /// Records that a job left its terminal state.
    pub fn record_terminal_state_change(&mut self, job: &str) {
        self.violations.push(Violation::TerminalStateChanged { job: job.into() });
    }

    /// Checks the next event.
    pub fn apply_event(&mut self, event: &TaskEvent) {
        self.advance_to(event.at_ms);
        self.events_checked += 1;
        match event.kind {
            TaskEventKind::Placed => self.task_placed(event),
            TaskEventKind::Started => {}
            TaskEventKind::Removed | TaskEventKind::Completed => self.task_removed(event),
        }
    }

    /// Checks that the tasks of cancelled jobs have stopped by their deadlines up to `now_ms`.
    pub fn advance_to(&mut self, now_ms: u64) {
        let later = self.stop_deadlines.split_off(&now_ms);
        let due = std::mem::replace(&mut self.stop_deadlines, later);
        for (stopped_by_ms, jobs) in due {
            jobs.iter().for_each(|job| self.check_stopped(job, stopped_by_ms));
        }
    }

    fn check_stopped(&mut self, job: &str, stopped_by_ms: u64) {
        let remaining: Vec<(String, String)> = self
            .task_workers
            .iter()
            .filter(|(task, _)| job_of_task(task) == job)
            .flat_map(|(task, workers)| workers.iter().map(|worker| (task.clone(), worker.clone())))
            .collect();
        for (task, worker) in remaining {
            self.violations.push(Violation::RanCancelled { at_ms: stopped_by_ms, task, worker });
        }
    }

    fn task_placed(&mut self, event: &TaskEvent) {
        let Some(facts) = self.jobs.get(job_of_task(&event.task)).copied() else {
            self.violations.push(Violation::UnknownJob { at_ms: event.at_ms, task: event.task.clone() });
            return;
        };
        if self.cancelled.get(job_of_task(&event.task)).is_some_and(|when| event.at_ms > when.stopped_by_ms) {
            let (task, worker) = (event.task.clone(), event.worker.clone());
            self.violations.push(Violation::RanCancelled { at_ms: event.at_ms, task, worker });
        }
        let workers = self.task_workers.entry(event.task.clone()).or_default();
        if let Some(other) = workers.iter().find(|worker| **worker != event.worker) {
            let workers = [other.clone(), event.worker.clone()];
            self.violations.push(Violation::RanTwice {
                at_ms: event.at_ms,
                task: event.task.clone(),
                workers,
            });
        }
        workers.push(event.worker.clone());
        self.add_cpu_use(event.at_ms, facts.team, facts.cpus);
    }

    fn add_cpu_use(&mut self, at_ms: u64, team: usize, cpus: f64) {
        let (Some(used), Some(limit)) = (self.used_cpus.get_mut(team), self.limits.get(team)) else { return };
        *used += cpus;
        if *used > limit + SLACK_CPUS {
            self.violations.push(Violation::QuotaExceeded { at_ms, team, cpus: *used, limit: *limit });
        }
    }

    fn task_removed(&mut self, event: &TaskEvent) {
        let Some(workers) = self.task_workers.get_mut(&event.task) else { return };
        let Some(index) = workers.iter().position(|worker| *worker == event.worker) else { return };
        workers.swap_remove(index);
        if workers.is_empty() {
            self.task_workers.remove(&event.task);
        }
        if let Some(facts) = self.jobs.get(job_of_task(&event.task))
            && let Some(used) = self.used_cpus.get_mut(facts.team)
        {
            *used -= facts.cpus;
        }
    }

    /// How many tasks are on a worker.
    pub fn tasks_on_workers(&self) -> usize {
        self.task_workers.len()
    }

    /// CPUs that a team can still use under its limit, by what the workers saw.
    pub fn free_cpus(&self, team: usize) -> f64 {
        let used = self.used_cpus.get(team).copied().unwrap_or(0.0);
        self.limits.get(team).map_or(0.0, |limit| limit - used)
    }

    /// What was found, in the order of finding.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// How many events were checked.
    pub fn events_checked(&self) -> u64 {
        self.events_checked
    }
}
