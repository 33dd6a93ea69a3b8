//! What a run measured: waits, rates, processes, and the report of it all.

use std::collections::{BTreeMap, HashSet};
use std::fmt::Write as _;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::invariants::Violation;
use crate::processes::{ResourceSample, Role};

/// Significant digits of histograms, and the longest time they tell, in milliseconds.
const DIGITS: u8 = 3;
const MAX_RECORDED_MS: u64 = 24 * 3_600_000;
/// The rate at the peak is the best mean over so many seconds.
const PEAK_SECONDS: usize = 10;

/// Urgent work starts within this, by the operators' word.
pub const URGENT_OBJECTIVE_MS: u64 = 8_900;

/// A distribution of times, in seconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LatencySummary {
    pub count: u64,
    pub p50_s: f64,
    pub p99_s: f64,
    pub max_s: f64,
}

/// Times in milliseconds as they come in.
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram(
            Histogram::new_with_max(MAX_RECORDED_MS, DIGITS).expect("bounds that histograms allow"),
        )
    }
}

impl LatencyHistogram {
    pub fn record(&mut self, ms: u64) {
        self.0.saturating_record(ms);
    }

    pub fn summary(&self) -> LatencySummary {
        let quantile = |part: f64| self.0.value_at_quantile(part) as f64 / 1000.0;
        LatencySummary {
            count: self.0.len(),
            p50_s: quantile(0.5),
            p99_s: quantile(0.99),
            max_s: self.0.max() as f64 / 1000.0,
        }
    }
}

/// One second of the run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SecondSample {
    pub at_s: u64,
    pub starts: u64,
    pub running: usize,
    pub workers: usize,
    /// Tasks of accepted jobs that have not run yet.
    pub waiting: i64,
    #[serde(rename = "reports")]
    pub heartbeats: u64,
    pub state_requests: u64,
    pub state_changes: u64,
    /// Processor time as a share of one core: the leader, all controllers, the state service, all hollow workers, the load.
    pub leader_cpu: f64,
    pub controllers_cpu: f64,
    pub state_cpu: f64,
    pub workers_cpu: f64,
    pub load_cpu: f64,
}

/// A process over the whole run.
#[derive(Debug, Clone, Serialize)]
pub struct ProcessUsage {
    pub name: String,
    pub role: Role,
    /// Shares of one core.
    pub cpu_mean: f64,
    pub cpu_peak: f64,
    pub memory_peak_mb: f64,
    pub files_peak: usize,
    #[serde(skip)]
    cpu_time_s: f64,
    #[serde(skip)]
    sampled_s: f64,
    #[serde(skip)]
    last_sample: Option<(u64, ResourceSample)>,
}

impl ProcessUsage {
    pub fn new(name: &str, role: Role) -> ProcessUsage {
        ProcessUsage {
            name: name.into(),
            role,
            cpu_mean: 0.0,
            cpu_peak: 0.0,
            memory_peak_mb: 0.0,
            files_peak: 0,
            cpu_time_s: 0.0,
            sampled_s: 0.0,
            last_sample: None,
        }
    }

    /// Takes a sample in; the share of a core since the one before, 0 after a restart.
    pub fn add_sample(&mut self, now: u64, sample: Option<ResourceSample>) -> f64 {
        let before = std::mem::replace(&mut self.last_sample, sample.map(|sample| (now, sample)));
        let (Some(sample), Some((then, before))) = (sample, before) else { return 0.0 };
        self.memory_peak_mb = self.memory_peak_mb.max(sample.memory_bytes as f64 / 1e6);
        self.files_peak = self.files_peak.max(sample.open_files);
        let (used_s, seconds) =
            (sample.cpu_time_s - before.cpu_time_s, now.saturating_sub(then) as f64 / 1000.0);
        if used_s < 0.0 || seconds <= 0.0 {
            return 0.0;
        }
        self.cpu_time_s += used_s;
        self.sampled_s += seconds;
        self.cpu_mean = self.cpu_time_s / self.sampled_s;
        let share = used_s / seconds;
        self.cpu_peak = self.cpu_peak.max(share);
        share
    }
}

/// A change of leader.
#[derive(Debug, Clone, Serialize)]
pub struct LeaderChange {
    /// When its record was seen.
    pub at_s: f64,
    #[serde(rename = "node")]
    pub controller: String,
    /// From the end of the one before, if it was killed in this run.
    pub after_kill_s: Option<f64>,
    /// From the kill, or else the record, to the first task that the new leader started.
    pub first_start_s: Option<f64>,
}

