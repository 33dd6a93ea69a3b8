//! A queue of a machine: waiting tasks grouped by job, with the jobs sorted by rank.
//!
//! Memory: one number for each queued task, and one entry for each job.

use std::collections::{BTreeMap, VecDeque};

use super::policy::Rank;
use crate::coordination::leader::Machine;
use crate::ids::JobIx;

/// Names one of a machine's two queues (DAWS, section 2.2.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueKind {
    /// Holds tasks whose image or input is on the machine; other machines cannot steal them.
    Dedicated,
    /// Holds tasks that other machines may steal.
    Shared,
}

impl Machine {
    /// Returns the queue of this kind.
    pub(super) fn queue(&self, kind: QueueKind) -> &Queue {
        match kind {
            QueueKind::Dedicated => &self.dedicated_queue,
            QueueKind::Shared => &self.shared_queue,
        }
    }

    /// Returns the queue of this kind for modification.
    pub(super) fn queue_mut(&mut self, kind: QueueKind) -> &mut Queue {
        match kind {
            QueueKind::Dedicated => &mut self.dedicated_queue,
            QueueKind::Shared => &mut self.shared_queue,
        }
    }
}

/// Waiting tasks, grouped by the rank of their job.
#[derive(Debug, Default)]
pub struct Queue {
    /// Every list holds at least one task: a job without queued tasks has no entry.
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

    /// Appends a task to those of its job.
    pub fn push(&mut self, rank: Rank, task: u32) {
        self.tasks.entry(rank).or_default().push_back(task);
        self.len += 1;
    }

    /// Iterates over the ranks of the jobs with queued tasks, in ascending order.
    pub fn ranks(&self) -> impl DoubleEndedIterator<Item = &Rank> {
        self.tasks.keys()
    }

    /// Returns the lowest rank of the jobs with queued tasks.
    pub fn first(&self) -> Option<Rank> {
        self.tasks.keys().next().copied()
    }

    /// Removes and returns the first task of the job with this rank.
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

    /// Removes up to `limit` tasks of the wanted jobs, the last task of the last job first, so that the owner of the
    /// queue keeps the tasks that it serves next.
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

    /// Returns the number of tasks of the wanted jobs.
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

    /// Removes and returns all tasks, the last one first.
    pub fn drain(&mut self) -> Vec<(Rank, u32)> {
        self.take_from_back(self.len, |_| true)
    }
}

#[cfg(test)]
#[path = "tests/queues.rs"]
mod tests;
