//! The tunables: an optional HCL file written by operators, which is read and validated once at startup.
//!
//! All defaults are here. Where a name in the file differs from the name in the code, serde maps it; errors use the
//! name in the file.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

use crate::source_location::with_line_number;

/// Reasons why the tunables can't be used.
#[derive(Debug, Error)]
pub enum TunablesError {
    #[error("{file}: {error}")]
    Read { file: String, error: std::io::Error },
    #[error("{file}: {problem}")]
    InvalidHcl { file: String, problem: String },
    #[error("{file}: {name} must be {low} to {high}, not {value}")]
    OutOfRange { file: String, name: &'static str, low: f64, high: f64, value: f64 },
    #[error(
        "{file}: graphs are enabled but operators are not: turn operators on, their interface answers graph run queries"
    )]
    GraphsRequireOperators { file: String },
    #[error("{file}: pool {pool}: expected 1 to {MAX_POOL_SLOTS} slots, not {slots}")]
    InvalidPoolSlots { file: String, pool: String, slots: f64 },
}

/// All tunables. Defaults marked (DAWS) are those of the paper on data-aware work stealing.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tunables {
    /// Maximum ratio of fetch time to run time with which a task joins a shared queue (DAWS).
    #[serde(rename = "t")]
    pub fetch_ratio_threshold: f64,
    /// Estimated time to run all tasks of a dedicated queue, in seconds, above which the queue spills tasks to the
    /// machine's shared queue (DAWS).
    #[serde(rename = "tt_s")]
    pub spill_threshold_s: f64,
    /// Fetch rate assumed while none has been observed or published, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Backoff after a failed steal, in milliseconds; it doubles with each further failure (DAWS).
    #[serde(rename = "steal_wait_ms")]
    pub steal_backoff_ms: f64,
    /// Maximum backoff in seconds. Beyond it, an idle machine pauses stealing until tasks arrive.
    #[serde(rename = "steal_bound_s")]
    pub max_steal_backoff_s: f64,
    /// Time for which a machine is reserved for a gang or a preempting job, in seconds.
    #[serde(rename = "hold_s")]
    pub machine_hold_s: f64,
    /// Time to live of the leader's lease in the key-value store, in seconds.
    #[serde(rename = "leader_life_s")]
    pub leader_lease_s: f64,
    /// Time after which an idle machine is returned to the cloud, in seconds.
    #[serde(rename = "idle_s")]
    pub idle_return_s: f64,
    /// Target for jobs that have neither an objective nor a deadline, or that have missed it: they should finish within
    /// this time, in seconds, plus the run time of one task.
    #[serde(rename = "drain_s")]
    pub queue_drain_target_s: f64,
    /// Fraction of the time left until a job's objective within which all its tasks should have started.
    #[serde(rename = "haste")]
    pub start_deadline_fraction: f64,
    /// Mechanisms against overload (docs/overload.md).
    pub overload: OverloadTunables,
    /// The operators' interface (docs/client.md).
    pub operators: OperatorTunables,
    /// Graphs (docs/flows.md).
    pub graphs: GraphTunables,
    /// Configuration at run time (docs/client.md).
    pub config: ConfigTunables,
    /// Log output.
    pub log: LogTunables,
}

/// Mechanisms against overload, all enabled by default. Preemption of borrowed capacity is always bounded.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OverloadTunables {
    /// Defers jobs that cannot meet their objectives, with a minimum share for each class of a team; lets small gangs
    /// go first when too many gangs wait; reserves machines of scarce types for gangs.
    #[serde(rename = "order")]
    pub overload_ordering: bool,
    /// While the controller lags behind its incoming events, plans less often and sends most starts with heartbeat
    /// responses instead of directly.
    #[serde(rename = "pressure")]
    pub load_shedding: bool,
    /// Keeps best-effort jobs from using capacity that other jobs have recently requested.
    pub headroom: bool,
    /// Lets job arrays preempt long tasks of lower priority, and tasks of other teams on borrowed capacity.
    #[serde(rename = "claims")]
    pub preemption: bool,
    /// Runs jobs that fail on every machine one task at a time.
    #[serde(rename = "trials")]
    pub probation: bool,
}

impl Default for OverloadTunables {
    fn default() -> Self {
        OverloadTunables {
            overload_ordering: true,
            load_shedding: true,
            headroom: true,
            preemption: true,
            probation: true,
        }
    }
}

/// The operators' interface. While it is disabled, its paths do not exist and no data is recorded for it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorTunables {
    pub enabled: bool,
    /// Number of events kept in memory for each job.
    pub events_per_job: f64,
    /// Maximum number of lists, inspections and explanations per second. Further requests are rejected with a retry
    /// delay.
    #[serde(rename = "explains_per_s")]
    pub queries_per_s: f64,
}

impl Default for OperatorTunables {
    fn default() -> Self {
        OperatorTunables { enabled: false, events_per_job: 32.0, queries_per_s: 20.0 }
    }
}

impl OperatorTunables {
    /// Returns the number of events kept in memory for each job; 0 while the interface is disabled.
    pub fn event_capacity(&self) -> usize {
        if self.enabled { self.events_per_job as usize } else { 0 }
    }
}