/// One phase of the load.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PhaseThroughput {
    pub name: String,
    pub planned_starts_per_s: f64,
    pub starts_per_s: f64,
}

/// A worker's control traffic and processor time, from its process over the workers in it.
#[derive(Debug, Clone, Default, Serialize)]
pub struct WorkerUsage {
    pub workers_peak: usize,
    #[serde(rename = "reports_per_s")]
    pub heartbeats_per_s: f64,
    pub commands_per_s: f64,
    /// Bytes a second of one worker.
    pub bytes_in_per_s: f64,
    pub bytes_out_per_s: f64,
    /// A process of hollow workers over its workers: share of one core, MB.
    pub cpu_share: f64,
    pub memory_mb: f64,
}

/// What the state service served over the load.
#[derive(Debug, Clone, Default, Serialize)]
pub struct KvUsage {
    pub requests_per_s: f64,
    #[serde(rename = "changes_per_s")]
    pub mutations_per_s: f64,
    pub refused: u64,
    pub keys: usize,
    pub bytes_in_per_s: f64,
    pub bytes_out_per_s: f64,
}

/// The report of a run.
#[derive(Debug, Default, Serialize)]
pub struct RunReport {
    pub plan: String,
    pub seed: u64,
    /// Whole, or why it ended early.
    #[serde(rename = "ended")]
    pub end_reason: String,
    pub controllers: usize,
    pub teams: usize,
    pub load_s: f64,
    pub phases: Vec<PhaseThroughput>,
    /// Best mean over ten seconds.
    pub starts_per_s_peak: f64,
    pub running_peak: usize,
    /// Waits from submission to the first start of each task, by class and phase of arrival; `all` is the whole load.
    #[serde(rename = "waits")]
    pub start_latencies: BTreeMap<String, BTreeMap<String, LatencySummary>>,
    pub submitted: u64,
    pub accepted: u64,
    #[serde(rename = "given_up")]
    pub abandoned: u64,
    pub user_retries: u64,
    #[serde(rename = "acceptance")]
    pub acceptance_latency: LatencySummary,
    pub done: u64,
    pub cancelled: u64,
    /// Accepted jobs that were not over when the run ended.
    #[serde(rename = "open_at_end")]
    pub unfinished_at_end: usize,
    /// Of those asked about at the end, how many nobody answered for.
    pub unanswered_at_end: usize,
    /// Jobs that were submitted late because the load side was behind, and the longest delay.
    #[serde(rename = "load_late")]
    pub late_submissions: u64,
    pub load_late_max_s: f64,
    pub workers: WorkerUsage,
    pub state: KvUsage,
    #[serde(rename = "leads")]
    pub leader_changes: Vec<LeaderChange>,
    /// By series of the plan.
    pub changes: BTreeMap<String, ConfigChangeLatency>,
    /// Tasks of urgent classes that waited longer than `URGENT_AIM_MS`, and how many of them belong to
    /// jobs for which their team had no room under its limit when they were accepted.
    #[serde(rename = "urgent_late")]
    pub urgent_past_objective: u64,
    pub urgent_late_at_limit: u64,
    pub processes: Vec<ProcessUsage>,
    #[serde(rename = "events_judged")]
    pub events_checked: u64,
    pub violations: Vec<Violation>,
    #[serde(rename = "seconds")]
    pub samples: Vec<SecondSample>,
}

/// Changes of configuration: from the request to the answer that it is in force.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ConfigChangeLatency {
    #[serde(rename = "asked")]
    pub requested: u64,
    pub failed: u64,
    /// What the first refusal said.
    pub first_failure: Option<String>,
    #[serde(rename = "set")]
    pub acceptance_latency: LatencySummary,
    #[serde(rename = "in_force")]
    pub in_force_latency: LatencySummary,
    /// Longer than three seconds.
    #[serde(rename = "late")]
    pub past_objective: u64,
}

/// Waits by class and phase.
#[derive(Default)]
pub struct StartLatencies {
    histograms: BTreeMap<(String, String), LatencyHistogram>,
    started_tasks: HashSet<String>,
}

/// The name under which a class's waits of the whole load stand.
const WHOLE_LOAD: &str = "all";

impl StartLatencies {
    /// A task runs for the first time; false if it has run before.
    pub fn record_first_start(&mut self, task: &str, class: &str, phase: &str, ms: u64) -> bool {
        if !self.started_tasks.insert(task.into()) {
            return false;
        }
        for phase in [phase, WHOLE_LOAD] {
            self.histograms.entry((class.into(), phase.into())).or_default().record(ms);
        }
        true
    }

