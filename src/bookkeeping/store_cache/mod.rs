//! A replica of the records in the key-value store, up to the revision that this controller has read.
//!
//! [`StoreCache`] owns every job, terminal state, run and configuration entry that the records describe, and reports
//! changes to the rest of the controller ([`ChangeEvent`]). It does no I/O and reads no clock; its callers poll the
//! store and write to it. Records may be applied in any order (pages are sorted by key, changes by revision); a change
//! that is not newer than the one already applied to its key has no effect.
//!
//! Memory grows with the jobs that have records, and by one small entry for each terminal record, which is never
//! removed.

mod apply;
mod job_counts;
mod recorded_tasks;

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use super::bit_set::BitSet;
use super::config::ConfigEntries;
use super::dag_runs::DagRuns;
use super::job_counters::{JobCounterTable, TeamClassIx};
use super::jobs::{Job, NameRegistry, TerminalState};
use super::records::{
    AssignmentLogRecord, LegacyMachineRecord, ProvisioningRecord, RecordKey, TerminalDetail,
};
use crate::ids::{ClassIx, FencingToken, JobId, JobIx, LeaseId, Revision, TeamIx};
use crate::protocol::cloud::MachineTypeRecord;

/// A change that other parts of the controller react to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeEvent {
    /// A job was accepted.
    Job(JobIx),
    /// A job reached a terminal state.
    Terminal(JobId, TerminalState),
    /// The leader key was written or deleted.
    Leader,
    /// The description of a machine type was written.
    MachineTypes,
    /// A configuration entry was written at this revision.
    Config(Revision),
}

/// The holder of the leader key.
#[derive(Debug)]
pub struct ObservedLeader {
    /// Name of the leader.
    pub controller: String,
    /// Revision of the leader key, which serves as the fencing token.
    pub revision: Revision,
    /// Lease that the key is attached to; None if the leader's version does not record it.
    pub lease: Option<LeaseId>,
    /// Format of the configuration entries that the leader applies; None if it applies none.
    pub config_format: Option<u32>,
}

/// The replica; see the module documentation.
#[derive(Debug, Default)]
pub struct StoreCache {
    /// Every change up to this revision has been applied.
    pub revision: Revision,
    /// Interned names that jobs and machines refer to.
    pub names: NameRegistry,
    /// The holder of the leader key, if there is one.
    pub leader: Option<ObservedLeader>,
    /// Records in the format that the assignment log replaced, by machine name.
    pub legacy_machines: BTreeMap<String, LegacyMachineRecord>,
    /// Segments of the leaders' assignment log, by name.
    pub assignment_log: BTreeMap<String, AssignmentLogRecord>,
    /// Tasks in the assignment log by job, with the number of log entries that list each. The index is maintained
    /// incrementally because every user query reads the number of tasks.
    recorded_tasks: HashMap<JobId, BTreeMap<u32, u32>>,
    /// Requests to the cloud for machines, by name.
    pub provisioning_requests: BTreeMap<String, ProvisioningRecord>,
    /// Descriptions of machine types, by name.
    pub machine_types: BTreeMap<String, MachineTypeRecord>,
    /// Jobs, indexed by `JobIx`; None if the job's records are deleted. Indices are never reused.
    jobs: Vec<Option<Box<Job>>>,
    /// Indices of jobs, in the order of their ids for lists.
    index: BTreeMap<JobId, JobIx>,
    terminal_jobs: BTreeMap<JobId, TerminalEntry>,
    /// Terminal records applied since the last call of `take_new_terminals`.
    new_terminals: Vec<NewTerminal>,
    /// Counters of jobs by team and class.
    pub job_counters: JobCounterTable,
    summaries: BTreeMap<JobId, TerminalJobSummary>,
    /// Revisions of all keys except those of terminal records, used as preconditions of writes.
    key_revisions: HashMap<String, Revision>,
    /// Keys that this controller deleted, with the revision of the deletion. An entry is removed once all changes up to
    /// that revision have been applied.
    tombstones: HashMap<String, Revision>,
    /// Finished tasks that were read before their job's record, since pages are sorted by key.
    out_of_order: HashMap<JobId, Vec<FinishedTasks>>,
    /// Graph runs.
    pub dag_runs: DagRuns,
    /// Configuration entries.
    pub config: ConfigEntries,
}

