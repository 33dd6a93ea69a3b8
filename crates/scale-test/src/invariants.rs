//! The independent checker: verifies that the events observed by the simulated workers keep the guarantees
//! given to users. It does not use any state of the controllers. Events must be passed in time order. Does no
//! I/O and reads no clock.

use std::collections::{BTreeMap, HashMap};

use crate::control::{TaskEvent, TaskEventKind};

/// Tolerance for rounding errors in sums of CPUs.
const CPU_TOLERANCE: f64 = 1e-6;

/// The properties of a job that the checker needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobFacts {
    /// Index of the team that owns the job.
    pub team: usize,
    /// CPUs of one task.
    pub cpus: f64,
}

/// The times of a cancellation, in milliseconds since the start of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancelTimes {
    /// Time at which the user received the confirmation.
    pub confirmed_at_ms: u64,
    /// Deadline by which all tasks of the job must have stopped.
    pub stop_deadline_ms: u64,
}

/// A violated invariant. All times are in milliseconds since the start of the run.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
#[serde(tag = "rule", rename_all = "snake_case")]
pub enum Violation {
    /// A task is on two workers at the same time.
    RanTwice {
        /// Time of the violation.
        at_ms: u64,
        /// The task, as `JOB/INDEX`.
        task: String,
        /// Names of the two workers.
        workers: [String; 2],
    },
    /// A team uses more than its limit.
    #[serde(rename = "quota")]
    QuotaExceeded {
        /// Time of the violation.
        at_ms: u64,
        /// Index of the team.
        team: usize,
        /// CPUs that the team uses.
        cpus: f64,
        /// CPUs that the team may use.
        limit: f64,
    },
    /// A task of a cancelled job is still on a worker, or is placed on one, after the deadline for its stop.
    RanCancelled {
        /// Time of the violation.
        at_ms: u64,
        /// The task, as `JOB/INDEX`.
        task: String,
        /// Name of the worker.
        worker: String,
    },
    /// A worker has a task of a job that was never submitted.
    #[serde(rename = "invented")]
    UnknownJob {
        /// Time of the violation.
        at_ms: u64,
        /// The task, as `JOB/INDEX`.
        task: String,
    },
    /// A controller reported that it does not know a job that had been accepted.
    #[serde(rename = "forgotten")]
    LostJob {
        /// Id of the job.
        job: String,
    },
    /// A job changed from one terminal state to another state.
    #[serde(rename = "went_back")]
    TerminalStateChanged {
        /// Id of the job.
        job: String,
    },
}

impl Violation {
    /// Returns the name of the violated rule, as in the report.
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

/// Tracks the tasks that are on workers and records the violations found.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    jobs: HashMap<String, JobFacts>,
    /// Maximum number of CPUs of each team.
    limits: Vec<f64>,
    /// Names of the workers that each task is on.
    task_workers: HashMap<String, Vec<String>>,
    /// CPUs of the placed tasks of each team.
    used_cpus: Vec<f64>,
    cancelled: HashMap<String, CancelTimes>,
    /// Cancelled jobs by the deadline by which their tasks must have stopped.
    stop_deadlines: BTreeMap<u64, Vec<String>>,
    violations: Vec<Violation>,
    events_checked: u64,
}

fn job_of_task(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

impl InvariantChecker {
    /// Creates a checker without events. `limits` is the maximum number of CPUs of each team.
    pub fn new(limits: Vec<f64>) -> InvariantChecker {
        InvariantChecker { used_cpus: vec![0.0; limits.len()], limits, ..InvariantChecker::default() }
    }

    /// Records a job; must be called before the job is submitted.
    pub fn record_submission(&mut self, job: &str, facts: JobFacts) {
        self.jobs.insert(job.into(), facts);
    }

    /// Records that a cancellation was confirmed; later confirmations of the same job are ignored.
    pub fn record_cancellation(&mut self, job: &str, times: CancelTimes) {
        if self.cancelled.contains_key(job) {
            return;
        }
        self.cancelled.insert(job.into(), times);
        self.stop_deadlines.entry(times.stop_deadline_ms).or_default().push(job.into());
    }

    /// Records that a controller reported an accepted job as unknown.
    pub fn record_lost_job(&mut self, job: &str) {
        self.violations.push(Violation::LostJob { job: job.into() });
    }

    /// Records that a job left a terminal state.
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

    /// Checks the cancelled jobs whose deadline lies before `now_ms`: all their tasks must have stopped.
    pub fn advance_to(&mut self, now_ms: u64) {
        let later = self.stop_deadlines.split_off(&now_ms);
        let due = std::mem::replace(&mut self.stop_deadlines, later);
        for (stop_deadline_ms, jobs) in due {
            jobs.iter().for_each(|job| self.check_stopped(job, stop_deadline_ms));
        }
    }

    fn check_stopped(&mut self, job: &str, stop_deadline_ms: u64) {
        let remaining: Vec<(String, String)> = self
            .task_workers
            .iter()
            .filter(|(task, _)| job_of_task(task) == job)
            .flat_map(|(task, workers)| workers.iter().map(|worker| (task.clone(), worker.clone())))
            .collect();
        for (task, worker) in remaining {
            self.violations.push(Violation::RanCancelled { at_ms: stop_deadline_ms, task, worker });
        }
    }

    fn task_placed(&mut self, event: &TaskEvent) {
        let Some(facts) = self.jobs.get(job_of_task(&event.task)).copied() else {
            self.violations.push(Violation::UnknownJob { at_ms: event.at_ms, task: event.task.clone() });
            return;
        };
        if self
            .cancelled
            .get(job_of_task(&event.task))
            .is_some_and(|times| event.at_ms > times.stop_deadline_ms)
        {
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
        if *used > limit + CPU_TOLERANCE {
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

    /// Returns the number of tasks that are on a worker.
    pub fn tasks_on_workers(&self) -> usize {
        self.task_workers.len()
    }

    /// Returns the CPUs that a team can still use before it reaches its limit, according to the workers'
    /// events.
    pub fn free_cpus(&self, team: usize) -> f64 {
        let used = self.used_cpus.get(team).copied().unwrap_or(0.0);
        self.limits.get(team).map_or(0.0, |limit| limit - used)
    }

    /// Returns the violations in the order in which they were found.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the number of events that were checked.
    pub fn events_checked(&self) -> u64 {
        self.events_checked
    }
}
