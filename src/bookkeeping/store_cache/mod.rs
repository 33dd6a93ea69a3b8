//! A replica of the records in the key-value store, as far as this controller has read it.
//!
//! [`StoreCache`] owns every job, terminal state, run and configuration entry that the records describe, and tells the
//! rest of the controller what changed ([`ChangeEvent`]). It does no I/O and reads no clock; polling the store and
//! writing to it are the callers' part. Records are applied in any order (pages come sorted by key, changes by
//! revision); a revision that is not newer than what is known changes nothing.
//!
//! Memory grows with the jobs that have records, and by one small entry for each terminal record, which stays for good.

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
use crate::ids::{ClassIx, JobId, JobIx, LeaseId, Revision, TeamIx};
use crate::protocol::cloud::MachineTypeRecord;

/// What changed, for those who act on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeEvent {
    /// A job was accepted.
    Job(JobIx),
    /// A job has ended.
    Terminal(JobId, TerminalState),
    /// The leader key was written or deleted.
    Leader,
    /// The description of a machine type was written.
    MachineTypes,
    /// An entry of the configuration was written at this revision.
    Config(Revision),
}

/// The holder of the leader key.
#[derive(Debug)]
pub struct ObservedLeader {
    /// Name of the controller.
    pub controller: String,
    /// Revision of the key, which fences the leadership.
    pub revision: Revision,
    /// The lease that the key is attached to, if its version wrote it.
    pub lease: Option<LeaseId>,
    /// The format of configuration entries that it applies, if it does.
    pub config_format: Option<u32>,
}

/// The replica; see the module.
#[derive(Debug, Default)]
pub struct StoreCache {
    /// Every change up to this revision has been applied.
    pub revision: Revision,
    /// Names that jobs and machines use, by index.
    pub names: NameRegistry,
    /// The holder of the leader key, if there is one.
    pub leader: Option<ObservedLeader>,
    /// Records of the format before the assignment log, by machine name.
    pub machines: BTreeMap<String, LegacyMachineRecord>,
    /// The leaders' assignment log, by the name of the segment.
    pub assignment_log: BTreeMap<String, AssignmentLogRecord>,
    /// Tasks in the assignment log, by job, and in how many of its entries each is. Kept up to date since every
    /// query of a user reads the count.
    recorded_tasks: HashMap<JobId, BTreeMap<u32, u32>>,
    /// Requests for machines, by name.
    pub provisioning_requests: BTreeMap<String, ProvisioningRecord>,
    /// Descriptions of machine types, by name.
    pub machine_types: BTreeMap<String, MachineTypeRecord>,
    /// By `JobIx`; None where the job's records are deleted. Indices are never reused.
    jobs: Vec<Option<Box<Job>>>,
    /// In the order of ids, for lists.
    index: BTreeMap<JobId, JobIx>,
    terminal_jobs: BTreeMap<JobId, TerminalEntry>,
    /// Since the last call of `take_new_terminals`.
    new_terminals: Vec<NewTerminal>,
    /// Counters of jobs by team and class.
    pub job_counters: JobCounterTable,
    summaries: BTreeMap<JobId, TerminalJobSummary>,
    /// Revisions of the keys that the leader rewrites, for preconditions.
    key_revisions: HashMap<String, Revision>,
    /// Keys that this controller deleted, and when, until all changes up to then are applied.
    tombstones: HashMap<String, Revision>,
    /// Finished tasks that were read before their job's record (pages come sorted by key).
    out_of_order: HashMap<JobId, Vec<FinishedTasks>>,
    /// Runs of graphs.
    pub dag_runs: DagRuns,
    /// Entries of the configuration.
    pub config: ConfigEntries,
}

/// A terminal record that was applied a moment ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewTerminal {
    /// The job.
    pub id: JobId,
    /// Revision of the record.
    pub revision: Revision,
    /// It was cancelled, not done.
    pub cancelled: bool,
}

