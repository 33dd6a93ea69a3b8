//! Durable records: their keys and their JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use olivelatch_dag::NodeOutcome;

use super::dag_records::NodeTerminalRecord;
use super::jobs::TerminalState;
use crate::ids::{Attempt, JobId, TaskId};
use crate::protocol::graphs::DagRunName;
use crate::protocol::users::JobManifest;

/// Every key of the service begins so.
pub const KEY_PREFIX: &str = "olivelatch/";
pub const LEADER_KEY: &str = "olivelatch/leader";
pub const GRAPH_ACCEPTANCE_KEY: &str = "olivelatch/graphs";

/// A key of the state service, taken apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordKey {
    Leader,
    Job(JobId),
    Terminal(JobId),
    Finished(JobId, u32),
    /// The form before the log; read and removed, written no more.
    LegacyMachine(String),
    AssignmentLog(String),
    ProvisioningRequest(String),
    MachineType(String),
    /// Rewritten by every acceptance of graph nodes.
    GraphAcceptance,
    GraphPart(DagRunName, u32),
    DagRun(DagRunName),
    RunPhase(DagRunName),
    RetryState(JobId, u32),
    /// An entry of the configuration, of whatever sort.
    ConfigEntry(String),
}

impl RecordKey {
    pub fn parse(text: &str) -> Option<RecordKey> {
        let text = text.strip_prefix(KEY_PREFIX)?;
        if text == "leader" {
            return Some(RecordKey::Leader);
        }
        if text == "graphs" {
            return Some(RecordKey::GraphAcceptance);
        }
        let (sort, name) = text.split_once('/')?;
        Some(match sort {
            "job" => RecordKey::Job(JobId::parse(name)?),
            "end" => RecordKey::Terminal(JobId::parse(name)?),
            "fin" => {
                let (job, block) = name.split_once('/')?;
                RecordKey::Finished(JobId::parse(job)?, block.parse().ok()?)
            }
            "machine" => RecordKey::LegacyMachine(name.into()),
            "log" => RecordKey::AssignmentLog(name.into()),
            "booking" => RecordKey::ProvisioningRequest(name.into()),
            "kind" => RecordKey::MachineType(name.into()),
            "part" => {
                let (run, part) = name.split_once('/')?;
                RecordKey::GraphPart(DagRunName::parse(run)?, part.parse().ok()?)
            }
            "graph" => RecordKey::DagRun(DagRunName::parse(name)?),
            "turn" => RecordKey::RunPhase(DagRunName::parse(name)?),
            "tries" => {
                let (job, block) = name.split_once('/')?;
                RecordKey::RetryState(JobId::parse(job)?, block.parse().ok()?)
            }
            "config" => RecordKey::ConfigEntry(name.into()),
            _ => return None,
        })
    }

