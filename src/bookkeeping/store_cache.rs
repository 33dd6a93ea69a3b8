//! The state service as this controller last saw it.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use super::bit_set::BitSet;
use super::config::ConfigEntries;
use super::dag_runs::DagRuns;
use super::job_counters::{JobCounterTable, JobCounters, TeamClassIx};
use super::jobs::{Job, JobSpec, NameRegistry, TerminalState};
use super::records::{
    AssignmentLogRecord, FinishedRecord, JobRecord, LeaderRecord, LegacyMachineRecord, ProvisioningRecord,
    RecordKey, TerminalDetail, TerminalRecord,
};
use crate::ids::{ClassIx, JobId, JobIx, LeaseId, Revision, TeamIx};
use crate::protocol::cloud::MachineTypeRecord;
use crate::protocol::kv::KvEntry;

/// What changed, for those who act on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeEvent {
    Job(JobIx),
    Terminal(JobId, TerminalState),
    Leader,
    MachineTypes,
    /// An entry of the configuration has changed at this revision.
    Config(Revision),
}

#[derive(Debug)]
pub struct ObservedLeader {
    pub controller: String,
    pub revision: Revision,
    pub lease: Option<LeaseId>,
    /// The format of configuration entries that it acts by, if it does.
    pub config_format: Option<u32>,
}

#[derive(Debug, Default)]
pub struct StoreCache {
    /// Everything up to this revision is in here.
    pub revision: Revision,
    pub names: NameRegistry,
    pub leader: Option<ObservedLeader>,
    /// Records of the form before the log.
    pub machines: BTreeMap<String, LegacyMachineRecord>,
    /// The leaders' log, by the name of its part.
    pub assignment_log: BTreeMap<String, AssignmentLogRecord>,
    /// Tasks that the log tells of, by job, and in how many of its entries: counted at every poll of a user.
    recorded_tasks: HashMap<JobId, BTreeMap<u32, u32>>,
    pub provisioning_requests: BTreeMap<String, ProvisioningRecord>,
    pub machine_types: BTreeMap<String, MachineTypeRecord>,
    jobs: Vec<Option<Box<Job>>>,
    /// In the order of their ids, for lists.
    index: BTreeMap<JobId, JobIx>,
    terminal_jobs: BTreeMap<JobId, TerminalEntry>,
    /// Ends learned since that was last asked.
    new_terminals: Vec<NewTerminal>,
    pub job_counters: JobCounterTable,
    summaries: BTreeMap<JobId, JobSummary>,
    /// Versions of the keys that the leader rewrites.
    key_revisions: HashMap<String, Revision>,
    /// Keys this node deleted and when, until the changes up to then have been seen.
    tombstones: HashMap<String, Revision>,
    /// Finished blocks that were read before their job's record (pages come sorted by key).
    out_of_order: HashMap<JobId, Vec<OutOfOrderFinished>>,
    pub dag_runs: DagRuns,
    pub config: ConfigEntries,
}

/// An end that was learned a moment ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewTerminal {
    pub id: JobId,
    pub revision: Revision,
    pub cancelled: bool,
}

/// How and when a job ended; what its user was told counts for its party, if that is known.
#[derive(Debug, Clone, Copy)]
struct TerminalEntry {
    ended_wall_ms: u64,
    team_class: Option<TeamClassIx>,
    state: TerminalState,
    notified: bool,
}

/// What an end tells of its job, if the operators' interface was on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobSummary {
    pub team: TeamIx,
    pub class: ClassIx,
    pub tasks: u32,
    pub accepted_wall_ms: u64,
    pub first_start_wall_ms: Option<u64>,
}

#[derive(Debug)]
enum OutOfOrderFinished {
    Block(u32, String),
    Range(u32, u32),
}

impl OutOfOrderFinished {
    fn add_to(&self, finished: &mut BitSet) {
        match self {
            OutOfOrderFinished::Block(block, hex) => finished.insert_encoded_block(*block, hex),
            OutOfOrderFinished::Range(first, count) => finished.insert_range(*first, *count),
        }
    }
}

