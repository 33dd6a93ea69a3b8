//! The last decisions on each job, for operators. Bounded: some a job, some thousand jobs. Off, it costs nothing.

use std::collections::{HashMap, VecDeque};

use super::placement::policy::Rank;
use super::{Binding, Leader};
use crate::ids::{JobId, JobIx, MachineIx};
use crate::protocol::operators::EventWord;
use crate::protocol::workers::ExitCause;

/// Jobs remembered; the one that came first goes first.
const MOST_JOBS: usize = 2_048;
/// Neighbours of one kind on one machine within this become one entry.
const MERGED_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Noted {
    pub at_wall_ms: u64,
    pub event: EventWord,
    pub machine: Option<MachineIx>,
    pub first: u32,
    /// 0: it is about the job.
    pub tasks: u32,
}

#[derive(Debug, Default)]
pub struct Ring {
    pub events: VecDeque<Noted>,
    /// What came earlier is not known here.
    pub cut: bool,
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
    pub fn saw(&mut self, wall_ms: u64) {
        if *self == FirstRun::NotYet {
            *self = FirstRun::At(wall_ms);
        }
    }

    pub fn known(self) -> Option<u64> {
        match self {
            FirstRun::At(wall_ms) => Some(wall_ms),
            FirstRun::NotYet | FirstRun::Unknown => None,
        }
    }
}

#[derive(Debug)]
pub struct Journal {
    per_job: usize,
    wall_ms: u64,
    inheriting: bool,
    rings: HashMap<JobId, Ring>,
    order: VecDeque<JobId>,
}

impl Journal {
    /// So many entries a job; 0 keeps none.
    pub fn new(per_job: usize, wall_ms: u64) -> Journal {
        Journal { per_job, wall_ms, inheriting: true, rings: HashMap::new(), order: VecDeque::new() }
    }

    pub fn on(&self) -> bool {
        self.per_job > 0
    }

    /// Jobs that come from now on are new.
    pub fn inherited(&mut self) {
        self.inheriting = false;
    }

    pub fn tell_time(&mut self, wall_ms: u64) {
        self.wall_ms = wall_ms;
    }

    pub fn first_run(&self) -> FirstRun {
        if self.inheriting { FirstRun::Unknown } else { FirstRun::NotYet }
    }

    /// A job that this leader has not known.
    pub fn add(&mut self, id: JobId) {
        let event = if self.inheriting { EventWord::Inherited } else { EventWord::Accepted };
        self.note(id, event, None, 0, 0);
    }

    pub fn ring(&self, id: JobId) -> Option<&Ring> {
        self.rings.get(&id)
    }

    pub fn note(&mut self, id: JobId, event: EventWord, machine: Option<MachineIx>, first: u32, tasks: u32) {
        if self.per_job == 0 {
            return;
        }
        let noted = Noted { at_wall_ms: self.wall_ms, event, machine, first, tasks };
        if !self.rings.contains_key(&id) {
            self.make_room();
            self.order.push_back(id);
        }
        let cut = self.inheriting;
        let ring = self.rings.entry(id).or_insert_with(|| Ring { events: VecDeque::new(), cut });
        if let Some(last) = ring.events.back_mut()
            && (last.event, last.machine) == (event, machine)
            && noted.at_wall_ms.saturating_sub(last.at_wall_ms) < MERGED_MS
        {
            last.tasks += tasks;
            return;
        }
        if ring.events.len() >= self.per_job {
            ring.events.pop_front();
            ring.cut = true;
        }
        ring.events.push_back(noted);
    }

    fn make_room(&mut self) {
        while self.order.len() >= MOST_JOBS {
            if let Some(oldest) = self.order.pop_front() {
                self.rings.remove(&oldest);
            }
        }
    }
}

impl Leader {
    pub fn note_queued(&mut self, job: JobIx, tasks: &[u32], event: EventWord) {
        if let (true, Some(work), Some(first)) = (self.journal.on(), self.work.get(&job), tasks.first()) {
            self.journal.note(work.info.id, event, None, *first, tasks.len() as u32);
        }
    }

    /// Tasks that came to a machine's shared queue from another, or from its dedicated one.
    pub fn note_moved(&mut self, moved: &[(Rank, u32)], event: EventWord, to: MachineIx) {
        if !self.journal.on() {
            return;
        }
        for (rank, task) in moved {
            if let Some(work) = self.work.get(&rank.job) {
                self.journal.note(work.info.id, event, Some(to), *task, 1);
            }
        }
    }

    pub fn note_exit(&mut self, ix: MachineIx, binding: &Binding, cause: ExitCause) {
        let event = match cause {
            ExitCause::Done => EventWord::Done,
            ExitCause::Error => EventWord::Failed,
            ExitCause::NoRoom | ExitCause::Busy | ExitCause::Unknown => EventWord::Refused,
            ExitCause::Peers | ExitCause::Incomplete => EventWord::GangLeft,
            ExitCause::Halted { .. } => EventWord::Stopped,
        };
        self.journal.note(binding.task.job, event, Some(ix), binding.task.task, 1);
    }
}

#[cfg(test)]
#[path = "tests/journal.rs"]
mod tests;
