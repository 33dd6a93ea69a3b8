//! The latest events of each job, for operators.
//!
//! Bounded: a number of events per job from the tunables, and `MAX_JOBS` jobs. It is no record: it begins
//! anew with each term, and a history says when earlier events are unknown. With a limit of no events it
//! costs nothing.

use std::collections::{HashMap, VecDeque};

use super::placement::policy::Rank;
use super::{Binding, Leader};
use crate::ids::{JobId, JobIx, MachineIx, TaskId};
use crate::protocol::operators::JobEventKind;
use crate::protocol::workers::ExitCause;

/// Jobs with a history; the oldest one is evicted first.
const MAX_JOBS: usize = 2_048;
/// An event like the one before it, on the same machine and within this time, is merged with it.
const MERGE_WINDOW_MS: u64 = 1_000;

/// One event of a job, or several that were merged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoggedEvent {
    /// Wall-clock time of the first of them, in milliseconds.
    pub at_wall_ms: u64,
    /// What happened.
    pub event: JobEventKind,
    /// The machine it happened on.
    pub machine: Option<MachineIx>,
    /// The first task it happened to.
    pub first_task: u32,
    /// The number of tasks; 0 if the event concerns the job as a whole.
    pub task_count: u32,
}

/// The events of one job, in order.
#[derive(Debug, Default)]
pub struct EventHistory {
    /// The latest events.
    pub events: VecDeque<LoggedEvent>,
    /// Whether earlier events are unknown.
    pub truncated: bool,
}

impl EventHistory {
    fn add(&mut self, entry: LoggedEvent, max_events: usize) {
        if let Some(last) = self.events.back_mut()
            && (last.event, last.machine) == (entry.event, entry.machine)
            && entry.at_wall_ms.saturating_sub(last.at_wall_ms) < MERGE_WINDOW_MS
        {
            last.task_count += entry.task_count;
            return;
        }
        if self.events.len() >= max_events {
            self.events.pop_front();
            self.truncated = true;
        }
        self.events.push_back(entry);
    }
}

/// When a task of a job first ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstRun {
    /// None has run yet.
    NotYet,
    /// The wall-clock time, in milliseconds.
    At(u64),
    /// The job is older than this term.
    Unknown,
}

impl FirstRun {
    /// A task of the job runs; only the first one counts.
    pub fn record(&mut self, wall_ms: u64) {
        if *self == FirstRun::NotYet {
            *self = FirstRun::At(wall_ms);
        }
    }

    /// The wall-clock time, if it is known.
    pub fn wall_ms(self) -> Option<u64> {
        match self {
            FirstRun::At(wall_ms) => Some(wall_ms),
            FirstRun::NotYet | FirstRun::Unknown => None,
        }
    }
}

/// The events of all jobs.
#[derive(Debug)]
pub struct EventLog {
    max_per_job: usize,
    /// The current time.
    wall_ms: u64,
    /// The jobs registered now are older than this term.
    recovering: bool,
    histories: HashMap<JobId, EventHistory>,
    insertion_order: VecDeque<JobId>,
}

impl EventLog {
    /// A log of at most `max_per_job` events for each job; 0 keeps none.
    pub fn new(max_per_job: usize, wall_ms: u64) -> EventLog {
        EventLog {
            max_per_job,
            wall_ms,
            recovering: true,
            histories: HashMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Whether any events are kept.
    pub(super) fn is_enabled(&self) -> bool {
        self.max_per_job > 0
    }

    /// All jobs of earlier terms are registered: those from now on are new.
    pub fn finish_recovery(&mut self) {
        self.recovering = false;
    }

    /// Sets the time of the events to come.
    pub(in crate::coordination) fn set_wall_time(&mut self, wall_ms: u64) {
        self.wall_ms = wall_ms;
    }

    /// What is known of the first run of a job that is registered now.
    pub fn initial_first_run(&self) -> FirstRun {
        if self.recovering { FirstRun::Unknown } else { FirstRun::NotYet }
    }

    /// Records that this leader has got to know a job.
    pub fn record_new_job(&mut self, id: JobId) {
        let event = if self.recovering { JobEventKind::Recovered } else { JobEventKind::Accepted };
        self.record_job_event(id, event);
    }

    /// The events of a job; none if it has no history.
    pub fn history_of(&self, id: JobId) -> Option<&EventHistory> {
        self.histories.get(&id)
    }

    /// Records an event that concerns a job as a whole.
    pub(super) fn record_job_event(&mut self, id: JobId, event: JobEventKind) {
        self.record(id, event, None, 0, 0);
    }

    /// Records an event of one task on a machine.
    pub(super) fn record_task_event(&mut self, task: TaskId, event: JobEventKind, machine: MachineIx) {
        self.record(task.job, event, Some(machine), task.task, 1);
    }

    /// Records an event, or merges it with the one before it. `task_count`: 0 if it concerns the job as a
    /// whole.
    pub fn record(
        &mut self,
        id: JobId,
        event: JobEventKind,
        machine: Option<MachineIx>,
        first_task: u32,
        task_count: u32,
    ) {
        if !self.is_enabled() {
            return;
        }
        if !self.histories.contains_key(&id) {
            self.evict_oldest_jobs();
            self.insertion_order.push_back(id);
        }
        let truncated = self.recovering;
        let history =
            self.histories.entry(id).or_insert_with(|| EventHistory { events: VecDeque::new(), truncated });
        let entry = LoggedEvent { at_wall_ms: self.wall_ms, event, machine, first_task, task_count };
        history.add(entry, self.max_per_job);
    }

    fn evict_oldest_jobs(&mut self) {
        while self.insertion_order.len() >= MAX_JOBS {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.histories.remove(&oldest);
            }
        }
    }
}

impl Leader {
    /// Logs tasks that were queued. `event`: in which queue.
    pub(super) fn log_queued(&mut self, job: JobIx, tasks: &[u32], event: JobEventKind) {
        if !self.event_log.is_enabled() {
            return;
        }
        let Some(job_state) = self.workload.jobs.get(&job) else { return };
        let Some(first_task) = tasks.first() else { return };
        self.event_log.record(job_state.spec.id, event, None, *first_task, tasks.len() as u32);
    }

    /// Logs tasks that came to a machine's shared queue from another machine, or from its dedicated queue.
    pub(super) fn log_moved(&mut self, moved: &[(Rank, u32)], event: JobEventKind, to: MachineIx) {
        if !self.event_log.is_enabled() {
            return;
        }
        for (rank, task) in moved {
            if let Some(job_state) = self.workload.jobs.get(&rank.job) {
                self.event_log.record(job_state.spec.id, event, Some(to), *task, 1);
            }
        }
    }

    /// Logs that a task has exited.
    pub(super) fn log_exit(&mut self, ix: MachineIx, binding: &Binding, cause: ExitCause) {
        let event = match cause {
            ExitCause::Done => JobEventKind::Done,
            ExitCause::Error => JobEventKind::Failed,
            ExitCause::InsufficientCapacity | ExitCause::Busy | ExitCause::UnknownJob => {
                JobEventKind::WorkerRejected
            }
            ExitCause::PeersLost | ExitCause::GangIncomplete => JobEventKind::GangLeft,
            ExitCause::Stopped { .. } => JobEventKind::Stopped,
        };
        self.event_log.record_task_event(binding.task, event, ix);
    }
}

#[cfg(test)]
#[path = "tests/event_log.rs"]
mod tests;