impl StoreCache {
    pub fn job(&self, ix: JobIx) -> Option<&Job> {
        self.jobs.get(ix.index())?.as_deref()
    }

    pub fn find(&self, id: JobId) -> Option<JobIx> {
        self.index.get(&id).copied()
    }

    pub fn find_job(&self, id: JobId) -> Option<&Job> {
        self.job(self.find(id)?)
    }

    pub fn terminal_state(&self, id: JobId) -> Option<TerminalState> {
        self.terminal_jobs.get(&id).map(|ended| ended.state)
    }

    /// How and when a job ended, and what is kept of it.
    pub fn terminal_summary(&self, id: JobId) -> Option<(TerminalState, u64, Option<JobSummary>)> {
        self.terminal_jobs
            .get(&id)
            .map(|ended| (ended.state, ended.ended_wall_ms, self.summaries.get(&id).copied()))
    }

    /// Live and ended jobs in the order of their ids, from behind `after` on.
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

    /// Jobs with a record, and ends.
    pub fn live_and_terminal_counts(&self) -> (usize, usize) {
        (self.index.len(), self.terminal_jobs.len())
    }

    /// What of an ended job is kept for operators.
    pub fn terminal_detail(&self, id: JobId, first_start_wall_ms: Option<u64>) -> Option<TerminalDetail> {
        let info = &self.find_job(id)?.spec;
        Some(TerminalDetail {
            team: self.names.teams.name_or_unknown(info.team.index()).into(),
            class: self.names.classes.name_or_unknown(info.class.index()).into(),
            tasks: info.tasks,
            accepted_wall_ms: info.accepted_wall_ms,
            first_start_wall_ms,
        })
    }

    /// Jobs whose record still exists, ended ones whose tasks are being cleared included.
    pub fn live_jobs(&self) -> impl Iterator<Item = (JobIx, &Job)> {
        self.jobs.iter().enumerate().filter_map(|(at, job)| Some((JobIx(at as u32), job.as_deref()?)))
    }

    pub fn key_revision(&self, key: &str) -> Revision {
        self.key_revisions.get(key).copied().unwrap_or_default()
    }

    /// Takes a change in; older than what is known, it changes nothing.
    pub fn apply(&mut self, pair: &KvEntry) -> Option<ChangeEvent> {
        let known =
            self.key_revision(&pair.key).max(self.tombstones.get(&pair.key).copied().unwrap_or_default());
        if pair.revision <= known {
            return None;
        }
        let key = RecordKey::parse(&pair.key)?;
        // An end is created once and stays for ever: its version is never asked for, and would
        // be most of what a job that is over costs.
        let end = match key {
            RecordKey::Terminal(id) if self.terminal_jobs.contains_key(&id) => return None,
            RecordKey::Terminal(_) => true,
            _ => false,
        };
        match &pair.value {
            Some(value) => {
                let seen = self.put(&key, value, pair.revision);
                if !end {
                    self.key_revisions.insert(pair.key.clone(), pair.revision);
                }
                seen
            }
            None => {
                self.key_revisions.remove(&pair.key);
                self.delete(&key)
            }
        }
    }

    /// Ends learned since that was last asked.
    pub fn take_new_terminals(&mut self) -> Vec<NewTerminal> {
        std::mem::take(&mut self.new_terminals)
    }

    /// Takes in a change that this node made and that was confirmed.
    pub fn apply_own_change(&mut self, pair: &KvEntry) -> Option<ChangeEvent> {
        let seen = self.apply(pair);
        if pair.value.is_none() && pair.revision > self.revision {
            self.tombstones.insert(pair.key.clone(), pair.revision);
        }
        seen
    }

    /// All changes up to here have been applied.
    pub fn advance_revision(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
        let seen = self.revision;
        self.tombstones.retain(|_, at| *at > seen);
    }

