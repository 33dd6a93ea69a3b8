//! The last decisions on each job, for operators. Bounded: some a job, some thousand jobs. Off, it costs nothing.

use std::collections::{HashMap, VecDeque};

use super::placement::policy::Rank;
use super::{Binding, Leader};
use crate::ids::{JobId, JobIx, MachineIx};
use crate::protocol::operators::JobEventKind;
use crate::protocol::workers::ExitCause;

/// Jobs remembered; the one that came first goes first.
const MAX_JOBS: usize = 2_048;
/// Neighbours of one kind on one machine within this become one entry.
const MERGE_WINDOW_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoggedEvent {
    pub at_wall_ms: u64,
    pub event: JobEventKind,
    pub machine: Option<MachineIx>,
    pub first_task: u32,
    /// 0: it is about the job.
    pub task_count: u32,
}

#[derive(Debug, Default)]
pub struct EventHistory {
    pub events: VecDeque<LoggedEvent>,
    /// What came earlier is not known here.
    pub truncated: bool,
}

/// When a job's first task ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstRun {
    NotYet,
    At(u64),
    /// Another node led meanwhile.
    Unknown,
}

impl FirstRun {
    pub fn record(&mut self, wall_ms: u64) {
        if *self == FirstRun::NotYet {
            *self = FirstRun::At(wall_ms);
        }
    }

    pub fn wall_ms(self) -> Option<u64> {
        match self {
            FirstRun::At(wall_ms) => Some(wall_ms),
            FirstRun::NotYet | FirstRun::Unknown => None,
        }
    }
}

#[derive(Debug)]
pub struct EventLog {
    max_per_job: usize,
    wall_ms: u64,
    recovering: bool,
    histories: HashMap<JobId, EventHistory>,
    insertion_order: VecDeque<JobId>,
}

impl EventLog {
    /// So many entries a job; 0 keeps none.
    pub fn new(max_per_job: usize, wall_ms: u64) -> EventLog {
        EventLog {
            max_per_job,
            wall_ms,
            recovering: true,
            histories: HashMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    pub fn is_enabled(&self) -> bool {
        self.max_per_job > 0
    }

    /// Jobs that come from now on are new.
    pub fn finish_recovery(&mut self) {
        self.recovering = false;
    }

    pub fn set_wall_time(&mut self, wall_ms: u64) {
        self.wall_ms = wall_ms;
    }

    pub fn initial_first_run(&self) -> FirstRun {
        if self.recovering { FirstRun::Unknown } else { FirstRun::NotYet }
    }

    /// A job that this leader has not known.
    pub fn record_new_job(&mut self, id: JobId) {
        let event = if self.recovering { JobEventKind::Recovered } else { JobEventKind::Accepted };
        self.record(id, event, None, 0, 0);
    }

    pub fn history_of(&self, id: JobId) -> Option<&EventHistory> {
        self.histories.get(&id)
    }

    pub fn record(
        &mut self,
        id: JobId,
        event: JobEventKind,
        machine: Option<MachineIx>,
        first_task: u32,
        task_count: u32,
    ) {
        if self.max_per_job == 0 {
            return;
        }
        let entry = LoggedEvent { at_wall_ms: self.wall_ms, event, machine, first_task, task_count };
        if !self.histories.contains_key(&id) {
            self.evict_oldest_jobs();
            self.insertion_order.push_back(id);
        }
        let truncated = self.recovering;
        let history =
            self.histories.entry(id).or_insert_with(|| EventHistory { events: VecDeque::new(), truncated });
        if let Some(last) = history.events.back_mut()
            && (last.event, last.machine) == (event, machine)
            && entry.at_wall_ms.saturating_sub(last.at_wall_ms) < MERGE_WINDOW_MS
        {
            last.task_count += task_count;
            return;
        }
        if history.events.len() >= self.max_per_job {
            history.events.pop_front();
            history.truncated = true;
        }
        history.events.push_back(entry);
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
    pub fn log_queued(&mut self, job: JobIx, tasks: &[u32], event: JobEventKind) {
        if let (true, Some(work), Some(first)) =
            (self.event_log.is_enabled(), self.workload.jobs.get(&job), tasks.first())
        {
            self.event_log.record(work.spec.id, event, None, *first, tasks.len() as u32);
        }
    }

    /// Tasks that came to a machine's shared queue from another, or from its dedicated one.
    pub fn log_moved(&mut self, moved: &[(Rank, u32)], event: JobEventKind, to: MachineIx) {
        if !self.event_log.is_enabled() {
            return;
        }
        for (rank, task) in moved {
            if let Some(work) = self.workload.jobs.get(&rank.job) {
                self.event_log.record(work.spec.id, event, Some(to), *task, 1);
            }
        }
    }

    pub fn log_exit(&mut self, ix: MachineIx, binding: &Binding, cause: ExitCause) {
        let event = match cause {
            ExitCause::Done => JobEventKind::Done,
            ExitCause::Error => JobEventKind::Failed,
            ExitCause::InsufficientCapacity | ExitCause::Busy | ExitCause::Unknown => {
                JobEventKind::WorkerRejected
            }
            ExitCause::PeersLost | ExitCause::GangIncomplete => JobEventKind::GangLeft,
            ExitCause::Stopped { .. } => JobEventKind::Stopped,
        };
        self.event_log.record(binding.task.job, event, Some(ix), binding.task.task, 1);
    }
}

#[cfg(test)]
#[path = "tests/event_log.rs"]
mod tests;
