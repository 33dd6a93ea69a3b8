//! Resource usage of processes and workers, and the load of the kv store.

use serde::Serialize;

use crate::processes::{ResourceSample, Role};

/// Resource usage of a process over the whole run.
#[derive(Debug, Clone, Serialize)]
pub struct ProcessUsage {
    /// Name of the process in the report.
    pub name: String,
    /// Role of the process in the run.
    pub role: Role,
    /// Mean processor time, as a fraction of one core.
    pub cpu_mean: f64,
    /// Highest processor time between two samples, as a fraction of one core.
    pub cpu_peak: f64,
    /// Maximum resident memory in MB.
    pub memory_peak_mb: f64,
    /// Maximum number of open files.
    pub files_peak: usize,
    /// Processor time over the periods in `sampled_s`, in seconds.
    #[serde(skip)]
    cpu_time_s: f64,
    /// Sum of the periods between two samples in which the process was not restarted, in seconds.
    #[serde(skip)]
    sampled_s: f64,
    /// The last sample, with its time in milliseconds of the run; `None` before the first sample and if the
    /// process was not running.
    #[serde(skip)]
    last_sample: Option<(u64, ResourceSample)>,
}

impl ProcessUsage {
    /// Creates the usage of a process that has not been sampled yet.
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

    /// Adds a sample taken at `now_ms`. Returns the processor time since the previous sample as a fraction of
    /// one core; 0 for the first sample and after a restart.
    pub fn add_sample(&mut self, now_ms: u64, sample: Option<ResourceSample>) -> f64 {
        let previous = std::mem::replace(&mut self.last_sample, sample.map(|sample| (now_ms, sample)));
        let (Some(sample), Some((previous_ms, previous))) = (sample, previous) else { return 0.0 };
        self.memory_peak_mb = self.memory_peak_mb.max(sample.memory_bytes as f64 / 1e6);
        self.files_peak = self.files_peak.max(sample.open_files);
        let used_s = sample.cpu_time_s - previous.cpu_time_s;
        let elapsed_s = now_ms.saturating_sub(previous_ms) as f64 / 1000.0;
        if used_s < 0.0 || elapsed_s <= 0.0 {
            return 0.0;
        }
        self.cpu_time_s += used_s;
        self.sampled_s += elapsed_s;
        self.cpu_mean = self.cpu_time_s / self.sampled_s;
        let share = used_s / elapsed_s;
        self.cpu_peak = self.cpu_peak.max(share);
        share
    }
}

/// Traffic and resource usage of the simulated workers. Values per worker are the sums over all their
/// processes divided by the maximum number of workers.
#[derive(Debug, Clone, Default, Serialize)]
pub struct WorkerUsage {
    /// Maximum number of workers at the same time.
    pub workers_peak: usize,
    /// Heartbeats of all workers, per second.
    #[serde(rename = "reports_per_s")]
    pub heartbeats_per_s: f64,
    /// Requests with direct commands to all workers, per second.
    pub commands_per_s: f64,
    /// Bytes that one worker received, per second.
    pub bytes_in_per_s: f64,
    /// Bytes that one worker sent, per second.
    pub bytes_out_per_s: f64,
    /// Processor time per worker, as a fraction of one core.
    pub cpu_share: f64,
    /// Memory per worker in MB, from the peak memory of the processes.
    pub memory_mb: f64,
}

/// Load of the kv store over the load phases.
#[derive(Debug, Clone, Default, Serialize)]
pub struct KvUsage {
    /// Requests of controllers, per second.
    pub requests_per_s: f64,
    /// Mutations that were applied, per second.
    #[serde(rename = "changes_per_s")]
    pub mutations_per_s: f64,
    /// Number of requests that were refused because they exceeded a rate limit, since the start of the run.
    pub refused: u64,
    /// Number of keys stored at the end.
    pub keys: usize,
    /// Bytes received, per second.
    pub bytes_in_per_s: f64,
    /// Bytes sent, per second.
    pub bytes_out_per_s: f64,
}