    fn put(&mut self, key: &RecordKey, value: &str, revision: Revision) -> Option<ChangeEvent> {
        match key {
            RecordKey::Leader => {
                let record: LeaderRecord = serde_json::from_str(value).ok()?;
                self.leader = Some(ObservedLeader {
                    controller: record.controller,
                    revision,
                    lease: record.lease.map(LeaseId),
                    config_format: record.config_format,
                });
                Some(ChangeEvent::Leader)
            }
            RecordKey::Job(id) => {
                let record: JobRecord = serde_json::from_str(value).ok()?;
                Some(ChangeEvent::Job(self.add_job(*id, &record, revision)))
            }
            RecordKey::Terminal(id) => {
                let record: TerminalRecord = serde_json::from_str(value).ok()?;
                self.count_terminal(*id, record.terminal_state(), record.ended_wall_ms);
                if let Some(detail) = &record.detail {
                    let detail = self.summary_of(detail);
                    self.summaries.insert(*id, detail);
                }
                let end = record.terminal_state();
                self.new_terminals.push(NewTerminal {
                    id: *id,
                    revision,
                    cancelled: end == TerminalState::Cancelled,
                });
                if let Some(job) = self.job_mut(*id) {
                    job.terminal = Some((end, record.ended_wall_ms));
                }
                self.apply_node_terminal(*id, end, record.node_terminal);
                if end == TerminalState::Done {
                    self.drop_finished_node_job(*id);
                }
                Some(ChangeEvent::Terminal(*id, end))
            }
            RecordKey::Finished(id, block) => {
                let record: FinishedRecord = serde_json::from_str(value).ok()?;
                self.add_finished(*id, OutOfOrderFinished::Block(*block, record.encoded_tasks));
                None
            }
            RecordKey::AssignmentLog(name) => {
                let record: AssignmentLogRecord = serde_json::from_str(value).ok()?;
                for (id, first, count) in record.finished_ranges() {
                    self.add_finished(id, OutOfOrderFinished::Range(first, count));
                }
                self.add_recorded_tasks(&record);
                if let Some(before) = self.assignment_log.insert(name.clone(), record) {
                    self.remove_recorded_tasks(&before);
                }
                None
            }
            RecordKey::LegacyMachine(name) => {
                let record: LegacyMachineRecord = serde_json::from_str(value).ok()?;
                self.machines.insert(name.clone(), record);
                None
            }
            RecordKey::ProvisioningRequest(name) => {
                let record: ProvisioningRecord = serde_json::from_str(value).ok()?;
                self.provisioning_requests.insert(name.clone(), record);
                None
            }
            RecordKey::MachineType(name) => {
                let record: MachineTypeRecord = serde_json::from_str(value).ok()?;
                self.machine_types.insert(name.clone(), record);
                Some(ChangeEvent::MachineTypes)
            }
            RecordKey::GraphAcceptance => None,
            RecordKey::ConfigEntry(name) => {
                self.config.put(name, value, revision);
                Some(ChangeEvent::Config(revision))
            }
            RecordKey::GraphPart(run, part) => {
                self.put_part(run, *part, serde_json::from_str(value).ok()?);
                None
            }
            RecordKey::DagRun(run) => {
                self.put_dag_run(run, serde_json::from_str(value).ok()?, revision);
                None
            }
            RecordKey::RunPhase(run) => {
                self.put_run_phase(run, serde_json::from_str(value).ok()?);
                None
            }
            RecordKey::RetryState(id, _) => {
                self.put_retry_states(*id, serde_json::from_str(value).ok()?);
                None
            }
        }
    }

