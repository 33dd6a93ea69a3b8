//! The tunables: an optional HCL file of the operators that is read and checked once at the start.
//!
//! All defaults are here. Names in the file that differ from the code's are mapped by serde; errors use the file's.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

use crate::source_location::with_line_number;

/// Why the tunables can't be used.
#[derive(Debug, Error)]
pub enum TunablesError {
    #[error("{file}: {error}")]
    Read { file: String, error: std::io::Error },
    #[error("{file}: {problem}")]
    InvalidHcl { file: String, problem: String },
    #[error("{file}: {name} must be {low} to {high}, not {value}")]
    OutOfRange { file: String, name: &'static str, low: f64, high: f64, value: f64 },
    #[error("{file}: graphs are asked about over the operators' interface: turn operators on as well")]
    GraphsRequireOperators { file: String },
    #[error("{file}: pool {pool}: expected 1 to {MAX_POOL_SLOTS} slots, not {slots}")]
    InvalidPoolSlots { file: String, pool: String, slots: f64 },
}

/// All tunables. Defaults marked (DAWS) are the paper's, the others the project's own.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tunables {
    /// Fetch time over run time up to which a task joins a shared queue (DAWS).
    pub t: f64,
    /// Estimated run time of a dedicated queue above which it spills, in seconds (DAWS).
    pub tt_s: f64,
    /// Fetch rate assumed until one was observed or published, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Backoff after a failed steal in milliseconds, doubled by each further one (DAWS).
    #[serde(rename = "steal_wait_ms")]
    pub steal_backoff_ms: f64,
    /// The backoff in seconds at which an idle machine stops stealing until tasks arrive.
    #[serde(rename = "steal_bound_s")]
    pub max_steal_backoff_s: f64,
    /// Seconds for which a machine is reserved for a gang or a preempting job.
    #[serde(rename = "hold_s")]
    pub machine_hold_s: f64,
    /// Time to live of the leader's lease at the key-value store, in seconds.
    #[serde(rename = "leader_life_s")]
    pub leader_lease_s: f64,
    /// Seconds after which an idle machine is returned to the cloud.
    #[serde(rename = "idle_s")]
    pub idle_return_s: f64,
    /// Jobs of a class without an objective should be done within these seconds and one run time.
    #[serde(rename = "drain_s")]
    pub queue_drain_target_s: f64,
    /// Part of the time to a job's objective within which all its tasks should have started.
    #[serde(rename = "haste")]
    pub start_deadline_fraction: f64,
    /// Behaviour under overload (docs/overload.md).
    pub overload: OverloadTunables,
    /// The operators' interface (docs/client.md).
    pub operators: OperatorTunables,
    /// Graphs (docs/flows.md).
    pub graphs: GraphTunables,
    /// Configuration at run time (docs/client.md).
    pub config: ConfigTunables,
    /// The log's form.
    pub log: LogTunables,
}

/// Mechanisms against overload, all on by default. Preemption of borrowed capacity is bounded in any case.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OverloadTunables {
    /// Jobs that cannot meet their objectives are deferred, with a minimum share for each class of a team; small gangs
    /// go first when there are too many; machines of scarce types are reserved for gangs.
    #[serde(rename = "order")]
    pub overload_ordering: bool,
    /// A controller that is behind its events skips planning and direct starts.
    #[serde(rename = "pressure")]
    pub load_shedding: bool,
    /// Best-effort jobs leave capacity free for what other jobs requested recently.
    pub headroom: bool,
    /// Arrays preempt long tasks of lower priority, and capacity that other teams have borrowed.
    #[serde(rename = "claims")]
    pub preemption: bool,
    /// Jobs that fail on every machine run one task at a time.
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

/// The operators' interface. While it is off its paths do not exist and nothing is recorded for it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorTunables {
    pub enabled: bool,
    /// Events kept in memory for each job.
    pub events_per_job: f64,
    /// Lists, inspections and explanations a second; requests beyond that are rejected with a time to retry.
    #[serde(rename = "explains_per_s")]
    pub queries_per_s: f64,
}

impl Default for OperatorTunables {
    fn default() -> Self {
        OperatorTunables { enabled: false, events_per_job: 32.0, queries_per_s: 20.0 }
    }
}

impl OperatorTunables {
    /// Events kept in memory for each job; none while the interface is off.
    pub fn event_capacity(&self) -> usize {
        if self.enabled { self.events_per_job as usize } else { 0 }
    }
}

/// The graphs' interface. While it is off no graphs are accepted; runs that exist already go on.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GraphTunables {
    pub enabled: bool,
    /// Slots by pool: most tasks, of nodes that name the pool, that run at the same time.
    pub pools: BTreeMap<String, f64>,
    /// Finished runs that are kept, so that they can be inspected and rerun.
    #[serde(rename = "kept_runs")]
    pub retained_runs: f64,
    /// Nodes of all runs together above which no further run is accepted.
    #[serde(rename = "most_nodes")]
    pub max_nodes: f64,
    /// Seconds after which uploaded parts that are not committed are deleted.
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

/// Configuration at run time. While it is off entries are neither accepted nor applied.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigTunables {
    pub enabled: bool,
}

/// The log.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogTunables {
    pub format: LogFormat,
}

/// How a line of the log is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Level, controller and message.
    #[default]
    Text,
    /// `key=value` pairs.
    Logfmt,
    Json,
}

/// Most slots of a pool.
const MAX_POOL_SLOTS: f64 = 1e6;

/// Shortest lease of a leader, in seconds. All controllers rely on it, whatever their own files say.
pub const MIN_LEADER_LEASE_S: f64 = 1.0;

impl Default for Tunables {
    fn default() -> Self {
        Tunables {
            t: 0.5,
            tt_s: 10.0,
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
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file can't be read, isn't the HCL expected, or holds a value that is out of range.
    pub fn load(path: &Path) -> Result<Tunables, TunablesError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| TunablesError::Read { file: file.clone(), error })?;
        Tunables::parse(&file, &text)
    }

    /// Parses and checks the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    /// The text isn't the HCL expected, or holds a value that is out of range.
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
            ("t", self.t, 0.0, 1e9),
            ("tt_s", self.tt_s, 0.0, 1e6),
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
