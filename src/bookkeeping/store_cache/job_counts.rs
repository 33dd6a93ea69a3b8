//! Counts jobs by team and class from the records alone. Every controller computes the same numbers, in whatever order
//! it reads the records. Each transition of a job counts once.

use super::{StoreCache, TerminalEntry};
use crate::bookkeeping::job_counters::JobCounters;
use crate::bookkeeping::jobs::{Job, TerminalState};
use crate::ids::JobId;

impl StoreCache {
    /// Counts a new job, whose terminal record may already have been read.
    pub(super) fn count_job(&mut self, job: &mut Job) {
        let id = job.spec.id;
        let team_class = self.job_counters.team_class(job.spec.team, job.spec.class);
        let terminal = self.terminal_jobs.get_mut(&id);
        let is_counted = terminal.as_ref().is_some_and(|entry| entry.team_class.is_some());
        let counters = self.job_counters.counters_mut(team_class).filter(|_| !is_counted);
        let Some(counters) = counters else { return };
        counters.accepted += 1;
        job.has_started = !job.finished_tasks.is_empty() || self.recorded_tasks.contains_key(&id);
        if let Some(entry) = terminal {
            entry.team_class = Some(team_class);
            job.has_started |= entry.state == TerminalState::Done;
            add_terminal(counters, entry.state);
        }
        counters.started += u64::from(job.has_started);
    }

    /// Counts a job as started when the first of its tasks may run.
    pub(super) fn count_started(&mut self, id: JobId) {
        let Some(job) = self.job_mut(id).filter(|job| !job.has_started) else { return };
        job.has_started = true;
        let (team, class) = (job.spec.team, job.spec.class);
        let team_class = self.job_counters.team_class(team, class);
        if let Some(counters) = self.job_counters.counters_mut(team_class) {
            counters.started += 1;
        }
    }

    /// Counts and stores a terminal state.
    pub(super) fn count_terminal(&mut self, id: JobId, state: TerminalState, ended_wall_ms: u64) {
        if state == TerminalState::Done {
            self.count_started(id);
        }
        let job = self.find_job(id).map(|job| (job.spec.team, job.spec.class));
        let team_class = job.map(|(team, class)| self.job_counters.team_class(team, class));
        if let Some(counters) = team_class.and_then(|ix| self.job_counters.counters_mut(ix)) {
            add_terminal(counters, state);
        }
        let entry = TerminalEntry { ended_wall_ms, team_class, state, notified: false };
        self.terminal_jobs.insert(id, entry);
    }

    /// Counts that this controller has reported the job as done to a user, at most once per job.
    pub fn count_notified_done(&mut self, id: JobId) {
        let entry = self.terminal_jobs.get_mut(&id);
        let Some(entry) = entry.filter(|entry| entry.state == TerminalState::Done && !entry.notified) else {
            return;
        };
        entry.notified = true;
        if let Some(counters) = entry.team_class.and_then(|ix| self.job_counters.counters_mut(ix)) {
            counters.notified += 1;
        }
    }
}

fn add_terminal(counters: &mut JobCounters, state: TerminalState) {
    match state {
        TerminalState::Done => counters.done += 1,
        TerminalState::Cancelled => counters.cancelled += 1,
    }
}