    fn delete(&mut self, key: &RecordKey) -> Option<ChangeEvent> {
        match key {
            RecordKey::Leader => {
                self.leader = None;
                return Some(ChangeEvent::Leader);
            }
            RecordKey::Job(id) => {
                self.drop_job(*id);
                self.out_of_order.remove(id);
            }
            RecordKey::LegacyMachine(name) => {
                self.machines.remove(name);
            }
            RecordKey::AssignmentLog(name) => {
                if let Some(record) = self.assignment_log.remove(name) {
                    self.remove_recorded_tasks(&record);
                }
            }
            RecordKey::ProvisioningRequest(name) => {
                self.provisioning_requests.remove(name);
            }
            RecordKey::ConfigEntry(name) => self.config.remove(name),
            RecordKey::GraphPart(run, part) => self.drop_part(run, *part),
            RecordKey::DagRun(run) => self.drop_dag_run(run),
            RecordKey::RunPhase(run) => self.drop_run_phase(run),
            RecordKey::RetryState(id, block) => self.drop_retry_states(*id, *block),
            RecordKey::Finished(..)
            | RecordKey::Terminal(_)
            | RecordKey::MachineType(_)
            | RecordKey::GraphAcceptance => {}
        }
        None
    }

    fn summary_of(&mut self, detail: &TerminalDetail) -> JobSummary {
        JobSummary {
            team: self.names.teams.intern(&detail.team),
            class: self.names.classes.intern(&detail.class),
            tasks: detail.tasks,
            accepted_wall_ms: detail.accepted_wall_ms,
            first_start_wall_ms: detail.first_start_wall_ms,
        }
    }

    fn add_job(&mut self, id: JobId, record: &JobRecord, revision: Revision) -> JobIx {
        if let Some(ix) = self.index.get(&id) {
            return *ix;
        }
        let info = JobSpec::new(id, &record.manifest, record.accepted_wall_ms, revision, &mut self.names);
        self.add_with_out_of_order(Job::new(info))
    }

    /// With what was read of it before.
    pub(super) fn add_with_out_of_order(&mut self, mut job: Job) -> JobIx {
        let id = job.spec.id;
        for early in self.out_of_order.remove(&id).unwrap_or_default() {
            early.add_to(&mut job.finished_tasks);
        }
        job.terminal = self.terminal_jobs.get(&id).map(|ended| (ended.state, ended.ended_wall_ms));
        self.count_job(&mut job);
        let ix = JobIx(self.jobs.len() as u32);
        self.index.insert(job.spec.id, ix);
        self.jobs.push(Some(Box::new(job)));
        ix
    }

    pub(super) fn drop_job(&mut self, id: JobId) {
        if let Some(ix) = self.index.remove(&id) {
            self.jobs[ix.index()] = None;
        }
    }

    /// A node that is done has no record to be removed, unless its finished tasks have: all its tasks have ended.
    fn drop_finished_node_job(&mut self, id: JobId) {
        let Some(job) = self.find_job(id).filter(|job| job.spec.node.is_some()) else { return };
        let blocks = 0..=BitSet::block_of(job.spec.tasks - 1);
        if !blocks
            .into_iter()
            .any(|block| self.key_revision(&RecordKey::Finished(id, block).encode()) != Revision(0))
        {
            self.drop_job(id);
        }
    }

    /// A job that was not known before, perhaps after its end.
    fn count_job(&mut self, job: &mut Job) {
        let id = job.spec.id;
        let party = self.job_counters.team_class(job.spec.team, job.spec.class);
        let ended = self.terminal_jobs.get_mut(&id);
        let known = ended.as_ref().is_some_and(|ended| ended.team_class.is_some());
        let Some(account) = self.job_counters.counters_mut(party).filter(|_| !known) else { return };
        account.accepted += 1;
        job.has_started = !job.finished_tasks.is_empty() || self.recorded_tasks.contains_key(&id);
        if let Some(ended) = ended {
            ended.team_class = Some(party);
            job.has_started |= ended.state == TerminalState::Done;
            add_terminal(account, ended.state);
        }
        account.started += u64::from(job.has_started);
    }

    fn count_started(&mut self, id: JobId) {
        let Some(job) = self.job_mut(id).filter(|job| !job.has_started) else { return };
        job.has_started = true;
        let (team, class) = (job.spec.team, job.spec.class);
        let party = self.job_counters.team_class(team, class);
        if let Some(account) = self.job_counters.counters_mut(party) {
            account.started += 1;
        }
    }

