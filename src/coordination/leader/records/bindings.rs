//! Tasks come to machines and leave them: what follows for use, records and queues.

use std::collections::BTreeMap;

use crate::coordination::Clock;
use crate::coordination::leader::records::assignment_log::TaskPlacement;
use crate::coordination::leader::{Binding, DispatchState, Leader};
use crate::ids::{ImageIx, JobIx, MachineIx};
use crate::protocol::operators::JobEventKind;

impl Leader {
    /// A task may be on a machine from now on.
    pub fn add_binding(&mut self, ix: MachineIx, binding: Binding) {
        let machine = &mut self.cluster.machines[ix.index()];
        machine.used.add(&binding.need);
        if binding.best_effort {
            self.placement.best_effort_cpu += binding.need.cpu;
        }
        if let Some(team) = binding.team {
            self.quotas.usage.entry(team).or_default().add(&binding.need);
        }
        if let Some(pool) = binding.pool {
            *self.dag_runs.pool_used.entry(pool).or_default() += 1;
        }
        if let Some(work) = binding.job.and_then(|job| self.workload.jobs.get_mut(&job)) {
            work.placements.entry(binding.task.task).or_default().push((ix, binding.attempt));
            *work.tasks_per_zone.entry(machine.zone).or_default() += 1;
        }
        *self.workload.placed_task_counts.entry(binding.task.job).or_default() += 1;
        machine.bindings.push(binding);
    }

    /// A task is certainly not on the machine any more.
    pub fn remove_binding(&mut self, ix: MachineIx, index: usize, clock: Clock) -> Binding {
        let machine = &mut self.cluster.machines[ix.index()];
        let binding = machine.bindings.swap_remove(index);
        machine.used = machine.used.saturating_sub(&binding.need);
        if binding.best_effort {
            self.placement.best_effort_cpu = self.placement.best_effort_cpu.saturating_sub(binding.need.cpu);
        }
        if machine.bindings.is_empty() {
            machine.idle_since = clock.now;
        }
        if let Some(team) = binding.team
            && let Some(used) = self.quotas.usage.get_mut(&team)
        {
            *used = used.saturating_sub(&binding.need);
        }
        if let Some(used) = binding.pool.and_then(|pool| self.dag_runs.pool_used.get_mut(&pool)) {
            *used = used.saturating_sub(1);
        }
        if let Some(work) = binding.job.and_then(|job| self.workload.jobs.get_mut(&job)) {
            if let Some(locations) = work.placements.get_mut(&binding.task.task) {
                locations.retain(|place| *place != (ix, binding.attempt));
                if locations.is_empty() {
                    work.placements.remove(&binding.task.task);
                }
            }
            if let Some(count) = work.tasks_per_zone.get_mut(&machine.zone) {
                *count -= 1;
                if *count == 0 {
                    work.tasks_per_zone.remove(&machine.zone);
                }
            }
        }
        if let Some(count) = self.workload.placed_task_counts.get_mut(&binding.task.job) {
            *count -= 1;
            if *count == 0 {
                self.workload.placed_task_counts.remove(&binding.task.job);
            }
        }
        let start = TaskPlacement { machine: ix, task: binding.task, attempt: binding.attempt };
        self.assignment_log.remove_start(binding.log_segment, start);
        self.cluster.placement_index.mark_to_fill(ix);
        binding
    }

    /// Bindings that are to stop and whose run command never went out are simply dropped.
    pub fn drop_unsent_bindings(&mut self, ix: MachineIx, clock: Clock) {
        let is_unsent = |binding: &Binding| {
            binding.stop_grace_ms.is_some()
                && !binding.late_start_possible
                && matches!(binding.dispatch, DispatchState::Planned | DispatchState::Recorded)
        };
        while let Some(index) = self.cluster.machines[ix.index()].bindings.iter().position(is_unsent) {
            let binding = self.remove_binding(ix, index, clock);
            self.requeue(&binding, 0, clock);
        }
    }

