//! The jobs that the leader places, and how many of their tasks may be on machines.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::binding::Binding;
use super::dag_runs::DagNodeState;
use super::event_log::FirstRun;
use super::machines::probation::Probation;
use super::placement::policy::Rank;
use crate::bookkeeping::bit_set::BitSet;
use crate::bookkeeping::jobs::{Job, JobSpec};
use crate::ids::{Attempt, JobId, JobIx, MachineIx, Millis, ZoneIx};

/// Lower bound on the expected run time of a job's tasks until a run has been measured.
const MIN_EXPECTED_RUN_MS: u64 = 1000;

/// All unfinished jobs of the term.
#[derive(Debug, Default)]
pub struct Workload {
    /// Jobs by dense index, so that every iteration visits them in the same order.
    pub jobs: BTreeMap<JobIx, JobState>,
    /// Number of tasks of each job that may be on some machine. Includes finished and cancelled jobs.
    pub(super) placed_task_counts: HashMap<JobId, u32>,
    /// Tasks that wait to be queued again, by the time when that is due.
    pub(super) retry_queue: BTreeMap<Millis, Vec<(JobIx, u32)>>,
}

/// A job, with what the leader knows about its tasks beyond the durable records.
#[derive(Debug)]
pub struct JobState {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// The fixed part of the job's position in the order of service.
    pub rank: Rank,
    /// Finished tasks, including those whose record is not durable yet.
    pub finished: BitSet,
    /// The machines where each unfinished task may be; after a failover there can be several for a task.
    pub placements: HashMap<u32, Vec<(MachineIx, Attempt)>>,
    /// Number of tasks that may be in each zone.
    pub tasks_per_zone: HashMap<ZoneIx, u32>,
    /// Number of finished runs that were observed from start to end.
    pub finished_runs: u32,
    /// Sum of the run times of these runs, in milliseconds.
    pub total_run_ms: u64,
    /// Machines on which tasks of the job have failed since one last succeeded. No capacity is planned for it there.
    pub failed_on: HashSet<MachineIx>,
    /// The machines of `failed_on` on which placement starts no task of the job.
    pub excluded_machines: HashSet<MachineIx>,
    /// Number of exclusions lifted for a retry since a task last succeeded.
    pub retried_exclusions: usize,
    /// Earliest time at which exclusions are lifted again.
    pub retry_exclusion_not_before: Millis,
    /// Earliest time at which machines are rented for the job again, once it has failed as often as a job that is at
    /// fault itself.
    pub rental_not_before: Millis,
    /// Set while the job fails on every machine: only one task at a time is started.
    pub probation: Option<Probation>,
    /// The job's terminal record is queued or being written.
    pub finishing: bool,
    /// When a task of the job first ran.
    pub first_run: FirstRun,
    /// Set if the job is a node of a DAG run.
    pub dag_node: Option<Box<DagNodeState>>,
}

impl JobState {
    /// Creates the state of a job of which only the durable records are known.
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
            excluded_machines: HashSet::new(),
            retried_exclusions: 0,
            retry_exclusion_not_before: Millis::default(),
            rental_not_before: Millis::default(),
            probation: None,
            finishing: false,
            first_run,
            dag_node: None,
        }
    }

    /// Returns the expected run time of a task in milliseconds: the mean of the measured runs or, if there are none,
    /// the submitter's estimate.
    pub fn expected_run_ms(&self) -> u64 {
        if self.finished_runs > 0 {
            self.total_run_ms / u64::from(self.finished_runs)
        } else {
            self.spec.estimated_run_ms.max(MIN_EXPECTED_RUN_MS)
        }
    }

    /// Returns the place of a newer attempt of the binding's task, if there is one. Attempts are issued in increasing
    /// order, and one is issued only once no other attempt of the task can be on a machine.
    pub(super) fn newer_placement(&self, binding: &Binding) -> Option<(MachineIx, Attempt)> {
        let places = self.placements.get(&binding.task.task)?;
        places.iter().copied().find(|(_, attempt)| *attempt > binding.attempt)
    }

    /// Returns the number of tasks that are neither finished nor placed; at most one for a job on probation.
    pub fn waiting_tasks(&self) -> u64 {
        let waiting = u64::from(self.unfinished_tasks()).saturating_sub(self.placements.len() as u64);
        if self.probation.is_some() { waiting.min(1) } else { waiting }
    }

    /// Returns whether the job has waiting tasks and is not on probation.
    pub fn has_waiting_tasks(&self) -> bool {
        self.probation.is_none() && self.waiting_tasks() > 0
    }

    /// Returns the number of unfinished tasks, including placed ones.
    pub fn unfinished_tasks(&self) -> u32 {
        self.spec.tasks - self.finished.count()
    }
}
