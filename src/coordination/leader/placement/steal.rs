//! Adaptive work stealing (DAWS, section 2.2.1): a machine with nothing to start takes tasks from the shared queues
//! of a random sample of machines, and backs off while it finds none.

use std::collections::HashSet;

use crate::coordination::Clock;
use crate::coordination::leader::Leader;
use crate::coordination::leader::placement::MS_PER_S;
use crate::coordination::leader::placement::policy::{QueueOrder, Rank};
use crate::coordination::leader::placement::queues::Queue;
use crate::ids::{JobIx, MachineIx, Resources};
use crate::protocol::operators::JobEventKind;

/// Number of paused thieves that resume for each task that joins a queue.
const THIEVES_RESUMED_PER_TASK: usize = 2;
/// Factor by which the backoff grows after each failed steal.
const BACKOFF_FACTOR: f64 = 2.0;

/// The first task of a job in a machine's queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedTask {
    pub(super) machine_ix: MachineIx,
    pub(super) rank: Rank,
}

impl Leader {
    /// Lets some paused thieves steal again for each of `tasks` that have joined a queue or may start on more machines.
    pub(in crate::coordination::leader) fn resume_thieves(&mut self, tasks: usize) {
        self.cluster.placement_index.resume_paused(THIEVES_RESUMED_PER_TASK * tasks);
    }

    /// Returns whether the machine may steal: its shared queue is empty, or it holds no task that may start and at
    /// least one that a limit or a zone rule keeps from starting. Without the second case, machines whose own queue
    /// held only such tasks stayed idle while other queues were full.
    pub(super) fn has_nothing_to_start(&self, machine_ix: MachineIx) -> bool {
        let machine = &self.cluster.machines[machine_ix.index()];
        if machine.shared_queue.is_empty() {
            return true;
        }
        self.first_startable(&machine.shared_queue, machine_ix, &machine.free()).waits_for_changes_elsewhere()
    }

    /// Moves tasks to the thief's shared queue (DAWS): from a random sample of machines, chooses the shared queue with
    /// the most tasks that the thief could start, and takes half of these. Returns whether there were any; if not, the
    /// thief backs off.
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

    /// Removes the stolen tasks from the victim's queue. Counts and takes only tasks that the thief could start, as
    /// queues hold tasks of different sizes.
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

    /// Backs off, each time for twice as long as before. A thief whose next backoff would exceed the maximum pauses
    /// until tasks arrive (DAWS).
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

    /// Examines the first job of each shared queue in a random sample. Returns the first task of the earliest job that
    /// comes before `own_order` and may start on this machine.
    ///
    /// In DAWS only idle machines steal. When all queues are full, no machine is idle, and a task that is due would
    /// wait for its own machine however long the tasks there run.
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

    /// Returns the order of the job that the queue serves first.
    fn first_in_order(&self, queue: &Queue) -> Option<QueueOrder> {
        let present = self.placement.priority_inputs.present;
        // Either of these inputs can put a job before the one with the lowest rank. Guarantees can as well, but are not
        // considered here.
        if present.past_slo || present.below_minimum_share {
            queue.ranks().map(|rank| self.queue_order(rank)).min()
        } else {
            queue.first().map(|rank| self.queue_order(&rank))
        }
    }
}
