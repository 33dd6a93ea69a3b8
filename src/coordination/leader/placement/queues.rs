//! A machine's queues: tasks by order of service, whole jobs kept together.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

use crate::bookkeeping::jobs::JobInfo;
use crate::ids::{JobIx, Revision};
use crate::protocol::users::Urgency;

/// Urgent first, then whoever has to start first to meet its aim, then larger images
/// (source), then older jobs. It never changes, so that a task is found where it was put.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    urgency: Urgency,
    start_by: u64,
    image_mb: Reverse<u64>,
    seq: Revision,
    pub job: JobIx,
}

/// Jobs whose start is due within the same so many milliseconds go by image size.
const START_GRAIN_MS: u64 = 10_000;

impl Rank {
    /// `aim_ms`: within what time of its acceptance the job should be done.
    /// `size_ms`: how long the whole job keeps a good part of the fleet busy; with more
    /// work than machines, many small jobs in time are worth more than one large one.
    pub fn new(job: JobIx, info: &JobInfo, aim_ms: u64, size_ms: u64) -> Rank {
        let start_by = (info.accepted_wall_ms + aim_ms + size_ms).saturating_sub(info.guess_ms);
        Rank {
            urgency: info.urgency,
            start_by: start_by / START_GRAIN_MS,
            image_mb: Reverse(info.image_mb),
            seq: info.seq,
            job,
        }
    }
}

#[derive(Debug, Default)]
pub struct Queue {
    tasks: BTreeMap<Rank, VecDeque<u32>>,
    len: usize,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn push(&mut self, rank: Rank, task: u32) {
        self.tasks.entry(rank).or_default().push_back(task);
        self.len += 1;
    }

    /// The jobs in order of service.
    pub fn ranks(&self) -> Vec<Rank> {
        self.tasks.keys().copied().collect()
    }

    /// The job whose turn comes first.
    pub fn first(&self) -> Option<Rank> {
        self.tasks.keys().next().copied()
    }

    pub fn pop(&mut self, rank: Rank) -> Option<u32> {
        let tasks = self.tasks.get_mut(&rank)?;
        let task = tasks.pop_front();
        if task.is_some() {
            self.len -= 1;
        }
        if tasks.is_empty() {
            self.tasks.remove(&rank);
        }
        task
    }

    /// Takes up to `most` tasks from the end, of those jobs that `wanted` allows:
    /// the owner goes on with its first, the taker gets its last.
    pub fn take_back(&mut self, most: usize, wanted: impl Fn(JobIx) -> bool) -> Vec<(Rank, u32)> {
        let mut taken = Vec::new();
        for rank in self.ranks().into_iter().rev() {
            if !wanted(rank.job) {
                continue;
            }
            while taken.len() < most {
                let Some(task) = self.tasks.get_mut(&rank).and_then(VecDeque::pop_back) else {
                    break;
                };
                taken.push((rank, task));
            }
            if self.tasks.get(&rank).is_some_and(VecDeque::is_empty) {
                self.tasks.remove(&rank);
            }
        }
        self.len -= taken.len();
        taken
    }

    pub fn count_where(&self, wanted: impl Fn(JobIx) -> bool) -> usize {
        self.tasks.iter().filter(|(rank, _)| wanted(rank.job)).map(|(_, tasks)| tasks.len()).sum()
    }

    pub fn drop_job(&mut self, job: JobIx) {
        let len = &mut self.len;
        self.tasks.retain(|rank, tasks| {
            let gone = rank.job == job;
            if gone {
                *len -= tasks.len();
            }
            !gone
        });
    }

    pub fn drain(&mut self) -> Vec<(Rank, u32)> {
        let most = self.len;
        self.take_back(most, |_| true)
    }
}
