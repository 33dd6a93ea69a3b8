//! Durable records: their keys and their JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use olivelatch_graph::Outcome;

use super::graph_records::NodeEnd;
use super::jobs::End;
use crate::ids::{Attempt, JobId, TaskRef};
use crate::protocol::graphs::RunName;
use crate::protocol::users::JobSpec;

/// Every key of the service begins so.
pub const PREFIX: &str = "olivelatch/";
pub const LEADER: &str = "olivelatch/leader";
pub const GRAPHS: &str = "olivelatch/graphs";

/// A key of the state service, taken apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key {
    Leader,
    Job(JobId),
    End(JobId),
    Finished(JobId, u32),
    /// The form before the log; read and removed, written no more.
    Machine(String),
    Log(String),
    Booking(String),
    Kind(String),
    /// Rewritten by every acceptance of graph nodes.
    Graphs,
    Part(RunName, u32),
    Graph(RunName),
    Turn(RunName),
    Tries(JobId, u32),
    /// An entry of the configuration, of whatever sort.
    Config(String),
}

impl Key {
    pub fn parse(text: &str) -> Option<Key> {
        let text = text.strip_prefix(PREFIX)?;
        if text == "leader" {
            return Some(Key::Leader);
        }
        if text == "graphs" {
            return Some(Key::Graphs);
        }
        let (sort, name) = text.split_once('/')?;
        Some(match sort {
            "job" => Key::Job(JobId::parse(name)?),
            "end" => Key::End(JobId::parse(name)?),
            "fin" => {
                let (job, block) = name.split_once('/')?;
                Key::Finished(JobId::parse(job)?, block.parse().ok()?)
            }
            "machine" => Key::Machine(name.into()),
            "log" => Key::Log(name.into()),
            "booking" => Key::Booking(name.into()),
            "kind" => Key::Kind(name.into()),
            "part" => {
                let (run, part) = name.split_once('/')?;
                Key::Part(RunName::parse(run)?, part.parse().ok()?)
            }
            "graph" => Key::Graph(RunName::parse(name)?),
            "turn" => Key::Turn(RunName::parse(name)?),
            "tries" => {
                let (job, block) = name.split_once('/')?;
                Key::Tries(JobId::parse(job)?, block.parse().ok()?)
            }
            "config" => Key::Config(name.into()),
            _ => return None,
        })
    }