/// How and when a job ended.
#[derive(Debug, Clone, Copy)]
struct TerminalEntry {
    ended_wall_ms: u64,
    /// The counters it belongs to, if the job itself was known.
    team_class: Option<TeamClassIx>,
    state: TerminalState,
    /// A user has received the result from this controller.
    notified: bool,
}

/// How and when a job ended, as lists show it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TerminalSummary {
    /// How it ended.
    pub state: TerminalState,
    /// Wall-clock time of the end, in milliseconds.
    pub ended_wall_ms: u64,
    /// What its terminal record keeps of the job, if it does.
    pub job: Option<TerminalJobSummary>,
}

/// What a terminal record keeps of its job if the operators' interface was enabled. Wall-clock times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TerminalJobSummary {
    /// Team of the job.
    pub team: TeamIx,
    /// Class of the job.
    pub class: ClassIx,
    /// Number of tasks.
    pub tasks: u32,
    /// When the job was accepted.
    pub accepted_wall_ms: u64,
    /// When its first task ran, if that was seen.
    pub first_start_wall_ms: Option<u64>,
}

/// Finished tasks of a job, as one record has them.
#[derive(Debug)]
enum FinishedTasks {
    /// A block's number and its encoded bits.
    Block(u32, String),
    /// The first task, and how many.
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
    /// A job whose records still exist.
    pub fn job(&self, ix: JobIx) -> Option<&Job> {
        self.jobs.get(ix.index())?.as_deref()
    }

    /// The index of a job whose records still exist.
    pub fn find(&self, id: JobId) -> Option<JobIx> {
        self.index.get(&id).copied()
    }

    /// A job whose records still exist, by id.
    pub fn find_job(&self, id: JobId) -> Option<&Job> {
        self.job(self.find(id)?)
    }

    fn job_mut(&mut self, id: JobId) -> Option<&mut Job> {
        let ix = self.index.get(&id)?;
        self.jobs.get_mut(ix.index())?.as_deref_mut()
    }

    /// How a job ended, if it has.
    pub fn terminal_state(&self, id: JobId) -> Option<TerminalState> {
        self.terminal_jobs.get(&id).map(|entry| entry.state)
    }

    /// How and when a job ended, and what its terminal record keeps of it.
    pub fn terminal_summary(&self, id: JobId) -> Option<TerminalSummary> {
        let entry = self.terminal_jobs.get(&id)?;
        Some(TerminalSummary {
            state: entry.state,
            ended_wall_ms: entry.ended_wall_ms,
            job: self.summaries.get(&id).copied(),
        })
    }

    /// Live and ended jobs in the order of their ids, each once; those after `after` if it is given.
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

    /// How many jobs have a record, and how many terminal records there are.
    pub fn live_and_terminal_counts(&self) -> (usize, usize) {
        (self.index.len(), self.terminal_jobs.len())
    }

    /// What a terminal record shall keep of a job for operators.
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

    /// Jobs whose record still exists, in the order in which they were first read. Includes ended jobs whose records
    /// are being deleted.
    pub fn live_jobs(&self) -> impl Iterator<Item = (JobIx, &Job)> {
        self.jobs.iter().enumerate().filter_map(|(ix, job)| Some((JobIx(ix as u32), job.as_deref()?)))
    }

    /// The revision of a key that the leader rewrites; 0 if it does not exist.
    pub fn key_revision(&self, key: &str) -> Revision {
        self.key_revisions.get(key).copied().unwrap_or_default()
    }

    /// Terminal records that were applied since the last call.
    pub fn take_new_terminals(&mut self) -> Vec<NewTerminal> {
        std::mem::take(&mut self.new_terminals)
    }

    /// Adds a job, with the finished tasks and the terminal state that were read before it.
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

    /// Drops a node's job that is done. It has no job record whose deletion would drop it; only its finished tasks
    /// may have records, and those are still to be deleted.
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
