//! A machine's queues: tasks by order of service, whole jobs kept together.

use std::collections::{BTreeMap, VecDeque};

use super::policy::Rank;
use crate::ids::JobIx;

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
    pub fn ranks(&self) -> impl DoubleEndedIterator<Item = &Rank> {
        self.tasks.keys()
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
    pub fn take_from_back(&mut self, limit: usize, wanted: impl Fn(JobIx) -> bool) -> Vec<(Rank, u32)> {
        let mut taken = Vec::new();
        let ranks: Vec<Rank> = self.ranks().rev().copied().collect();
        for rank in ranks {
            if !wanted(rank.job) {
                continue;
            }
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

    pub fn count_where(&self, wanted: impl Fn(JobIx) -> bool) -> usize {
        self.tasks.iter().filter(|(rank, _)| wanted(rank.job)).map(|(_, tasks)| tasks.len()).sum()
    }

    pub fn remove_job(&mut self, job: JobIx) {
        let len = &mut self.len;
        self.tasks.retain(|rank, tasks| {
            let is_removed = rank.job == job;
            if is_removed {
                *len -= tasks.len();
            }
            !is_removed
        });
    }

    pub fn drain(&mut self) -> Vec<(Rank, u32)> {
        let count = self.len;
        self.take_from_back(count, |_| true)
    }
}
