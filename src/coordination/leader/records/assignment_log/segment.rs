//! Data types of the assignment log: a segment and its entries.

use std::collections::{BTreeSet, HashSet};

use crate::bookkeeping::records::RecordKey;
use crate::ids::{Attempt, JobId, MachineIx, TaskId};

/// Number of a log segment, valid within one term. Segments that were written later have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(pub(super) u64);

/// One attempt of a task that may be on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::coordination::leader) struct TaskPlacement {
    pub machine: MachineIx,
    pub task: TaskId,
    pub attempt: Attempt,
}

/// A block of a job's task numbers. Each record of finished tasks covers one block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::coordination::leader::records) struct FinishedBlock {
    pub job: JobId,
    pub block: u32,
}

/// A durable segment with its live entries, which are those that no newer record supersedes.
#[derive(Debug)]
pub(super) struct LogSegment {
    pub key: RecordKey,
    pub starts: HashSet<TaskPlacement>,
    pub returns: BTreeSet<MachineIx>,
    /// Blocks with finished tasks that neither a block record nor a terminal record covers.
    pub finished: BTreeSet<FinishedBlock>,
    /// Number of starts and returns that were ever added to the segment.
    pub initial_entries: usize,
    /// Whether the live entries have been queued for a newer segment.
    pub rewriting: bool,
}

impl LogSegment {
    /// Creates a segment without entries. `key` is the key of its record.
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

    /// Returns the number of live starts and returns.
    pub(super) fn machine_entries(&self) -> usize {
        self.starts.len() + self.returns.len()
    }

    /// Whether any entry is live, so that the segment's record is still needed.
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
