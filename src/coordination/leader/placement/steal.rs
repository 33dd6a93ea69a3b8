//! Adaptive stealing (source, 2.2.1): machines with nothing to start take tasks from shared queues of a random sample,
//! and back off while they find none.

use std::collections::HashSet;

use crate::coordination::Clock;
use crate::coordination::leader::Leader;
use crate::coordination::leader::placement::MS_PER_S;
use crate::coordination::leader::placement::policy::{QueueOrder, Rank};
use crate::coordination::leader::placement::queues::Queue;
use crate::ids::{JobIx, MachineIx, Resources};
use crate::protocol::operators::JobEventKind;

/// Paused thieves that resume for each task that joins a queue.
pub(super) const THIEVES_RESUMED_PER_TASK: usize = 2;
/// The back-off doubles after each failure.
const BACKOFF_FACTOR: f64 = 2.0;

/// The first task of a shared queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedTask {
    pub(super) machine_ix: MachineIx,
    pub(super) rank: Rank,
}

impl Leader {
    /// Whether the machine may steal: its shared queue is empty, or limits keep all tasks in it from starting. Without
    /// the latter, machines stood idle beside full queues, because their own held only tasks of a team at its limit.
    pub(super) fn has_nothing_to_start(&self, machine_ix: MachineIx) -> bool {
        let machine = &self.cluster.machines[machine_ix.index()];
        if machine.shared_queue.is_empty() {
            return true;
        }
        let first = self.first_startable(&machine.shared_queue, machine_ix, &machine.free());
        first.order.is_none() && first.others_limited
    }

    /// Takes half of what the thief could run from the longest of a random sample of shared queues (source). Returns
    /// whether it found anything.
    pub(super) fn steal(&mut self, thief: MachineIx, clock: Clock) -> bool {
        let stolen = self.take_half_of_longest(thief);
        if stolen.is_empty() {
            self.back_off_from_stealing(thief, clock);
            return false;
        }
        let machine = &mut self.cluster.machines[thief.index()];
        machine.steal_backoff_ms = self.tunables.steal_backoff_ms;
        for (rank, task) in &stolen {
            machine.shared_queue.push(*rank, *task);
        }
        self.log_moved(&stolen, JobEventKind::Stolen, thief);
        self.counters.steals += 1;
        self.counters.stolen_tasks += stolen.len() as u64;
        true
    }

    /// Counts and takes only tasks that the thief could start: queues hold tasks of several sizes.
    fn take_half_of_longest(&mut self, thief: MachineIx) -> Vec<(Rank, u32)> {
        let sample = self.sample_machines();
        let free = self.cluster.machines[thief.index()].free();
        let can_start = |job_ix: JobIx| self.can_start(thief, &free, job_ix);
        let longest = sample
            .into_iter()
            .filter(|ix| *ix != thief)
            .map(|ix| (self.cluster.machines[ix.index()].shared_queue.count_where(can_start), ix))
            .max_by_key(|(count, _)| *count);
        let Some((count, victim)) = longest.filter(|(count, _)| *count > 0) else {
            return Vec::new();
        };
        let ranks = self.cluster.machines[victim.index()].shared_queue.ranks();
        let startable: HashSet<JobIx> =
            ranks.map(|rank| rank.job).filter(|job_ix| can_start(*job_ix)).collect();
        self.cluster.machines[victim.index()]
            .shared_queue
            .take_from_back(count.div_ceil(2), |job_ix| startable.contains(&job_ix))
    }

    /// Waits twice as long as before; beyond the bound the thief pauses until tasks arrive (source).
    fn back_off_from_stealing(&mut self, thief: MachineIx, clock: Clock) {
        let max_backoff_ms = self.tunables.max_steal_backoff_s * MS_PER_S;
        let machine = &mut self.cluster.machines[thief.index()];
        let backoff_ms = machine.steal_backoff_ms;
        if backoff_ms * BACKOFF_FACTOR > max_backoff_ms {
            machine.steal_backoff_ms = self.tunables.steal_backoff_ms;
            machine.steal_not_before = clock.now;
            self.cluster.placement_index.pause(thief);
        } else {
            machine.steal_backoff_ms = backoff_ms * BACKOFF_FACTOR;
            machine.steal_not_before = clock.now.saturating_add(backoff_ms.ceil() as u64);
            self.cluster.placement_index.back_off_until(machine.steal_not_before, thief);
        }
    }

    /// The task of a random sample of shared queues that comes first, if it comes before `own_order` and may start here.
    ///
    /// Thieves of the source are idle. With full queues everywhere no machine is, and a task that is due would wait for
    /// its own machine however long the tasks there run.
    pub(super) fn find_earlier_task(
        &mut self,
        machine_ix: MachineIx,
        free: &Resources,
        own_order: QueueOrder,
    ) -> Option<QueuedTask> {
        let sample = self.sample_machines();
        let earlier_than_own = |other: MachineIx| {
            let order = self.first_in_order(&self.cluster.machines[other.index()].shared_queue)?;
            (order < own_order && self.can_start(machine_ix, free, order.rank.job)).then_some((order, other))
        };
        let (order, other) =
            sample.into_iter().filter(|other| *other != machine_ix).filter_map(earlier_than_own).min()?;
        self.counters.stolen_tasks += 1;
        Some(QueuedTask { machine_ix: other, rank: order.rank })
    }

    /// The job of a queue that is served first.
    fn first_in_order(&self, queue: &Queue) -> Option<QueueOrder> {
        let present = self.placement.priority_inputs.present;
        // Only then may the first in rank not be the first in order.
        if present.past_slo || present.below_minimum_share {
            queue.ranks().map(|rank| self.queue_order(rank)).min()
        } else {
            queue.first().map(|rank| self.queue_order(&rank))
        }
    }
}