/// A newly applied terminal record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewTerminal {
    /// Id of the job.
    pub id: JobId,
    /// Revision of the record.
    pub revision: Revision,
    /// Whether the job is cancelled; it is done otherwise.
    pub cancelled: bool,
}

/// The terminal state of a job.
#[derive(Debug, Clone, Copy)]
struct TerminalEntry {
    ended_wall_ms: u64,
    /// Row of the counters in which the job is counted; None while the job itself has not been read.
    team_class: Option<TeamClassIx>,
    state: TerminalState,
    /// Whether this controller has reported to a user that the job is done.
    notified: bool,
}

/// The terminal state of a job, as shown in lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TerminalSummary {
    /// Terminal state.
    pub state: TerminalState,
    /// Wall-clock time at which the terminal state was reached, in milliseconds.
    pub ended_wall_ms: u64,
    /// Data of the job in its terminal record, if there is any.
    pub job: Option<TerminalJobSummary>,
}

/// Data of a job in its terminal record, written if the operators' interface was enabled. Wall-clock times in
/// milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TerminalJobSummary {
    /// Team of the job.
    pub team: TeamIx,
    /// Class of the job.
    pub class: ClassIx,
    /// Number of tasks.
    pub tasks: u32,
    /// Time of acceptance.
    pub accepted_wall_ms: u64,
    /// Time at which the leader observed the first running task, if it did.
    pub first_start_wall_ms: Option<u64>,
}

/// Finished tasks of a job, as listed in one record.
#[derive(Debug)]
enum FinishedTasks {
    /// Number of a block, and its encoded bits.
    Block(u32, String),
    /// First task, and number of tasks.
    Range(u32, u32),
}

impl FinishedTasks {
    fn add_to(&self, finished: &mut BitSet) {
        match self {
            FinishedTasks::Block(block, hex) => finished.insert_encoded_block(*block, hex),
            FinishedTasks::Range(first, count) => finished.insert_range(*first, *count),
        }
    }
}

impl StoreCache {
    /// Returns a job whose records still exist.
    pub fn job(&self, ix: JobIx) -> Option<&Job> {
        self.jobs.get(ix.index())?.as_deref()
    }

    /// Returns the index of a job whose records still exist.
    pub fn find(&self, id: JobId) -> Option<JobIx> {
        self.index.get(&id).copied()
    }

    /// Returns a job whose records still exist, by id.
    pub fn find_job(&self, id: JobId) -> Option<&Job> {
        self.job(self.find(id)?)
    }

    fn job_mut(&mut self, id: JobId) -> Option<&mut Job> {
        let ix = self.index.get(&id)?;
        self.jobs.get_mut(ix.index())?.as_deref_mut()
    }

    /// Returns the terminal state of a job, if it has reached one.
    pub fn terminal_state(&self, id: JobId) -> Option<TerminalState> {
        self.terminal_jobs.get(&id).map(|entry| entry.state)
    }

    /// Returns the terminal state of a job and the data in its terminal record.
    pub fn terminal_summary(&self, id: JobId) -> Option<TerminalSummary> {
        let entry = self.terminal_jobs.get(&id)?;
        Some(TerminalSummary {
            state: entry.state,
            ended_wall_ms: entry.ended_wall_ms,
            job: self.summaries.get(&id).copied(),
        })
    }

