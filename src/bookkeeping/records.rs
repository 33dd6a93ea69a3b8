//! Durable records: their keys and their JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ids::{Attempt, JobId, TaskRef};
use super::jobs::End;
use crate::protocol::users::JobSpec;

/// Every key of the service begins so.
pub const PREFIX: &str = "olivelatch/";
pub const LEADER: &str = "olivelatch/leader";

/// A key of the state service, taken apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key {
    Leader,
    Job(JobId),
    End(JobId),
    Finished(JobId, u32),
    Machine(String),
    Booking(String),
    Kind(String),
}

impl Key {
    pub fn parse(text: &str) -> Option<Key> {
        let text = text.strip_prefix(PREFIX)?;
        if text == "leader" {
            return Some(Key::Leader);
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
            "booking" => Key::Booking(name.into()),
            "kind" => Key::Kind(name.into()),
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
            Key::Booking(name) => format!("{PREFIX}booking/{name}"),
            Key::Kind(name) => format!("{PREFIX}kind/{name}"),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
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

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EndRecord {
    end: EndWord,
    pub at: u64,
}

impl EndRecord {
    pub fn new(end: End, at: u64) -> EndRecord {
        let end = match end {
            End::Done => EndWord::Done,
            End::Withdrawn => EndWord::Withdrawn,
        };
        EndRecord { end, at }
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

/// Which tasks may be on a machine, and whether it is being returned.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
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

/// Bytes that one task may take in a machine's record, and those of the rest of it.
const TASK_BYTES: usize = 48;
const REST_BYTES: usize = 700;

impl MachineRecord {
    pub fn new(kind: &str, zone: &str, spot: bool, endpoint: &str) -> MachineRecord {
        MachineRecord {
            kind: kind.into(),
            zone: zone.into(),
            spot,
            endpoint: endpoint.into(),
            returning: false,
            tasks: BTreeMap::new(),
        }
    }

    pub fn add(&mut self, task: TaskRef, attempt: Attempt) {
        let list = self.tasks.entry(task.job.to_string()).or_default();
        list.push((task.task, attempt.0));
    }

    pub fn tasks(&self) -> impl Iterator<Item = (TaskRef, Attempt)> + '_ {
        self.tasks.iter().flat_map(|(job, list)| {
            let job = JobId::parse(job);
            list.iter().filter_map(move |(task, attempt)| {
                Some((TaskRef { job: job?, task: *task }, Attempt(*attempt)))
            })
        })
    }

    /// How many tasks a machine may have so that its record always fits.
    pub fn most_tasks(value_kb: f64) -> usize {
        let bytes = (value_kb * 1024.0) as usize;
        (bytes.saturating_sub(REST_BYTES) / TASK_BYTES).max(1)
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
