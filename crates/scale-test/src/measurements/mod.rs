//! What a run measured, as its report shows it. Does no I/O and reads no clock.
//!
//! `latency` holds distributions of times, `usage` the resources that processes took, `table` writes the report as text.

mod latency;
mod table;
mod usage;

use std::collections::BTreeMap;

use serde::Serialize;

pub use self::latency::{LatencyHistogram, LatencySummary, StartLatencies};
pub use self::usage::{KvUsage, ProcessUsage, WorkerUsage};
use crate::invariants::Violation;

/// The rate at the peak is the best mean over so many seconds.
const PEAK_SECONDS: usize = 10;

/// The operators' objective for urgent jobs: within this their tasks start.
pub const URGENT_OBJECTIVE_MS: u64 = 8_900;

/// One second of the run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SecondSample {
    /// Seconds since the begin of the load.
    pub at_s: u64,
    /// Tasks that started in this second.
    pub starts: u64,
    /// Tasks on machines.
    pub running: usize,
    /// Workers that are up.
    pub workers: usize,
    /// Tasks of accepted jobs that have not run yet.
    pub waiting: i64,
    /// Heartbeats since the start of the run.
    #[serde(rename = "reports")]
    pub heartbeats: u64,
    /// Requests to the kv store since the start of the run.
    pub state_requests: u64,
    /// Mutations of the kv store since the start of the run.
    pub state_changes: u64,
    /// Processor time of the leader; this and the next ones as shares of one core.
    pub leader_cpu: f64,
    /// Of all controllers together.
    pub controllers_cpu: f64,
    /// Of the kv store.
    pub state_cpu: f64,
    /// Of all simulated workers.
    pub workers_cpu: f64,
    /// Of the run itself: load, cloud and checker.
    pub load_cpu: f64,
}

/// A change of leader.
#[derive(Debug, Clone, Serialize)]
pub struct LeaderChange {
    /// When its record was seen, in seconds since the begin of the load.
    pub at_s: f64,
    /// The new leader.
    #[serde(rename = "node")]
    pub controller: String,
    /// Seconds since a leader was last killed in this run.
    pub after_kill_s: Option<f64>,
    /// From the kill, or else the record, to the first task that the new leader started.
    pub first_start_s: Option<f64>,
}

/// One phase of the load.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PhaseThroughput {
    /// Its name in the plan.
    pub name: String,
    /// Task starts a second that the plan wants.
    pub planned_starts_per_s: f64,
    /// Mean of task starts a second.
    pub starts_per_s: f64,
}

/// The report of a run.
#[derive(Debug, Default, Serialize)]
pub struct RunReport {
    /// File of the plan.
    pub plan: String,
    /// Seed of the plan.
    pub seed: u64,
    /// Whole, or why it ended early.
    #[serde(rename = "ended")]
    pub end_reason: String,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of teams.
    pub teams: usize,
    /// Planned length of the load, in seconds.
    pub load_s: f64,
    /// In the order of the plan.
    pub phases: Vec<PhaseThroughput>,
    /// Best mean over ten seconds.
    pub starts_per_s_peak: f64,
    /// Most tasks on machines at once.
    pub running_peak: usize,
    /// Times from submission to the first start of each task, by class and phase of arrival; `all` is the whole load.
    #[serde(rename = "waits")]
    pub start_latencies: BTreeMap<String, BTreeMap<String, LatencySummary>>,
    /// Jobs that users submitted.
    pub submitted: u64,
    /// Jobs that a controller accepted.
    pub accepted: u64,
    /// Jobs that were refused, or not accepted within the users' deadline.
    #[serde(rename = "given_up")]
    pub abandoned: u64,
    /// Requests that users repeated.
    pub user_retries: u64,
    /// From the first request to acceptance.
    #[serde(rename = "acceptance")]
    pub acceptance_latency: LatencySummary,
    /// Jobs that completed.
    pub done: u64,
    /// Jobs that their users cancelled.
    pub cancelled: u64,
    /// Accepted jobs that were not over when the run ended.
    #[serde(rename = "open_at_end")]
    pub unfinished_at_end: usize,
    /// Jobs of the final poll for which no response came.
    pub unanswered_at_end: usize,
    /// Jobs that were submitted late because the load side was behind.
    #[serde(rename = "load_late")]
    pub late_submissions: u64,
    /// The longest such delay, in seconds.
    pub load_late_max_s: f64,
    /// Traffic and resources of a worker.
    pub workers: WorkerUsage,
    /// What the kv store served.
    pub state: KvUsage,
    /// In the order in which they were seen.
    #[serde(rename = "leads")]
    pub leader_changes: Vec<LeaderChange>,
    /// By series of the plan.
    pub changes: BTreeMap<String, ConfigChangeLatency>,
    /// Tasks of urgent classes that waited longer than `URGENT_OBJECTIVE_MS`.
    #[serde(rename = "urgent_late")]
    pub urgent_past_objective: u64,
    /// Of these, the tasks of jobs for which their team had no room under its limit when they were accepted.
    pub urgent_late_at_limit: u64,
    /// All processes of the run.
    pub processes: Vec<ProcessUsage>,
    /// Events that the checker judged.
    #[serde(rename = "events_judged")]
    pub events_checked: u64,
    /// What the checker found.
    pub violations: Vec<Violation>,
    /// One for each second since the begin of the load.
    #[serde(rename = "seconds")]
    pub samples: Vec<SecondSample>,
}

/// Changes of configuration: from the request to the response that it is in force.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ConfigChangeLatency {
    /// Changes that were requested.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Changes that were refused.
    pub failed: u64,
    /// Text of the first refusal.
    pub first_failure: Option<String>,
    /// Until the change was accepted.
    #[serde(rename = "set")]
    pub acceptance_latency: LatencySummary,
    /// Until the change was in force.
    #[serde(rename = "in_force")]
    pub in_force_latency: LatencySummary,
    /// Longer than three seconds.
    #[serde(rename = "late")]
    pub past_objective: u64,
}

impl RunReport {
    /// Sets the peaks from the samples.
    pub fn compute_peak(&mut self) {
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
