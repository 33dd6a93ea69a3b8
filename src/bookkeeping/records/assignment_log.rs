//! Segments of the leader's assignment log, and upper bounds for their size as JSON.
//!
//! A segment lists the tasks that may run on machines from its revision on, the machines that are being returned, and
//! finished tasks. Writing it is one change of the store, however many machines it covers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::machine::{MachineDescriptor, RecordedMachine};
use crate::ids::{Attempt, JobId, TaskId};

/// Upper bound in bytes for one task, both in a worker's heartbeat and in the log.
const MAX_TASK_BYTES: usize = 48;
/// Upper bound in bytes for the rest of a heartbeat or of a machine's entry in the log.
const MAX_OVERHEAD_BYTES: usize = 700;

// Upper bounds in bytes for the JSON of a segment's elements, without names and numbers.
const MAX_RECORD_OVERHEAD_BYTES: usize = 100;
const MAX_ENTRY_BYTES: usize = 68;
const MAX_ASSIGNMENT_BYTES: usize = 6;
const MAX_RANGE_BYTES: usize = 36;
/// Bytes for the quotes and the comma around a name in a list.
const LISTED_NAME_OVERHEAD_BYTES: usize = 3;

/// Returns the maximum number of tasks on one machine, chosen so that a heartbeat or a log entry of the machine always
/// fits into one value of the store.
pub fn max_tasks_per_machine(value_kb: f64) -> usize {
    let bytes = (value_kb * 1024.0) as usize;
    (bytes.saturating_sub(MAX_OVERHEAD_BYTES) / MAX_TASK_BYTES).max(1)
}

/// One segment of the log.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct AssignmentLogRecord {
    /// Attempts are written relative to this one, which takes fewer digits.
    #[serde(rename = "base")]
    base_attempt: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "kinds")]
    machine_types: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    zones: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    machines: Vec<MachineEntry>,
    /// Ranges of finished tasks by job: first task, number of tasks.
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
    /// Index into the segment's list of machine types.
    #[serde(rename = "k")]
    machine_type: usize,
    /// Index into the segment's list of zones.
    #[serde(rename = "z")]
    zone: usize,
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    spot: bool,
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    returning: bool,
    /// Job, task, and the attempt relative to `base_attempt`.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    tasks: Vec<(u64, u32, i64)>,
}

fn digit_count(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

impl AssignmentLogRecord {
    /// Returns an empty segment. Attempts near `base` are stored in few digits.
    pub fn new(base: Attempt) -> AssignmentLogRecord {
        AssignmentLogRecord {
            base_attempt: base.0,
            max_json_bytes: MAX_RECORD_OVERHEAD_BYTES,
            ..AssignmentLogRecord::default()
        }
    }

    /// Returns an upper bound for the length of the segment as JSON. The bound is tracked only while a segment is
    /// built; it is not valid for a parsed one.
    pub fn max_json_bytes(&self) -> usize {
        self.max_json_bytes
    }

    /// Returns whether the segment has no machines and no finished tasks.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty() && self.finished.is_empty()
    }

    /// Starts the entry of a machine, which [`add_task`](Self::add_task) and [`mark_returning`](Self::mark_returning)
    /// then extend.
    pub fn add_machine(&mut self, machine: &MachineDescriptor) {
        let machine_type =
            intern_position(&mut self.machine_types, &machine.machine_type, &mut self.max_json_bytes);
        let zone = intern_position(&mut self.zones, &machine.zone, &mut self.max_json_bytes);
        self.max_json_bytes += MAX_ENTRY_BYTES + machine.name.len() + machine.endpoint.len();
        self.machines.push(MachineEntry {
            name: machine.name.clone(),
            endpoint: machine.endpoint.clone(),
            machine_type,
            zone,
            spot: machine.spot,
            returning: false,
            tasks: Vec::new(),
        });
    }

    /// Records that the task may run on the machine added last.
    pub fn add_task(&mut self, task: TaskId, attempt: Attempt) {
        if let Some(entry) = self.machines.last_mut() {
            let distance = (attempt.0 as i64).wrapping_sub(self.base_attempt as i64);
            let numbers = [task.job.0, u64::from(task.task), distance.unsigned_abs()];
            self.max_json_bytes += MAX_ASSIGNMENT_BYTES + numbers.into_iter().map(digit_count).sum::<usize>();
            entry.tasks.push((task.job.0, task.task, distance));
        }
    }

    /// Records that the machine added last is being returned to the cloud.
    pub fn mark_returning(&mut self) {
        if let Some(entry) = self.machines.last_mut() {
            entry.returning = true;
        }
    }

    /// Adds a finished task. Consecutive tasks of a job that are added in order share a range.
    pub fn add_finished(&mut self, task: TaskId) {
        let ranges = self.finished.entry(task.job.0).or_default();
        match ranges.last_mut() {
            Some((first, count)) if *first + *count == task.task => *count += 1,
            _ => {
                self.max_json_bytes += MAX_RANGE_BYTES;
                ranges.push((task.task, 1));
            }
        }
    }

    /// Returns the machines of the segment, in the order in which they were added.
    pub fn recorded_machines(&self) -> impl Iterator<Item = RecordedMachine> + '_ {
        let name_at = |names: &[String], position: usize| names.get(position).cloned().unwrap_or_default();
        self.machines.iter().map(move |entry| RecordedMachine {
            machine: MachineDescriptor {
                name: entry.name.clone(),
                endpoint: entry.endpoint.clone(),
                machine_type: name_at(&self.machine_types, entry.machine_type),
                zone: name_at(&self.zones, entry.zone),
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

    /// Returns the tasks of all machines, with their attempts.
    pub fn assigned_tasks(&self) -> impl Iterator<Item = (TaskId, Attempt)> + '_ {
        self.machines.iter().flat_map(|entry| self.tasks_of(entry))
    }

    /// Returns the ranges of finished tasks: job, first task, number of tasks.
    pub fn finished_ranges(&self) -> impl Iterator<Item = (JobId, u32, u32)> + '_ {
        self.finished
            .iter()
            .flat_map(|(job, ranges)| ranges.iter().map(|(first, count)| (JobId(*job), *first, *count)))
    }
}

/// Returns the position of a name in the list. A new name is appended, and its size as JSON is added to `bytes`.
fn intern_position(names: &mut Vec<String>, name: &str, bytes: &mut usize) -> usize {
    names.iter().position(|listed| listed == name).unwrap_or_else(|| {
        *bytes += name.len() + LISTED_NAME_OVERHEAD_BYTES;
        names.push(name.into());
        names.len() - 1
    })
}

#[cfg(test)]
#[path = "../tests/assignment_log.rs"]
mod tests;