    fn count_terminal(&mut self, id: JobId, end: TerminalState, at: u64) {
        if end == TerminalState::Done {
            self.count_started(id);
        }
        let job = self.find_job(id).map(|job| (job.spec.team, job.spec.class));
        let party = job.map(|(team, class)| self.job_counters.team_class(team, class));
        if let Some(account) = party.and_then(|party| self.job_counters.counters_mut(party)) {
            add_terminal(account, end);
        }
        self.terminal_jobs
            .insert(id, TerminalEntry { ended_wall_ms: at, team_class: party, state: end, notified: false });
    }

    /// A user was told that the job is done: counted once.
    pub fn count_notified_done(&mut self, id: JobId) {
        let Some(ended) = self
            .terminal_jobs
            .get_mut(&id)
            .filter(|ended| ended.state == TerminalState::Done && !ended.notified)
        else {
            return;
        };
        ended.notified = true;
        if let Some(account) = ended.team_class.and_then(|party| self.job_counters.counters_mut(party)) {
            account.notified += 1;
        }
    }

    fn job_mut(&mut self, id: JobId) -> Option<&mut Job> {
        let ix = self.index.get(&id)?;
        self.jobs.get_mut(ix.index())?.as_deref_mut()
    }

    fn add_finished(&mut self, id: JobId, tasks: OutOfOrderFinished) {
        if let Some(job) = self.job_mut(id) {
            tasks.add_to(&mut job.finished_tasks);
        } else if !self.terminal_jobs.contains_key(&id) {
            // An ended job's tasks are of no interest any more.
            self.out_of_order.entry(id).or_default().push(tasks);
        }
    }

    fn add_recorded_tasks(&mut self, record: &AssignmentLogRecord) {
        for (task, _) in record.assigned_tasks() {
            *self.recorded_tasks.entry(task.job).or_default().entry(task.task).or_default() += 1;
            self.count_started(task.job);
        }
    }

    fn remove_recorded_tasks(&mut self, record: &AssignmentLogRecord) {
        for (task, _) in record.assigned_tasks() {
            let Some(tasks) = self.recorded_tasks.get_mut(&task.job) else { continue };
            if let Some(count) = tasks.get_mut(&task.task).filter(|count| **count > 1) {
                *count -= 1;
                continue;
            }
            tasks.remove(&task.task);
            if tasks.is_empty() {
                self.recorded_tasks.remove(&task.job);
            }
        }
    }

    /// Tasks of a job that may be on machines, by the records: for display.
    pub fn recorded_running_tasks(&self, id: JobId) -> u32 {
        let Some((job, tasks)) = self.find_job(id).zip(self.recorded_tasks.get(&id)) else { return 0 };
        tasks.keys().filter(|task| !job.finished_tasks.contains(**task)).count() as u32
    }

    /// The same for all jobs.
    pub fn recorded_running_by_job(&self) -> BTreeMap<JobId, u32> {
        let running = self.recorded_tasks.keys().map(|id| (*id, self.recorded_running_tasks(*id)));
        running.filter(|(_, tasks)| *tasks > 0).collect()
    }

    /// Where tasks of a job may be, by the records: machine and attempt.
    pub fn recorded_machines(&self, id: JobId) -> BTreeMap<u32, Vec<(String, u64)>> {
        let mut places: BTreeMap<u32, Vec<(String, u64)>> = BTreeMap::new();
        for machine in self.assignment_log.values().flat_map(AssignmentLogRecord::recorded_machines) {
            for (task, attempt) in machine.tasks.iter().filter(|(task, _)| task.job == id) {
                let place = (machine.machine.name.clone(), attempt.0);
                let known = places.entry(task.task).or_default();
                if !known.contains(&place) {
                    known.push(place);
                }
            }
        }
        places
    }
}

fn add_terminal(account: &mut JobCounters, end: TerminalState) {
    match end {
        TerminalState::Done => account.done += 1,
        TerminalState::Cancelled => account.cancelled += 1,
    }
}

#[cfg(test)]
#[path = "tests/store_cache.rs"]
mod tests;
