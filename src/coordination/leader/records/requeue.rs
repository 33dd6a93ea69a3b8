//! Queues tasks again after they have left a machine, immediately or after a backoff.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::Clock;
use crate::coordination::leader::placement::policy::Rank;
use crate::coordination::leader::{Binding, JobState, Leader};
use crate::ids::{JobIx, MachineIx};

impl Leader {
    /// Queues the binding's task again after `delay_ms`, unless the task has finished or may be on another machine, or
    /// its job is cancelled, finishing or on probation.
    pub(in crate::coordination::leader) fn requeue(
        &mut self,
        binding: &Binding,
        delay_ms: u64,
        clock: Clock,
    ) {
        let Some(ix) = binding.job else { return };
        let Some(state) = self.workload.jobs.get(&ix) else { return };
        let task = binding.task.task;
        // While a job is on probation, one task at a time is queued by the probation itself.
        if !is_waiting(state, task) || state.probation.is_some() {
            return;
        }
        if state.spec.is_all_or_nothing() || delay_ms > 0 {
            let due_at = clock.now.saturating_add(delay_ms);
            self.workload.retry_queue.entry(due_at).or_default().push((ix, task));
        } else {
            self.enqueue(ix, &[task]);
        }
    }

    /// Queues the tasks whose backoff has elapsed.
    pub(in crate::coordination::leader) fn requeue_delayed(&mut self, clock: Clock) {
        while let Some(due) = self.workload.retry_queue.first_entry().filter(|due| *due.key() <= clock.now) {
            for (ix, task) in due.remove() {
                self.requeue_due_task(ix, task);
            }
        }
    }

    fn requeue_due_task(&mut self, ix: JobIx, task: u32) {
        let Some(state) = self.workload.jobs.get(&ix).filter(|state| is_waiting(state, task)) else { return };
        if state.spec.is_all_or_nothing() {
            self.placement.waiting_gangs.insert(state.rank);
        } else {
            self.enqueue(ix, &[task]);
        }
    }

    /// Moves the queued tasks of a machine that accepts no more tasks to other queues.
    pub(in crate::coordination::leader) fn requeue_machine_queues(&mut self, ix: MachineIx) {
        let machine = &mut self.cluster.machines[ix.index()];
        let mut tasks = machine.shared_queue.drain();
        tasks.extend(machine.dedicated_queue.drain());
        self.enqueue_moved(tasks);
    }

    /// Moves the queued tasks of a job from a machine that may not run them any more to other queues.
    pub(in crate::coordination::leader) fn requeue_job_from_machine(&mut self, ix: MachineIx, job: JobIx) {
        let machine = &mut self.cluster.machines[ix.index()];
        let mut tasks = machine.shared_queue.take_from_back(usize::MAX, |queued| queued == job);
        tasks.extend(machine.dedicated_queue.take_from_back(usize::MAX, |queued| queued == job));
        self.enqueue_moved(tasks);
    }

    /// Moves queued tasks to other queues that have no lasting room on this machine any more, because a task of a
    /// service was placed there.
    pub(in crate::coordination::leader) fn requeue_tasks_without_room(&mut self, ix: MachineIx) {
        let machine = &self.cluster.machines[ix.index()];
        let queued: BTreeSet<JobIx> = machine
            .shared_queue
            .ranks()
            .chain(machine.dedicated_queue.ranks())
            .map(|rank| rank.job)
            .collect();
        for job in queued {
            let has_room = |state: &JobState| self.has_lasting_room(ix, state);
            if !self.workload.jobs.get(&job).is_some_and(has_room) {
                self.requeue_job_from_machine(ix, job);
            }
        }
    }

    fn enqueue_moved(&mut self, tasks: Vec<(Rank, u32)>) {
        let mut by_job: BTreeMap<JobIx, Vec<u32>> = BTreeMap::new();
        for (rank, task) in tasks {
            by_job.entry(rank.job).or_default().push(task);
        }
        for (job, tasks) in by_job {
            self.enqueue(job, &tasks);
        }
    }
}

/// Whether the task still has to start. After a failover a task may be bound to several machines, because an older
/// record can list it on another one: after it has left one machine, it must not start again while it may run on
/// another.
fn is_waiting(state: &JobState, task: u32) -> bool {
    !state.finishing && !state.finished.contains(task) && !state.placements.contains_key(&task)
}
