//! The latest events of each job, for operators.
//!
//! The log is bounded by a number of events per job, which is a tunable, and by `MAX_JOBS` jobs. It is not
//! durable: it starts empty with each term, and a history is marked as truncated if earlier events are
//! unknown. With a limit of zero events per job the log is disabled and costs nothing.

use std::collections::{HashMap, VecDeque};

use super::placement::policy::Rank;
use super::{Binding, Leader};
use crate::ids::{JobId, JobIx, MachineIx, TaskId};
use crate::protocol::operators::JobEventKind;
use crate::protocol::workers::ExitCause;

/// Maximum number of jobs with a history. The job whose history is the oldest is evicted first.
const MAX_JOBS: usize = 2_048;
/// An event is merged into the previous entry if it has the same kind and machine and occurs within this time
/// after the first event of the entry, in milliseconds.
const MERGE_WINDOW_MS: u64 = 1_000;

/// One event of a job, or several events that were merged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoggedEvent {
    /// Wall-clock time of the event, or of the first merged one, in milliseconds.
    pub at_wall_ms: u64,
    /// The kind of the event.
    pub event: JobEventKind,
    /// The machine that the event concerns, if any.
    pub machine: Option<MachineIx>,
    /// The first task that the event concerns.
    pub first_task: u32,
    /// The number of tasks that the event concerns; 0 if it concerns the job as a whole.
    pub task_count: u32,
}

/// The events of one job, oldest first.
#[derive(Debug, Default)]
pub struct EventHistory {
    /// The latest events, oldest first.
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
    /// No task has run yet.
    NotYet,
    /// The wall-clock time at which the first task ran, in milliseconds.
    At(u64),
    /// Unknown, because the job is older than this term.
    Unknown,
}

impl FirstRun {
    /// Records that a task of the job runs. Only the first call has an effect.
    pub fn record(&mut self, wall_ms: u64) {
        if *self == FirstRun::NotYet {
            *self = FirstRun::At(wall_ms);
        }
    }

    /// Returns the wall-clock time of the first run in milliseconds, if it is known.
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
    /// Wall-clock time of the events that are recorded next, in milliseconds.
    wall_ms: u64,
    /// Whether the leader is still recovering: jobs that are registered meanwhile are older than this term.
    recovering: bool,
    histories: HashMap<JobId, EventHistory>,
    /// The jobs with a history, in the order in which their first event was recorded.
    insertion_order: VecDeque<JobId>,
}

impl EventLog {
    /// Creates a log of at most `max_per_job` events per job; 0 disables the log.
    pub fn new(max_per_job: usize, wall_ms: u64) -> EventLog {
        EventLog {
            max_per_job,
            wall_ms,
            recovering: true,
            histories: HashMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Whether the log keeps any events.
    pub(super) fn is_enabled(&self) -> bool {
        self.max_per_job > 0
    }

    /// Ends the recovery: jobs that are registered from now on are new in this term.
    pub fn finish_recovery(&mut self) {
        self.recovering = false;
    }

    /// Sets the wall-clock time of the events that are recorded next, in milliseconds.
    pub(in crate::coordination) fn set_wall_time(&mut self, wall_ms: u64) {
        self.wall_ms = wall_ms;
    }

    /// Returns the initial state of `FirstRun` for a job that is registered now.
    pub fn initial_first_run(&self) -> FirstRun {
        if self.recovering { FirstRun::Unknown } else { FirstRun::NotYet }
    }

    /// Records that a job was accepted or, during recovery, restored from the records.
    pub fn record_new_job(&mut self, id: JobId) {
        let event = if self.recovering { JobEventKind::Recovered } else { JobEventKind::Accepted };
        self.record_job_event(id, event);
    }

    /// Returns the events of a job, if it has a history.
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

    /// Records an event, or merges it with the previous one. `task_count` is 0 if the event concerns the job
    /// as a whole.
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
    /// Logs tasks that were queued. `event` tells in which kind of queue.
    pub(super) fn log_queued(&mut self, job: JobIx, tasks: &[u32], event: JobEventKind) {
        if !self.event_log.is_enabled() {
            return;
        }
        let Some(job_state) = self.workload.jobs.get(&job) else { return };
        let Some(first_task) = tasks.first() else { return };
        self.event_log.record(job_state.spec.id, event, None, *first_task, tasks.len() as u32);
    }

    /// Logs tasks that were moved to a machine's shared queue, from another machine or from its own dedicated
    /// queue.
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
