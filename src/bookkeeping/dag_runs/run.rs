//! One run of a graph.

use std::collections::{BTreeMap, BTreeSet};

use crate::bookkeeping::dag::Dag;
use crate::bookkeeping::dag_records::{RunPhase, RunPhaseRecord};
use crate::ids::{JobId, Revision};
use crate::protocol::graphs::{DagRunHeader, DagRunName, GraphPart};

/// A run as its records describe it.
#[derive(Debug)]
pub struct DagRun {
    /// Unique name.
    pub name: DagRunName,
    /// Once accepted: wall-clock time in milliseconds, header, and revision of the acceptance.
    pub accepted: Option<(u64, DagRunHeader, Revision)>,
    /// Its upload was not finished in time and can no longer be accepted.
    pub upload_expired: bool,
    /// Parts that have a record.
    pub parts: BTreeSet<u32>,
    /// Contents of the parts until the run is assembled; those of reruns are kept.
    pub part_contents: BTreeMap<u32, GraphPart>,
    /// Its phase, as recorded.
    pub phase_record: RunPhaseRecord,
    /// Its graph, once assembled.
    pub dag: Option<Box<Dag>>,
    /// Jobs that nodes had before a rerun and that have no terminal record yet.
    pub replaced_jobs: BTreeSet<JobId>,
    /// Its records are being deleted.
    pub deleting: bool,
}

impl DagRun {
    pub(super) fn new(name: &DagRunName) -> DagRun {
        DagRun {
            name: name.clone(),
            accepted: None,
            upload_expired: false,
            parts: BTreeSet::new(),
            part_contents: BTreeMap::new(),
            phase_record: RunPhaseRecord::default(),
            dag: None,
            replaced_jobs: BTreeSet::new(),
            deleting: false,
        }
    }

    /// All its nodes have ended and that is recorded.
    pub fn is_ended(&self) -> bool {
        self.phase_record.phase == RunPhase::Ended
    }

    /// The number of the part with which the next rerun begins.
    pub fn next_rerun_part(&self) -> u32 {
        self.phase_record.next_rerun_part(self.accepted.as_ref().map_or(0, |(_, header, _)| header.parts))
    }

    /// Its graph's name, and its place among the runs of that graph.
    pub(super) fn queue_position(&self) -> Option<(String, Revision)> {
        self.accepted.as_ref().map(|(_, header, revision)| (header.graph.clone(), *revision))
    }

    /// Has the leader something to write for it?
    pub fn has_pending_writes(&self) -> bool {
        let Some(dag) = self.dag.as_ref().filter(|_| !self.deleting) else { return false };
        if !self.replaced_jobs.is_empty() {
            return true;
        }
        if dag.progress.is_finished() {
            !self.is_ended()
        } else {
            self.phase_record.cancelled || dag.progress.has_outcomes_to_write()
        }
    }
}