    /// Puts a task back in line, unless its job has ended.
    pub fn requeue(&mut self, binding: &Binding, delay_ms: u64, clock: Clock) {
        let Some(ix) = binding.job else { return };
        let Some(work) = self.workload.jobs.get(&ix) else {
            return;
        };
        // A record may still list a task that a later one shows elsewhere: gone from
        // one place, it must not start again while it is at the other.
        if work.finishing
            || work.finished.contains(binding.task.task)
            || work.placements.contains_key(&binding.task.task)
        {
            return;
        }
        // It is tried again when its turn comes: `try_again`.
        if work.probation.is_some() {
            return;
        }
        if work.spec.is_all_or_nothing() || delay_ms > 0 {
            let due_at = clock.now.saturating_add(delay_ms);
            self.workload.retry_queue.entry(due_at).or_default().push((ix, binding.task.task));
        } else {
            self.enqueue(ix, &[binding.task.task]);
        }
    }

    /// Tasks whose wait is over.
    pub fn requeue_delayed(&mut self, clock: Clock) {
        while let Some((at, _)) = self.workload.retry_queue.first_key_value()
            && *at <= clock.now
        {
            for (ix, task) in
                self.workload.retry_queue.pop_first().map(|(_, tasks)| tasks).unwrap_or_default()
            {
                let Some(work) = self.workload.jobs.get(&ix) else {
                    continue;
                };
                if work.finishing || work.finished.contains(task) || work.placements.contains_key(&task) {
                    continue;
                }
                if work.spec.is_all_or_nothing() {
                    self.placement.waiting_gangs.insert(work.queue_order);
                } else {
                    self.enqueue(ix, &[task]);
                }
            }
        }
    }

    /// Takes every task off a machine that is certainly gone or empty.
    pub fn remove_all_bindings(&mut self, ix: MachineIx, clock: Clock) {
        while !self.cluster.machines[ix.index()].bindings.is_empty() {
            let index = self.cluster.machines[ix.index()].bindings.len() - 1;
            let binding = self.remove_binding(ix, index, clock);
            self.event_log.record(
                binding.task.job,
                JobEventKind::MachineLost,
                Some(ix),
                binding.task.task,
                1,
            );
            self.requeue(&binding, 0, clock);
        }
    }

    /// The queues of a machine that takes no more tasks go elsewhere.
    pub fn requeue_machine_queues(&mut self, ix: MachineIx) {
        let machine = &mut self.cluster.machines[ix.index()];
        let mut tasks = machine.shared_queue.drain();
        tasks.extend(machine.dedicated_queue.drain());
        let mut by_job: BTreeMap<JobIx, Vec<u32>> = BTreeMap::new();
        for (rank, task) in tasks {
            by_job.entry(rank.job).or_default().push(task);
        }
        for (job, tasks) in by_job {
            self.enqueue(job, &tasks);
        }
    }

    pub fn record_image_use(&mut self, ix: MachineIx, image: ImageIx, mb: u64) {
        let machine = &mut self.cluster.machines[ix.index()];
        machine.images.retain(|(held, _)| *held != image);
        machine.images.push((image, mb));
        self.cluster.image_holders.entry(image).or_default().insert(ix);
        let cache_limit_mb = self
            .cluster
            .machine_types
            .get(&machine.machine_type)
            .map_or(u64::MAX, |kind| kind.image_cache_mb);
        while machine.images.len() > 1
            && machine.images.iter().map(|(_, mb)| mb).sum::<u64>() > cache_limit_mb
        {
            let (dropped, _) = machine.images.remove(0);
            if let Some(holders) = self.cluster.image_holders.get_mut(&dropped) {
                holders.remove(&ix);
            }
        }
    }

    /// Nothing is known of its images any more.
    pub fn forget_images(&mut self, ix: MachineIx) {
        for (image, _) in std::mem::take(&mut self.cluster.machines[ix.index()].images) {
            if let Some(holders) = self.cluster.image_holders.get_mut(&image) {
                holders.remove(&ix);
            }
        }
    }
}
