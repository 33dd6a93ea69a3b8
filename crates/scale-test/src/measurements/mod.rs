//! The measurements of a run, in the structure of the report. Does no I/O and reads no clock.
//!
//! `latency` holds latency distributions, `usage` the resource usage of processes, and `table` renders the
//! report as text.

mod latency;
mod table;
mod usage;

use std::collections::BTreeMap;

use serde::Serialize;

pub use self::latency::{LatencyHistogram, LatencySummary, StartLatencies};
pub use self::usage::{KvUsage, ProcessUsage, WorkerUsage};
use crate::invariants::Violation;

/// The peak rate of task starts is the highest mean over this many seconds.
const PEAK_SECONDS: usize = 10;

/// The operators' objective for urgent jobs: their tasks start within this time.
pub const URGENT_OBJECTIVE_MS: u64 = 8_900;

/// The measurements of one second of the run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SecondSample {
    /// Seconds since the beginning of the load.
    pub at_s: u64,
    /// Number of task starts in this second.
    pub starts: u64,
    /// Number of tasks on machines.
    pub running: usize,
    /// Number of workers that are up.
    pub workers: usize,
    /// Number of tasks of accepted jobs that have not started yet.
    pub waiting: i64,
    /// Number of heartbeats since the start of the run.
    #[serde(rename = "reports")]
    pub heartbeats: u64,
    /// Number of requests to the kv store since the start of the run.
    pub state_requests: u64,
    /// Number of mutations of the kv store since the start of the run.
    pub state_changes: u64,
    /// Processor time of the leader. This field and those below are fractions of one core.
    pub leader_cpu: f64,
    /// Processor time of all controllers together.
    pub controllers_cpu: f64,
    /// Processor time of the kv store.
    pub state_cpu: f64,
    /// Processor time of all processes of simulated workers together.
    pub workers_cpu: f64,
    /// Processor time of the run's own process: load, cloud and checker.
    pub load_cpu: f64,
}

/// A change of leader.
#[derive(Debug, Clone, Serialize)]
pub struct LeaderChange {
    /// Time at which the run saw the new leader record, in seconds since the beginning of the load.
    pub at_s: f64,
    /// Name of the new leader.
    #[serde(rename = "node")]
    pub controller: String,
    /// Seconds since the last time that the run killed a leader; `None` if it has killed none.
    pub after_kill_s: Option<f64>,
    /// Seconds from that kill, or from `at_s` if there was none, until the new leader's first task was
    /// placed.
    pub first_start_s: Option<f64>,
}

/// Planned and measured task starts in one phase of the load.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PhaseThroughput {
    /// Name of the phase in the plan.
    pub name: String,
    /// Task starts per second according to the plan.
    pub planned_starts_per_s: f64,
    /// Mean number of task starts per second that was measured.
    pub starts_per_s: f64,
}

/// The report of a run.
#[derive(Debug, Default, Serialize)]
pub struct RunReport {
    /// Path of the plan.
    pub plan: String,
    /// Seed of the plan.
    pub seed: u64,
    /// `played whole` if the run completed its plan, otherwise the reason why it ended early.
    #[serde(rename = "ended")]
    pub end_reason: String,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of teams.
    pub teams: usize,
    /// Planned length of the load, in seconds.
    pub load_s: f64,
    /// Task starts in each phase, in the order of the plan.
    pub phases: Vec<PhaseThroughput>,
    /// Highest mean number of task starts per second over ten consecutive seconds.
    pub starts_per_s_peak: f64,
    /// Maximum number of tasks on machines at the same time.
    pub running_peak: usize,
    /// Latencies from a job's planned submission to the first start of each of its tasks, by class and by the
    /// phase of arrival; `all` is the whole load.
    #[serde(rename = "waits")]
    pub start_latencies: BTreeMap<String, BTreeMap<String, LatencySummary>>,
    /// Number of jobs for which a user was created to submit them.
    pub submitted: u64,
    /// Number of jobs that a controller accepted.
    pub accepted: u64,
    /// Number of jobs that were refused, or not accepted within the users' deadline.
    #[serde(rename = "given_up")]
    pub abandoned: u64,
    /// Number of requests that users retried.
    pub user_retries: u64,
    /// Latency from a job's first submission request to its acceptance.
    #[serde(rename = "acceptance")]
    pub acceptance_latency: LatencySummary,
    /// Number of jobs that completed.
    pub done: u64,
    /// Number of jobs that their users cancelled.
    pub cancelled: u64,
    /// Number of accepted jobs that were neither done nor cancelled when the run ended.
    #[serde(rename = "open_at_end")]
    pub unfinished_at_end: usize,
    /// Number of jobs whose final poll got no response.
    pub unanswered_at_end: usize,
    /// Number of jobs that were submitted late because the load generator fell behind its schedule.
    #[serde(rename = "load_late")]
    pub late_submissions: u64,
    /// Maximum delay of such a submission, in seconds.
    pub load_late_max_s: f64,
    /// Traffic and resource usage of the workers.
    pub workers: WorkerUsage,
    /// Load of the kv store.
    pub state: KvUsage,
    /// Leader changes, in the order in which the run saw them.
    #[serde(rename = "leads")]
    pub leader_changes: Vec<LeaderChange>,
    /// Latencies of configuration changes, by the name of the series in the plan.
    pub changes: BTreeMap<String, ChangeSeriesReport>,
    /// Number of tasks of urgent classes that waited longer than `URGENT_OBJECTIVE_MS`.
    #[serde(rename = "urgent_late")]
    pub urgent_past_objective: u64,
    /// The part of these tasks whose jobs did not fit under their team's limit when they were accepted.
    pub urgent_late_at_limit: u64,
    /// Resource usage of all processes of the run.
    pub processes: Vec<ProcessUsage>,
    /// Number of events that the checker processed.
    #[serde(rename = "events_judged")]
    pub events_checked: u64,
    /// Violations that the checker found.
    pub violations: Vec<Violation>,
    /// One sample per second since the beginning of the load.
    #[serde(rename = "seconds")]
    pub samples: Vec<SecondSample>,
}

/// Outcomes and latencies of the configuration changes in one series of the plan.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ChangeSeriesReport {
    /// Number of changes that were requested.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Number of changes that were refused.
    pub failed: u64,
    /// Response body of the first refusal.
    pub first_failure: Option<String>,
    /// Latency from the first request to the response that the change was accepted.
    #[serde(rename = "set")]
    pub acceptance_latency: LatencySummary,
    /// Latency from the first request to the response that the change was in force.
    #[serde(rename = "in_force")]
    pub in_force_latency: LatencySummary,
    /// Number of changes that took longer than three seconds to be in force.
    #[serde(rename = "late")]
    pub past_objective: u64,
}

impl RunReport {
    /// Sets the peak values from the samples.
    pub fn compute_peaks(&mut self) {
        let best = self
            .samples
            .windows(PEAK_SECONDS)
            .map(|window| window.iter().map(|second| second.starts).sum::<u64>())
            .max()
            .unwrap_or(0);
        self.starts_per_s_peak = best as f64 / PEAK_SECONDS as f64;
        self.running_peak = self.samples.iter().map(|second| second.running).max().unwrap_or(0);
    }
}