    pub fn text(&self) -> String {
        match self {
            Key::Leader => LEADER.into(),
            Key::Job(id) => format!("{PREFIX}job/{id}"),
            Key::End(id) => format!("{PREFIX}end/{id}"),
            Key::Finished(id, block) => format!("{PREFIX}fin/{id}/{block}"),
            Key::Machine(name) => format!("{PREFIX}machine/{name}"),
            Key::Log(name) => format!("{PREFIX}log/{name}"),
            Key::Booking(name) => format!("{PREFIX}booking/{name}"),
            Key::Kind(name) => format!("{PREFIX}kind/{name}"),
            Key::Graphs => GRAPHS.into(),
            Key::Part(run, part) => format!("{PREFIX}part/{run}/{part}"),
            Key::Graph(run) => format!("{PREFIX}graph/{run}"),
            Key::Turn(run) => format!("{PREFIX}turn/{run}"),
            Key::Tries(job, block) => format!("{PREFIX}tries/{job}/{block}"),
            Key::Config(name) => format!("{PREFIX}config/{name}"),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    /// What the key hangs on; versions before did not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
    /// The format of configuration entries that it acts by; none if it acts by the platform's settings alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config: Option<u32>,
}

/// A job as accepted, and the time of day then.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub at: u64,
    pub spec: JobSpec,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EndWord {
    Done,
    Withdrawn,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndRecord {
    end: EndWord,
    pub at: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<EndDetail>,
    /// Of a graph's node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node: Option<NodeEnd>,
}

/// What is kept of an ended job for operators, if their interface is on; times of day in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndDetail {
    pub team: String,
    pub class: String,
    pub tasks: u32,
    pub accepted: u64,
    /// When the first task ran, as its leader saw it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first: Option<u64>,
}

impl EndRecord {
    pub fn new(end: End, at: u64, detail: Option<EndDetail>) -> EndRecord {
        let end = match end {
            End::Done => EndWord::Done,
            End::Withdrawn => EndWord::Withdrawn,
        };
        EndRecord { end, at, detail, node: None }
    }

    pub fn of_node(node: NodeEnd, at: u64, detail: Option<EndDetail>) -> EndRecord {
        let end = if node.outcome == Outcome::Success { End::Done } else { End::Withdrawn };
        EndRecord { node: Some(node), ..EndRecord::new(end, at, detail) }
    }

    pub fn end(&self) -> End {
        match self.end {
            EndWord::Done => End::Done,
            EndWord::Withdrawn => End::Withdrawn,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinishedRecord {
    pub tasks: String,
}

/// Which tasks may be on a machine, and whether it is being returned: the form before the log.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
pub struct MachineRecord {
    pub kind: String,
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
const TASK_BYTES: usize = 48;
const REST_BYTES: usize = 700;

/// How many tasks a machine may have, so that what is said of it always fits one value.
pub fn most_tasks(value_kb: f64) -> usize {
    let bytes = (value_kb * 1024.0) as usize;
    (bytes.saturating_sub(REST_BYTES) / TASK_BYTES).max(1)
}

/// Part of the leader's log: tasks that may be on machines from then on, machines that go
/// back, tasks that finished. However many machines it speaks of, it is one change.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LogRecord {
    /// Attempts are written as their distance from this.
    base: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    kinds: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    zones: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    machines: Vec<LogEntry>,
    /// Finished tasks by job: the first of a row, and how many.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    done: BTreeMap<u64, Vec<(u32, u32)>>,
    #[serde(skip)]
    bytes: usize,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct LogEntry {
    #[serde(rename = "n")]
    name: String,
    #[serde(rename = "e")]
    endpoint: String,
    /// Positions in the record's lists of machine types and zones.
    #[serde(rename = "k")]
    kind: usize,
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
pub struct Place {
    pub name: String,
    pub endpoint: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
}

/// What records say of one machine.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Recorded {
    pub place: Place,
    pub returning: bool,
    pub tasks: Vec<(TaskRef, Attempt)>,
}

/// Upper bounds for what the parts of a log record take, besides names and numbers.
const LOG_BYTES: usize = 100;
const ENTRY_BYTES: usize = 68;
const START_BYTES: usize = 6;
const ROW_BYTES: usize = 36;

fn digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

impl LogRecord {
    pub fn new(base: Attempt) -> LogRecord {
        LogRecord { base: base.0, bytes: LOG_BYTES, ..LogRecord::default() }
    }

    /// At most so long it is as JSON.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn is_empty(&self) -> bool {
        self.machines.is_empty() && self.done.is_empty()
    }

    /// What follows is about this machine.
    pub fn machine(&mut self, place: &Place) {
        let kind = position(&mut self.kinds, &place.kind, &mut self.bytes);
        let zone = position(&mut self.zones, &place.zone, &mut self.bytes);
        self.bytes += ENTRY_BYTES + place.name.len() + place.endpoint.len();
        self.machines.push(LogEntry {
            name: place.name.clone(),
            endpoint: place.endpoint.clone(),
            kind,
            zone,
            spot: place.spot,
            returning: false,
            tasks: Vec::new(),
        });
    }

    /// A task may be on the machine named last.
    pub fn start(&mut self, task: TaskRef, attempt: Attempt) {
        if let Some(entry) = self.machines.last_mut() {
            let distance = (attempt.0 as i64).wrapping_sub(self.base as i64);
            let numbers = [task.job.0, u64::from(task.task), distance.unsigned_abs()];
            self.bytes += START_BYTES + numbers.into_iter().map(digits).sum::<usize>();
            entry.tasks.push((task.job.0, task.task, distance));
        }
    }

    /// The machine named last goes back.
    pub fn returning(&mut self) {
        if let Some(entry) = self.machines.last_mut() {
            entry.returning = true;
        }
    }

    /// Finished tasks come in order.
    pub fn done(&mut self, task: TaskRef) {
        let rows = self.done.entry(task.job.0).or_default();
        match rows.last_mut() {
            Some((first, count)) if *first + *count == task.task => *count += 1,
            _ => {
                self.bytes += ROW_BYTES;
                rows.push((task.task, 1));
            }
        }
    }

    pub fn machines(&self) -> impl Iterator<Item = Recorded> + '_ {
        let name = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_default();
        self.machines.iter().map(move |entry| Recorded {
            place: Place {
                name: entry.name.clone(),
                endpoint: entry.endpoint.clone(),
                kind: name(&self.kinds, entry.kind),
                zone: name(&self.zones, entry.zone),
                spot: entry.spot,
            },
            returning: entry.returning,
            tasks: self.tasks_of(entry).collect(),
        })
    }

    fn tasks_of<'a>(&'a self, entry: &'a LogEntry) -> impl Iterator<Item = (TaskRef, Attempt)> + 'a {
        entry.tasks.iter().map(|(job, task, distance)| {
            let attempt = (self.base as i64).wrapping_add(*distance) as u64;
            (TaskRef { job: JobId(*job), task: *task }, Attempt(attempt))
        })
    }

    pub fn starts(&self) -> impl Iterator<Item = (TaskRef, Attempt)> + '_ {
        self.machines.iter().flat_map(|entry| self.tasks_of(entry))
    }

    /// Rows of finished tasks: job, first task, how many.
    pub fn done_rows(&self) -> impl Iterator<Item = (JobId, u32, u32)> + '_ {
        self.done
            .iter()
            .flat_map(|(job, rows)| rows.iter().map(|(first, count)| (JobId(*job), *first, *count)))
    }
}

fn position(names: &mut Vec<String>, name: &str, bytes: &mut usize) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        *bytes += name.len() + 3;
        names.push(name.into());
        names.len() - 1
    })
}

impl MachineRecord {
    /// What it says of the machine of this name.
    pub fn recorded(&self, name: &str) -> Recorded {
        let tasks = self.tasks.iter().flat_map(|(job, list)| {
            let job = JobId::parse(job);
            list.iter().filter_map(move |(task, attempt)| {
                Some((TaskRef { job: job?, task: *task }, Attempt(*attempt)))
            })
        });
        Recorded {
            place: Place {
                name: name.into(),
                endpoint: self.endpoint.clone(),
                kind: self.kind.clone(),
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
pub struct BookingRecord {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
}

#[cfg(test)]
#[path = "tests/records.rs"]
mod tests;
