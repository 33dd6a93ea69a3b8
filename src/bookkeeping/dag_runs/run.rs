//! The state of one graph run.

use std::collections::{BTreeMap, BTreeSet};

use crate::bookkeeping::dag::Dag;
use crate::bookkeeping::dag_records::{RunPhase, RunPhaseRecord};
use crate::ids::{JobId, Revision};
use crate::protocol::graphs::{DagRunHeader, DagRunName, GraphPart};

/// A run as described by its records.
#[derive(Debug)]
pub struct DagRun {
    /// Unique name of the run.
    pub name: DagRunName,
    /// Wall-clock time in milliseconds, header and revision of the acceptance; None until the run is accepted.
    pub accepted: Option<(u64, DagRunHeader, Revision)>,
    /// Whether the upload was not committed in time, so that the run can no longer be accepted.
    pub upload_expired: bool,
    /// Numbers of the parts that have a record.
    pub parts: BTreeSet<u32>,
    /// Contents of the parts by number. Those of the graph are dropped once it is built; those of reruns are kept.
    pub part_contents: BTreeMap<u32, GraphPart>,
    /// Record of the run's phase.
    pub phase_record: RunPhaseRecord,
    /// Graph of the run; None until it is assembled.
    pub dag: Option<Box<Dag>>,
    /// Jobs that a rerun replaced and that have no terminal record yet.
    pub replaced_jobs: BTreeSet<JobId>,
    /// Whether the records of the run are being deleted.
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

    /// Returns whether the run is recorded as finished.
    pub fn is_ended(&self) -> bool {
        self.phase_record.phase == RunPhase::Ended
    }

    /// Returns the number of the first part of the next rerun.
    pub fn next_rerun_part(&self) -> u32 {
        self.phase_record.next_rerun_part(self.accepted.as_ref().map_or(0, |(_, header, _)| header.parts))
    }

    /// Returns the name of the graph, and the revision that orders the runs of the graph; None until accepted.
    pub(super) fn queue_position(&self) -> Option<(String, Revision)> {
        self.accepted.as_ref().map(|(_, header, revision)| (header.graph.clone(), *revision))
    }

    /// Returns whether the leader has records to write for the run.
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