/// Graph runs. While this is disabled, no graphs are accepted, but existing runs continue.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GraphTunables {
    pub enabled: bool,
    /// Slots of each pool: the maximum number of tasks that run at the same time, counted over all nodes that name the
    /// pool.
    pub pools: BTreeMap<String, f64>,
    /// Number of finished runs that are kept for inspection and reruns.
    #[serde(rename = "kept_runs")]
    pub retained_runs: f64,
    /// Maximum number of nodes of all runs together; runs that would exceed it are rejected.
    #[serde(rename = "most_nodes")]
    pub max_nodes: f64,
    /// Time after which uploaded parts that were not committed are deleted, in seconds.
    #[serde(rename = "sweep_s")]
    pub upload_expiry_s: f64,
}

impl Default for GraphTunables {
    fn default() -> Self {
        GraphTunables {
            enabled: false,
            pools: BTreeMap::new(),
            retained_runs: 50.0,
            max_nodes: 60_000.0,
            upload_expiry_s: 600.0,
        }
    }
}

/// Run-time configuration by operators. While it is disabled, entries are neither accepted nor applied.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigTunables {
    pub enabled: bool,
}

/// Log output.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogTunables {
    pub format: LogFormat,
}

/// Format of a line of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Level, name of the controller, and message.
    #[default]
    Text,
    /// `key=value` pairs on one line.
    Logfmt,
    Json,
}

/// Maximum number of slots of a pool.
const MAX_POOL_SLOTS: f64 = 1e6;

/// Minimum time to live of the leader's lease, in seconds. All controllers rely on this minimum, whatever their own
/// files set.
pub const MIN_LEADER_LEASE_S: f64 = 1.0;

impl Default for Tunables {
    fn default() -> Self {
        Tunables {
            fetch_ratio_threshold: 0.5,
            spill_threshold_s: 10.0,
            fetch_gb_per_s: 0.1,
            steal_backoff_ms: 1.0,
            max_steal_backoff_s: 10.0,
            machine_hold_s: 60.0,
            leader_lease_s: 4.0,
            idle_return_s: 45.0,
            queue_drain_target_s: 40.0,
            start_deadline_fraction: 0.5,
            overload: OverloadTunables::default(),
            operators: OperatorTunables::default(),
            graphs: GraphTunables::default(),
            config: ConfigTunables::default(),
            log: LogTunables::default(),
        }
    }
}

impl Tunables {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// Fails if the file can't be read, isn't valid HCL of the expected form, or holds an invalid value.
    pub fn load(path: &Path) -> Result<Tunables, TunablesError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| TunablesError::Read { file: file.clone(), error })?;
        Tunables::parse(&file, &text)
    }

    /// Parses and validates the text of a file; `file` is the name of the file in errors.
    ///
    /// # Errors
    /// Fails if the text isn't valid HCL of the expected form, or holds an invalid value.
    pub fn parse(file: &str, text: &str) -> Result<Tunables, TunablesError> {
        let tunables: Tunables = hcl::from_str(text).map_err(|error| TunablesError::InvalidHcl {
            file: file.into(),
            problem: with_line_number(text, &error.to_string()),
        })?;
        tunables.validate(file)?;
        Ok(tunables)
    }

    fn validate(&self, file: &str) -> Result<(), TunablesError> {
        self.validate_ranges(file)?;
        self.validate_pools(file)?;
        if self.graphs.enabled && !self.operators.enabled {
            return Err(TunablesError::GraphsRequireOperators { file: file.into() });
        }
        Ok(())
    }

    fn validate_ranges(&self, file: &str) -> Result<(), TunablesError> {
        let ranges = [
            ("t", self.fetch_ratio_threshold, 0.0, 1e9),
            ("tt_s", self.spill_threshold_s, 0.0, 1e6),
            ("fetch_gb_per_s", self.fetch_gb_per_s, 1e-6, 1e6),
            ("steal_wait_ms", self.steal_backoff_ms, 0.1, 1e6),
            ("steal_bound_s", self.max_steal_backoff_s, 0.001, 1e4),
            ("hold_s", self.machine_hold_s, 0.0, 600.0),
            ("leader_life_s", self.leader_lease_s, MIN_LEADER_LEASE_S, 60.0),
            ("idle_s", self.idle_return_s, 0.0, 1e6),
            ("drain_s", self.queue_drain_target_s, 1.0, 1e6),
            ("haste", self.start_deadline_fraction, 0.05, 1.0),
            ("events_per_job", self.operators.events_per_job, 0.0, 1000.0),
            ("explains_per_s", self.operators.queries_per_s, 0.1, 1e5),
            ("kept_runs", self.graphs.retained_runs, 0.0, 1e5),
            ("most_nodes", self.graphs.max_nodes, 0.0, 1e6),
            ("sweep_s", self.graphs.upload_expiry_s, 1.0, 1e6),
        ];
        for (name, value, low, high) in ranges {
            if !(low..=high).contains(&value) {
                return Err(TunablesError::OutOfRange { file: file.into(), name, low, high, value });
            }
        }
        Ok(())
    }

    fn validate_pools(&self, file: &str) -> Result<(), TunablesError> {
        let is_valid = |slots: &f64| (1.0..=MAX_POOL_SLOTS).contains(slots);
        if let Some((pool, slots)) = self.graphs.pools.iter().find(|(_, slots)| !is_valid(slots)) {
            return Err(TunablesError::InvalidPoolSlots {
                file: file.into(),
                pool: pool.clone(),
                slots: *slots,
            });
        }
        Ok(())
    }
}