    pub fn table(&self) -> BTreeMap<String, BTreeMap<String, LatencySummary>> {
        let mut table: BTreeMap<String, BTreeMap<String, LatencySummary>> = BTreeMap::new();
        for ((class, phase), times) in &self.histograms {
            table.entry(class.clone()).or_default().insert(phase.clone(), times.summary());
        }
        table
    }
}

impl RunReport {
    /// The best mean of starts over some seconds.
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

    /// The table for people.
    pub fn table(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write_table(&mut text);
        text
    }

    fn write_table(&self, text: &mut String) -> std::fmt::Result {
        writeln!(text, "{}: {}, seed {}", self.plan, self.end_reason, self.seed)?;
        writeln!(
            text,
            "starts a second: {:.0} at the peak (10 s); running at most {}",
            self.starts_per_s_peak, self.running_peak
        )?;
        for phase in &self.phases {
            writeln!(
                text,
                "  {:<14} {:>6.0} planned {:>6.0} started",
                phase.name, phase.planned_starts_per_s, phase.starts_per_s
            )?;
        }
        writeln!(
            text,
            "jobs: {} submitted, {} accepted (p50 {:.3} p99 {:.3} max {:.2} s), {} given up, {} done, {} cancelled, {} open at the end, {} not answered for",
            self.submitted,
            self.accepted,
            self.acceptance_latency.p50_s,
            self.acceptance_latency.p99_s,
            self.acceptance_latency.max_s,
            self.abandoned,
            self.done,
            self.cancelled,
            self.unfinished_at_end,
            self.unanswered_at_end
        )?;
        writeln!(text, "waits from submission to start, s:")?;
        for (class, phases) in &self.start_latencies {
            for (phase, wait) in phases {
                writeln!(
                    text,
                    "  {class:<12} {phase:<14} {:>8} tasks  p50 {:>7.2}  p99 {:>7.2}  max {:>7.2}",
                    wait.count, wait.p50_s, wait.p99_s, wait.max_s
                )?;
            }
        }
        let workers = &self.workers;
        writeln!(
            text,
            "a worker of {}: {:.2}% of a core, {:.2} MB (its process over its workers), {:.0} B/s in, {:.0} B/s out; all: {:.0} reports, {:.0} commands a second",
            workers.workers_peak,
            workers.cpu_share * 100.0,
            workers.memory_mb,
            workers.bytes_in_per_s,
            workers.bytes_out_per_s,
            workers.heartbeats_per_s,
            workers.commands_per_s
        )?;
        let state = &self.state;
        writeln!(
            text,
            "state service: {:.0} requests, {:.0} changes a second, {} refused, {} keys",
            state.requests_per_s, state.mutations_per_s, state.refused, state.keys
        )?;
        for lead in &self.leader_changes {
            let seconds = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.1} s"));
            writeln!(
                text,
                "lead: {} at {:.1} s, after the kill {}, to its first start {}",
                lead.controller,
                lead.at_s,
                seconds(lead.after_kill_s),
                seconds(lead.first_start_s)
            )?;
        }
        writeln!(
            text,
            "urgent tasks later than {:.1} s: {}, of these {} of jobs that their team's limit had no room for",
            URGENT_OBJECTIVE_MS as f64 / 1000.0,
            self.urgent_past_objective,
            self.urgent_late_at_limit
        )?;
        for (name, changes) in &self.changes {
            writeln!(
                text,
                "configuration, {name}: {} changes, {} failed; set p50 {:.3} p99 {:.3} max {:.2} s; in force p50 {:.3} p99 {:.3} max {:.2} s, {} later than 3 s",
                changes.requested,
                changes.failed,
                changes.acceptance_latency.p50_s,
                changes.acceptance_latency.p99_s,
                changes.acceptance_latency.max_s,
                changes.in_force_latency.p50_s,
                changes.in_force_latency.p99_s,
                changes.in_force_latency.max_s,
                changes.past_objective
            )?;
        }
        writeln!(
            text,
            "{:<18} {:>9} {:>9} {:>9} {:>7}",
            "process", "cpu mean", "cpu peak", "MB peak", "files"
        )?;
        for process in &self.processes {
            writeln!(
                text,
                "{:<18} {:>9.3} {:>9.3} {:>9.0} {:>7}",
                process.name, process.cpu_mean, process.cpu_peak, process.memory_peak_mb, process.files_peak
            )?;
        }
        writeln!(
            text,
            "load side late with {} jobs, at most {:.1} s",
            self.late_submissions, self.load_late_max_s
        )?;
        writeln!(text, "check: {} events judged, {} violations", self.events_checked, self.violations.len())
    }
}
