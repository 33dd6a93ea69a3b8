//! Applies changes of the store to the replica.

use serde::de::DeserializeOwned;

use super::{ChangeEvent, FinishedTasks, NewTerminal, ObservedLeader, StoreCache, TerminalJobSummary};
use crate::bookkeeping::jobs::{Job, JobSpec, TerminalState};
use crate::bookkeeping::records::{
    AssignmentLogRecord, FinishedRecord, JobRecord, LeaderRecord, RecordKey, TerminalDetail, TerminalRecord,
};
use crate::ids::{JobId, JobIx, LeaseId, Revision};
use crate::protocol::kv::KvEntry;

/// Parses a record; returns None if the value is not a record of this type. Such a value is ignored, as if its key did
/// not exist.
fn parse_record<T: DeserializeOwned>(value: &str) -> Option<T> {
    serde_json::from_str(value).ok()
}

impl StoreCache {
    /// Applies a change. A change whose revision is not newer than the one already applied to its key has no effect.
    pub fn apply(&mut self, entry: &KvEntry) -> Option<ChangeEvent> {
        let deleted_at = self.tombstones.get(&entry.key).copied().unwrap_or_default();
        if entry.revision <= self.key_revision(&entry.key).max(deleted_at) {
            return None;
        }
        let key = RecordKey::parse(&entry.key)?;
        // A terminal record is created once and never changed: its revision is not needed, and keeping it would take
        // most of the memory of a finished job.
        let is_terminal = match key {
            RecordKey::Terminal(id) if self.terminal_jobs.contains_key(&id) => return None,
            RecordKey::Terminal(_) => true,
            _ => false,
        };
        match &entry.value {
            Some(value) => {
                let event = self.put(&key, value, entry.revision);
                if !is_terminal {
                    self.key_revisions.insert(entry.key.clone(), entry.revision);
                }
                event
            }
            None => {
                self.key_revisions.remove(&entry.key);
                self.delete(&key)
            }
        }
    }

    /// Applies a change that this controller made and the store has committed. A deletion is remembered until the
    /// polled changes have reached its revision, so that an older version of the key among them is not applied.
    pub fn apply_own_change(&mut self, entry: &KvEntry) -> Option<ChangeEvent> {
        let event = self.apply(entry);
        if entry.value.is_none() && entry.revision > self.revision {
            self.tombstones.insert(entry.key.clone(), entry.revision);
        }
        event
    }

    /// Records that all changes up to `revision` have been applied.
    pub fn advance_revision(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
        let applied = self.revision;
        self.tombstones.retain(|_, deleted_at| *deleted_at > applied);
    }

    fn put(&mut self, key: &RecordKey, value: &str, revision: Revision) -> Option<ChangeEvent> {
        match key {
            RecordKey::Leader => return Some(self.put_leader(parse_record(value)?, revision)),
            RecordKey::Job(id) => {
                let record: JobRecord = parse_record(value)?;
                return Some(ChangeEvent::Job(self.add_job(*id, &record, revision)));
            }
            RecordKey::Terminal(id) => return Some(self.put_terminal(*id, parse_record(value)?, revision)),
            RecordKey::Finished(id, block) => {
                let record: FinishedRecord = parse_record(value)?;
                self.add_finished(*id, FinishedTasks::Block(*block, record.encoded_tasks));
            }
            RecordKey::AssignmentLog(name) => self.put_log_segment(name, parse_record(value)?),
            RecordKey::LegacyMachine(name) => {
                self.legacy_machines.insert(name.clone(), parse_record(value)?);
            }
            RecordKey::ProvisioningRequest(name) => {
                self.provisioning_requests.insert(name.clone(), parse_record(value)?);
            }
            RecordKey::MachineType(name) => {
                self.machine_types.insert(name.clone(), parse_record(value)?);
                return Some(ChangeEvent::MachineTypes);
            }
            RecordKey::GraphAcceptance => {}
            RecordKey::ConfigEntry(name) => {
                self.config.put(name, value, revision);
                return Some(ChangeEvent::Config(revision));
            }
            RecordKey::GraphPart(run, part) => self.put_part(run, *part, parse_record(value)?),
            RecordKey::DagRun(run) => self.put_dag_run(run, parse_record(value)?, revision),
            RecordKey::RunPhase(run) => self.put_run_phase(run, parse_record(value)?),
            RecordKey::RetryState(id, _) => self.put_retry_states(*id, parse_record(value)?),
        }
        None
    }

    fn put_leader(&mut self, record: LeaderRecord, revision: Revision) -> ChangeEvent {
        self.leader = Some(ObservedLeader {
            controller: record.controller,
            revision,
            lease: record.lease.map(LeaseId),
            config_format: record.config_format,
        });
        ChangeEvent::Leader
    }

    fn put_terminal(&mut self, id: JobId, record: TerminalRecord, revision: Revision) -> ChangeEvent {
        let state = record.terminal_state();
        self.count_terminal(id, state, record.ended_wall_ms);
        if let Some(detail) = &record.detail {
            let summary = self.summary_of(detail);
            self.summaries.insert(id, summary);
        }
        self.new_terminals.push(NewTerminal { id, revision, cancelled: state == TerminalState::Cancelled });
        if let Some(job) = self.job_mut(id) {
            job.terminal = Some((state, record.ended_wall_ms));
        }
        self.apply_node_terminal(id, state, record.node_terminal);
        if state == TerminalState::Done {
            self.drop_finished_node_job(id);
        }
        ChangeEvent::Terminal(id, state)
    }

    fn put_log_segment(&mut self, name: &str, record: AssignmentLogRecord) {
        for (id, first, count) in record.finished_ranges() {
            self.add_finished(id, FinishedTasks::Range(first, count));
        }
        self.add_recorded_tasks(&record);
        if let Some(previous) = self.assignment_log.insert(name.into(), record) {
            self.remove_recorded_tasks(&previous);
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
                self.legacy_machines.remove(name);
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

    fn summary_of(&mut self, detail: &TerminalDetail) -> TerminalJobSummary {
        TerminalJobSummary {
            team: self.names.teams.intern(&detail.team),
            class: self.names.classes.intern(&detail.class),
            tasks: detail.tasks,
            accepted_wall_ms: detail.accepted_wall_ms,
            first_start_wall_ms: detail.first_start_wall_ms,
        }
    }

    fn add_job(&mut self, id: JobId, record: &JobRecord, revision: Revision) -> JobIx {
        if let Some(ix) = self.find(id) {
            return ix;
        }
        let spec = JobSpec::new(id, &record.manifest, record.accepted_wall_ms, revision, &mut self.names);
        self.add_with_out_of_order(Job::new(spec))
    }

    fn add_finished(&mut self, id: JobId, tasks: FinishedTasks) {
        if let Some(job) = self.job_mut(id) {
            tasks.add_to(&mut job.finished_tasks);
        } else if !self.terminal_jobs.contains_key(&id) {
            // The finished tasks of a job with a terminal record are never read.
            self.out_of_order.entry(id).or_default().push(tasks);
        }
    }
}
