//! One segment of the assignment log and what it may contain. Data only.

use std::collections::{BTreeSet, HashSet};

use crate::bookkeeping::records::RecordKey;
use crate::ids::{Attempt, JobId, MachineIx, TaskId};

/// Number of a log segment, ascending in the order of writing. Valid within one term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(pub(super) u64);

/// One attempt of a task that may be on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::coordination::leader) struct TaskPlacement {
    pub machine: MachineIx,
    pub task: TaskId,
    pub attempt: Attempt,
}

/// A block of a job's task numbers, as records of finished tasks divide them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::coordination::leader::records) struct FinishedBlock {
    pub job: JobId,
    pub block: u32,
}

/// A durable segment and the entries of it that no newer record supersedes.
#[derive(Debug)]
pub(super) struct LogSegment {
    pub key: RecordKey,
    pub starts: HashSet<TaskPlacement>,
    pub returns: BTreeSet<MachineIx>,
    /// Blocks with finished tasks that no other record covers.
    pub finished: BTreeSet<FinishedBlock>,
    /// Starts and returns that were added to it.
    pub initial_entries: usize,
    /// Its live entries have been queued for a newer segment.
    pub rewriting: bool,
}

impl LogSegment {
    /// Without entries. `key`: of its record.
    pub(super) fn new(key: RecordKey) -> LogSegment {
        LogSegment {
            key,
            starts: HashSet::new(),
            returns: BTreeSet::new(),
            finished: BTreeSet::new(),
            initial_entries: 0,
            rewriting: false,
        }
    }

    /// Live starts and returns.
    pub(super) fn machine_entries(&self) -> usize {
        self.starts.len() + self.returns.len()
    }

    /// Whether its record is still needed.
    pub(super) fn has_live_entries(&self) -> bool {
        self.machine_entries() > 0 || !self.finished.is_empty()
    }
}

/// The entries of a segment whose write is in flight.
#[derive(Debug, Clone, Default)]
pub(in crate::coordination::leader::records) struct SegmentContents {
    pub(super) name: String,
    pub(super) starts: Vec<TaskPlacement>,
    pub(super) returns: Vec<MachineIx>,
    pub(super) finished: Vec<TaskId>,
}
