//! One queue of a machine: tasks in the order of service, those of a job kept together.
//!
//! Memory: one number for each queued task, and one entry for each job.

use std::collections::{BTreeMap, VecDeque};

use super::policy::Rank;
use crate::coordination::leader::Machine;
use crate::ids::JobIx;

/// Which of a machine's two queues (source, 2.2.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueKind {
    /// Tasks bound to the machine by their data.
    Dedicated,
    /// Tasks that other machines may steal.
    Shared,
}

impl Machine {
    /// The queue of this kind.
    pub(super) fn queue(&self, kind: QueueKind) -> &Queue {
        match kind {
            QueueKind::Dedicated => &self.dedicated_queue,
            QueueKind::Shared => &self.shared_queue,
        }
    }

    /// The queue of this kind, to be changed.
    pub(super) fn queue_mut(&mut self, kind: QueueKind) -> &mut Queue {
        match kind {
            QueueKind::Dedicated => &mut self.dedicated_queue,
            QueueKind::Shared => &mut self.shared_queue,
        }
    }
}

/// Waiting tasks by rank.
#[derive(Debug, Default)]
pub struct Queue {
    /// No job has an empty list.
    tasks: BTreeMap<Rank, VecDeque<u32>>,
    len: usize,
}

impl Queue {
    /// Number of tasks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no tasks.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a task behind the others of its job.
    pub fn push(&mut self, rank: Rank, task: u32) {
        self.tasks.entry(rank).or_default().push_back(task);
        self.len += 1;
    }

    /// The jobs with tasks here, by rank.
    pub fn ranks(&self) -> impl DoubleEndedIterator<Item = &Rank> {
        self.tasks.keys()
    }

    /// The job with the lowest rank.
    pub fn first(&self) -> Option<Rank> {
        self.tasks.keys().next().copied()
    }

    /// Removes the first task of a job.
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

    /// Removes up to `limit` tasks of the wanted jobs from the end: the owner continues with its first tasks.
    pub fn take_from_back(&mut self, limit: usize, is_wanted: impl Fn(JobIx) -> bool) -> Vec<(Rank, u32)> {
        let mut taken = Vec::new();
        let ranks: Vec<Rank> = self.ranks().rev().copied().filter(|rank| is_wanted(rank.job)).collect();
        for rank in ranks {
            while taken.len() < limit {
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

    /// Number of tasks of the wanted jobs.
    pub fn count_where(&self, is_wanted: impl Fn(JobIx) -> bool) -> usize {
        self.tasks.iter().filter(|(rank, _)| is_wanted(rank.job)).map(|(_, tasks)| tasks.len()).sum()
    }

    /// Removes all tasks of a job.
    pub fn remove_job(&mut self, job: JobIx) {
        let len = &mut self.len;
        self.tasks.retain(|rank, tasks| {
            let is_kept = rank.job != job;
            if !is_kept {
                *len -= tasks.len();
            }
            is_kept
        });
    }

    /// Removes all tasks, the last first.
    pub fn drain(&mut self) -> Vec<(Rank, u32)> {
        self.take_from_back(self.len, |_| true)
    }
}

#[cfg(test)]
#[path = "tests/queues.rs"]
mod tests;
