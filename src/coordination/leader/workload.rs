//! The jobs the leader places, and how many of their tasks may be on machines.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::dag_runs::DagNodeState;
use super::event_log::FirstRun;
use super::machines::probation::Probation;
use super::placement::policy::Rank;
use crate::bookkeeping::bit_set::BitSet;
use crate::bookkeeping::jobs::{Job, JobSpec};
use crate::ids::{Attempt, JobId, JobIx, MachineIx, Millis, ZoneIx};

/// Expected run time of a task of which nothing is known, at least.
const MIN_EXPECTED_RUN_MS: u64 = 1000;

/// All unfinished jobs of the term.
#[derive(Debug, Default)]
pub struct Workload {
    /// By dense index, so that they are visited in the same order everywhere.
    pub jobs: BTreeMap<JobIx, JobState>,
    /// Tasks of each job that may be on some machine; finished and cancelled jobs included.
    pub(super) placed_task_counts: HashMap<JobId, u32>,
    /// Tasks in backoff, by the time at which they are queued again.
    pub(super) retry_queue: BTreeMap<Millis, Vec<(JobIx, u32)>>,
}

/// A job with what is known of its tasks beyond the durable records.
#[derive(Debug)]
pub struct JobState {
    pub spec: Arc<JobSpec>,
    pub rank: Rank,
    /// Finished tasks, including those whose record is not durable yet.
    pub finished: BitSet,
    /// Where each unfinished task may be; after a failover that can be several machines.
    pub placements: HashMap<u32, Vec<(MachineIx, Attempt)>>,
    pub tasks_per_zone: HashMap<ZoneIx, u32>,
    /// Finished runs that were observed from start to end, and the sum of their run times.
    pub finished_runs: u32,
    pub total_run_ms: u64,
    /// Machines excluded because its tasks failed on them, since one last succeeded.
    pub failed_on: HashSet<MachineIx>,
    /// Exclusions that were lifted to retry, since a task last succeeded.
    pub retried_exclusions: usize,
    /// Exclusions are not lifted again before.
    pub retry_exclusion_not_before: Millis,
    /// Set while it fails on every machine: one task at a time is started.
    pub probation: Option<Probation>,
    /// Its terminal record is queued or being written.
    pub finishing: bool,
    pub first_run: FirstRun,
    /// Set for a node of a DAG run.
    pub dag_node: Option<Box<DagNodeState>>,
}

impl JobState {
    /// A job of which nothing is known but its records.
    pub(super) fn new(job: &Job, rank: Rank, first_run: FirstRun) -> JobState {
        JobState {
            spec: job.spec.clone(),
            rank,
            finished: job.finished_tasks.clone(),
            placements: HashMap::new(),
            tasks_per_zone: HashMap::new(),
            finished_runs: 0,
            total_run_ms: 0,
            failed_on: HashSet::new(),
            retried_exclusions: 0,
            retry_exclusion_not_before: Millis::default(),
            probation: None,
            finishing: false,
            first_run,
            dag_node: None,
        }
    }

    /// Expected run time of a task: the mean of those finished, else the submitter's estimate, in milliseconds.
    pub fn expected_run_ms(&self) -> u64 {
        if self.finished_runs > 0 {
            self.total_run_ms / u64::from(self.finished_runs)
        } else {
            self.spec.estimated_run_ms.max(MIN_EXPECTED_RUN_MS)
        }
    }

    /// Tasks that are neither finished nor placed; of a job on probation at most one.
    pub fn waiting_tasks(&self) -> u64 {
        let waiting = u64::from(self.unfinished_tasks()).saturating_sub(self.placements.len() as u64);
        if self.probation.is_some() { waiting.min(1) } else { waiting }
    }

    /// Whether it has waiting tasks and is not on probation.
    pub fn has_waiting_tasks(&self) -> bool {
        self.probation.is_none() && self.waiting_tasks() > 0
    }

    /// Tasks that have not finished, placed ones included.
    pub fn unfinished_tasks(&self) -> u32 {
        self.spec.tasks - self.finished.count()
    }
}