    pub fn encode(&self) -> String {
        match self {
            RecordKey::Leader => LEADER_KEY.into(),
            RecordKey::Job(id) => format!("{KEY_PREFIX}job/{id}"),
            RecordKey::Terminal(id) => format!("{KEY_PREFIX}end/{id}"),
            RecordKey::Finished(id, block) => format!("{KEY_PREFIX}fin/{id}/{block}"),
            RecordKey::LegacyMachine(name) => format!("{KEY_PREFIX}machine/{name}"),
            RecordKey::AssignmentLog(name) => format!("{KEY_PREFIX}log/{name}"),
            RecordKey::ProvisioningRequest(name) => format!("{KEY_PREFIX}booking/{name}"),
            RecordKey::MachineType(name) => format!("{KEY_PREFIX}kind/{name}"),
            RecordKey::GraphAcceptance => GRAPH_ACCEPTANCE_KEY.into(),
            RecordKey::GraphPart(run, part) => format!("{KEY_PREFIX}part/{run}/{part}"),
            RecordKey::DagRun(run) => format!("{KEY_PREFIX}graph/{run}"),
            RecordKey::RunPhase(run) => format!("{KEY_PREFIX}turn/{run}"),
            RecordKey::RetryState(job, block) => format!("{KEY_PREFIX}tries/{job}/{block}"),
            RecordKey::ConfigEntry(name) => format!("{KEY_PREFIX}config/{name}"),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    #[serde(rename = "node")]
    pub controller: String,
    /// What the key hangs on; versions before did not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
    /// The format of configuration entries that it acts by; none if it acts by the platform's settings alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "config")]
    pub config_format: Option<u32>,
}

/// A job as accepted, and the time of day then.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    #[serde(rename = "at")]
    pub accepted_wall_ms: u64,
    #[serde(rename = "spec")]
    pub manifest: JobManifest,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StoredTerminalState {
    Done,
    Withdrawn,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TerminalRecord {
    #[serde(rename = "end")]
    state: StoredTerminalState,
    #[serde(rename = "at")]
    pub ended_wall_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<TerminalDetail>,
    /// Of a graph's node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "node")]
    pub node_terminal: Option<NodeTerminalRecord>,
}

/// What is kept of an ended job for operators, if their interface is on; times of day in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TerminalDetail {
    pub team: String,
    pub class: String,
    pub tasks: u32,
    #[serde(rename = "accepted")]
    pub accepted_wall_ms: u64,
    /// When the first task ran, as its leader saw it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "first")]
    pub first_start_wall_ms: Option<u64>,
}

impl TerminalRecord {
    pub fn new(end: TerminalState, ended_wall_ms: u64, detail: Option<TerminalDetail>) -> TerminalRecord {
        let state = match end {
            TerminalState::Done => StoredTerminalState::Done,
            TerminalState::Cancelled => StoredTerminalState::Withdrawn,
        };
        TerminalRecord { state, ended_wall_ms, detail, node_terminal: None }
    }

    pub fn for_node(node: NodeTerminalRecord, at: u64, detail: Option<TerminalDetail>) -> TerminalRecord {
        let end =
            if node.outcome == NodeOutcome::Success { TerminalState::Done } else { TerminalState::Cancelled };
        TerminalRecord { node_terminal: Some(node), ..TerminalRecord::new(end, at, detail) }
    }

    pub fn terminal_state(&self) -> TerminalState {
        match self.state {
            StoredTerminalState::Done => TerminalState::Done,
            StoredTerminalState::Withdrawn => TerminalState::Cancelled,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinishedRecord {
    #[serde(rename = "tasks")]
    pub encoded_tasks: String,
}

/// Which tasks may be on a machine, and whether it is being returned: the form before the log.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
pub struct LegacyMachineRecord {
    #[serde(rename = "kind")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub endpoint: String,
    #[serde(default)]
    pub returning: bool,
    /// Tasks and their attempts, by job.
    #[serde(default)]
    tasks: BTreeMap<String, Vec<(u32, u64)>>,
}

/// Bytes that one task may take in a worker's report and in the log.
const MAX_TASK_BYTES: usize = 48;
const MAX_OVERHEAD_BYTES: usize = 700;

/// How many tasks a machine may have, so that what is said of it always fits one value.
pub fn max_tasks_per_machine(value_kb: f64) -> usize {
    let bytes = (value_kb * 1024.0) as usize;
    (bytes.saturating_sub(MAX_OVERHEAD_BYTES) / MAX_TASK_BYTES).max(1)
}

/// Part of the leader's log: tasks that may be on machines from then on, machines that go
/// back, tasks that finished. However many machines it speaks of, it is one change.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct AssignmentLogRecord {
    /// Attempts are written as their distance from this.
    #[serde(rename = "base")]
    base_attempt: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "kinds")]
    machine_types: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    zones: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    machines: Vec<MachineEntry>,
    /// Finished tasks by job: the first of a row, and how many.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[serde(rename = "done")]
    finished: BTreeMap<u64, Vec<(u32, u32)>>,
    #[serde(skip)]
    max_json_bytes: usize,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct MachineEntry {
    #[serde(rename = "n")]
    name: String,
    #[serde(rename = "e")]
    endpoint: String,
    /// Positions in the record's lists of machine types and zones.
    #[serde(rename = "k")]
    machine_type: usize,
    #[serde(rename = "z")]
    zone: usize,
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    spot: bool,
    #[serde(rename = "r", default, skip_serializing_if = "is_false")]
    returning: bool,
    /// Job, task, distance of the attempt.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    tasks: Vec<(u64, u32, i64)>,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// A machine as records speak of it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MachineDescriptor {
    pub name: String,
    pub endpoint: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

/// What records say of one machine.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RecordedMachine {
    pub machine: MachineDescriptor,
    pub returning: bool,
    pub tasks: Vec<(TaskId, Attempt)>,
}

/// Upper bounds for what the parts of a log record take, besides names and numbers.
const MAX_RECORD_OVERHEAD_BYTES: usize = 100;
const MAX_ENTRY_BYTES: usize = 68;
const MAX_ASSIGNMENT_BYTES: usize = 6;
const MAX_RANGE_BYTES: usize = 36;

fn digit_count(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

impl AssignmentLogRecord {
    pub fn new(base: Attempt) -> AssignmentLogRecord {
        AssignmentLogRecord {
            base_attempt: base.0,
            max_json_bytes: MAX_RECORD_OVERHEAD_BYTES,
            ..AssignmentLogRecord::default()
        }
    }

    /// At most so long it is as JSON.
    pub fn max_json_bytes(&self) -> usize {
        self.max_json_bytes
    }

    pub fn is_empty(&self) -> bool {
        self.machines.is_empty() && self.finished.is_empty()
    }

    /// What follows is about this machine.
    pub fn add_machine(&mut self, machine: &MachineDescriptor) {
        let kind = intern_position(&mut self.machine_types, &machine.machine_type, &mut self.max_json_bytes);
        let zone = intern_position(&mut self.zones, &machine.zone, &mut self.max_json_bytes);
        self.max_json_bytes += MAX_ENTRY_BYTES + machine.name.len() + machine.endpoint.len();
        self.machines.push(MachineEntry {
            name: machine.name.clone(),
            endpoint: machine.endpoint.clone(),
            machine_type: kind,
            zone,
            spot: machine.spot,
            returning: false,
            tasks: Vec::new(),
        });
    }

    /// A task may be on the machine named last.
    pub fn add_task(&mut self, task: TaskId, attempt: Attempt) {
        if let Some(entry) = self.machines.last_mut() {
            let distance = (attempt.0 as i64).wrapping_sub(self.base_attempt as i64);
            let numbers = [task.job.0, u64::from(task.task), distance.unsigned_abs()];
            self.max_json_bytes += MAX_ASSIGNMENT_BYTES + numbers.into_iter().map(digit_count).sum::<usize>();
            entry.tasks.push((task.job.0, task.task, distance));
        }
    }

    /// The machine named last goes back.
    pub fn mark_returning(&mut self) {
        if let Some(entry) = self.machines.last_mut() {
            entry.returning = true;
        }
    }

    /// Finished tasks come in order.
    pub fn add_finished(&mut self, task: TaskId) {
        let rows = self.finished.entry(task.job.0).or_default();
        match rows.last_mut() {
            Some((first, count)) if *first + *count == task.task => *count += 1,
            _ => {
                self.max_json_bytes += MAX_RANGE_BYTES;
                rows.push((task.task, 1));
            }
        }
    }

    pub fn recorded_machines(&self) -> impl Iterator<Item = RecordedMachine> + '_ {
        let name = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_default();
        self.machines.iter().map(move |entry| RecordedMachine {
            machine: MachineDescriptor {
                name: entry.name.clone(),
                endpoint: entry.endpoint.clone(),
                machine_type: name(&self.machine_types, entry.machine_type),
                zone: name(&self.zones, entry.zone),
                spot: entry.spot,
            },
            returning: entry.returning,
            tasks: self.tasks_of(entry).collect(),
        })
    }

    fn tasks_of<'a>(&'a self, entry: &'a MachineEntry) -> impl Iterator<Item = (TaskId, Attempt)> + 'a {
        entry.tasks.iter().map(|(job, task, distance)| {
            let attempt = (self.base_attempt as i64).wrapping_add(*distance) as u64;
            (TaskId { job: JobId(*job), task: *task }, Attempt(attempt))
        })
    }

    pub fn assigned_tasks(&self) -> impl Iterator<Item = (TaskId, Attempt)> + '_ {
        self.machines.iter().flat_map(|entry| self.tasks_of(entry))
    }

    /// Rows of finished tasks: job, first task, how many.
    pub fn finished_ranges(&self) -> impl Iterator<Item = (JobId, u32, u32)> + '_ {
        self.finished
            .iter()
            .flat_map(|(job, rows)| rows.iter().map(|(first, count)| (JobId(*job), *first, *count)))
    }
}

fn intern_position(names: &mut Vec<String>, name: &str, bytes: &mut usize) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        *bytes += name.len() + 3;
        names.push(name.into());
        names.len() - 1
    })
}

impl LegacyMachineRecord {
    /// What it says of the machine of this name.
    pub fn to_recorded(&self, name: &str) -> RecordedMachine {
        let tasks = self.tasks.iter().flat_map(|(job, list)| {
            let job = JobId::parse(job);
            list.iter().filter_map(move |(task, attempt)| {
                Some((TaskId { job: job?, task: *task }, Attempt(*attempt)))
            })
        });
        RecordedMachine {
            machine: MachineDescriptor {
                name: name.into(),
                endpoint: self.endpoint.clone(),
                machine_type: self.machine_type.clone(),
                zone: self.zone.clone(),
                spot: self.spot,
            },
            returning: self.returning,
            tasks: tasks.collect(),
        }
    }
}

/// What a rental asked for; machines of it are looked for under its name after a takeover.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRecord {
    #[serde(rename = "kind")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
}

#[cfg(test)]
#[path = "tests/records.rs"]
mod tests;