    /// Returns all jobs, with a job record or only a terminal record, in the order of their ids and each once; starts
    /// after `after` if it is given.
    pub fn job_ids_after(&self, after: Option<JobId>) -> impl Iterator<Item = JobId> + '_ {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut live = self.index.range((from, Bound::Unbounded)).map(|(id, _)| *id).peekable();
        let mut ended = self.terminal_jobs.range((from, Bound::Unbounded)).map(|(id, _)| *id).peekable();
        std::iter::from_fn(move || match (live.peek().copied(), ended.peek().copied()) {
            (Some(a), Some(b)) if a == b => live.next().and(ended.next()),
            (Some(a), Some(b)) if a < b => live.next(),
            (_, Some(_)) => ended.next(),
            (_, None) => live.next(),
        })
    }

    /// Returns the number of jobs whose records still exist, and the number of terminal records.
    pub fn live_and_terminal_counts(&self) -> (usize, usize) {
        (self.index.len(), self.terminal_jobs.len())
    }

    /// Returns the data of a job to be kept for operators in its terminal record.
    pub fn terminal_detail(&self, id: JobId, first_start_wall_ms: Option<u64>) -> Option<TerminalDetail> {
        let spec = &self.find_job(id)?.spec;
        Some(TerminalDetail {
            team: self.names.teams.name_or_unknown(spec.team.index()).into(),
            class: self.names.classes.name_or_unknown(spec.class.index()).into(),
            tasks: spec.tasks,
            accepted_wall_ms: spec.accepted_wall_ms,
            first_start_wall_ms,
        })
    }

    /// Returns the jobs whose records still exist, in the order in which they were first read. They include finished
    /// jobs whose records are being deleted.
    pub fn live_jobs(&self) -> impl Iterator<Item = (JobIx, &Job)> {
        self.jobs.iter().enumerate().filter_map(|(ix, job)| Some((JobIx(ix as u32), job.as_deref()?)))
    }

    /// Returns whether the leader key is on record and was created at the revision of this token, the first of a term.
    pub fn has_leader_with(&self, token: FencingToken) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.revision == Revision(token.0))
    }

    /// Returns the revision of a key; 0 if the key does not exist. Keys of terminal records are not tracked.
    pub fn key_revision(&self, key: &str) -> Revision {
        self.key_revisions.get(key).copied().unwrap_or_default()
    }

    /// Returns the terminal records that were applied since the last call.
    pub fn take_new_terminals(&mut self) -> Vec<NewTerminal> {
        std::mem::take(&mut self.new_terminals)
    }

    /// Adds a job, and applies the finished tasks and the terminal state that were read before its record.
    pub(super) fn add_with_out_of_order(&mut self, mut job: Job) -> JobIx {
        let id = job.spec.id;
        for finished in self.out_of_order.remove(&id).unwrap_or_default() {
            finished.add_to(&mut job.finished_tasks);
        }
        job.terminal = self.terminal_jobs.get(&id).map(|entry| (entry.state, entry.ended_wall_ms));
        self.count_job(&mut job);
        let ix = JobIx(self.jobs.len() as u32);
        self.index.insert(id, ix);
        self.jobs.push(Some(Box::new(job)));
        ix
    }

    pub(super) fn drop_job(&mut self, id: JobId) {
        if let Some(ix) = self.index.remove(&id) {
            self.jobs[ix.index()] = None;
        }
    }

    /// Drops the job of a node that is done, which has no job record whose deletion would drop it. The job is kept if
    /// its finished tasks still have records, which must be deleted first.
    fn drop_finished_node_job(&mut self, id: JobId) {
        let Some(job) = self.find_job(id).filter(|job| job.spec.node.is_some()) else { return };
        let mut blocks = 0..=BitSet::block_of(job.spec.tasks - 1);
        let has_record = |block| self.key_revision(&RecordKey::Finished(id, block).encode()) != Revision(0);
        if !blocks.any(has_record) {
            self.drop_job(id);
        }
    }
}

#[cfg(test)]
#[path = "../tests/store_cache.rs"]
mod tests;
