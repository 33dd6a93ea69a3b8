//! Adds and removes bindings of tasks to machines, and updates everything that is derived from them: used resources,
//! team usage, pool slots, placements of jobs, and the entries of the assignment log.

use std::collections::HashMap;
use std::hash::Hash;

use crate::coordination::Clock;
use crate::coordination::leader::records::assignment_log::TaskPlacement;
use crate::coordination::leader::{Binding, DispatchState, JobState, Leader};
use crate::ids::{MachineIx, ZoneIx};
use crate::protocol::operators::JobEventKind;

impl Leader {
    /// Adds a binding to the machine: from now on the task may be there.
    pub(in crate::coordination::leader) fn add_binding(&mut self, ix: MachineIx, binding: Binding) {
        let machine = &mut self.cluster.machines[ix.index()];
        machine.used.add(&binding.need);
        if binding.service {
            machine.service_use.add(&binding.need);
        }
        if binding.best_effort {
            self.placement.best_effort_cpu += binding.need.cpu;
        }
        if let Some(team) = binding.team {
            self.quotas.usage.entry(team).or_default().add(&binding.need);
        }
        if let Some(pool) = binding.pool {
            *self.dag_runs.pool_used.entry(pool).or_default() += 1;
        }
        if let Some(state) = binding.job.and_then(|job| self.workload.jobs.get_mut(&job)) {
            add_placement(state, &binding, ix, machine.zone);
        }
        *self.workload.placed_task_counts.entry(binding.task.job).or_default() += 1;
        machine.bindings.push(binding);
    }

    /// Removes the binding at position `index` of the machine's bindings. The caller must be sure that the task is no
    /// longer on the machine.
    pub(in crate::coordination::leader) fn remove_binding(
        &mut self,
        ix: MachineIx,
        index: usize,
        clock: Clock,
    ) -> Binding {
        let machine = &mut self.cluster.machines[ix.index()];
        let zone = machine.zone;
        let binding = machine.bindings.swap_remove(index);
        machine.used = machine.used.saturating_sub(&binding.need);
        if binding.service {
            machine.service_use = machine.service_use.saturating_sub(&binding.need);
            // Tasks that had no lasting room on any machine may have it here now.
            self.cluster.placement_index.recheck_backlog = true;
        }
        if machine.bindings.is_empty() {
            machine.idle_since = clock.now;
        }
        if let Some(state) = binding.job.and_then(|job| self.workload.jobs.get_mut(&job)) {
            remove_placement(state, &binding, ix, zone);
        }
        decrement_count(&mut self.workload.placed_task_counts, &binding.task.job);
        self.release_usage(&binding);
        let start = TaskPlacement { machine: ix, task: binding.task, attempt: binding.attempt };
        self.assignment_log.remove_start(binding.log_segment, start);
        self.cluster.placement_index.mark_to_fill(ix);
        if let Some(job) = binding.job {
            self.on_task_left_zone(job, zone);
        }
        binding
    }

    /// Subtracts the binding from the usage of its team, its pool and the best-effort class.
    fn release_usage(&mut self, binding: &Binding) {
        if binding.best_effort {
            self.placement.best_effort_cpu = self.placement.best_effort_cpu.saturating_sub(binding.need.cpu);
        }
        if let Some(used) = binding.team.and_then(|team| self.quotas.usage.get_mut(&team)) {
            *used = used.saturating_sub(&binding.need);
        }
        if let Some(used) = binding.pool.and_then(|pool| self.dag_runs.pool_used.get_mut(&pool)) {
            *used = used.saturating_sub(1);
        }
    }

    /// Removes the bindings of a machine that are to be stopped and whose run command was never sent, because there is
    /// nothing to stop. Their tasks are queued again.
    pub(in crate::coordination::leader) fn drop_unsent_bindings(&mut self, ix: MachineIx, clock: Clock) {
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

    /// Removes all bindings from a machine on which no task can be running, because the machine was lost, failed or
    /// released, and queues the tasks again.
    pub(in crate::coordination::leader) fn remove_all_bindings(&mut self, ix: MachineIx, clock: Clock) {
        while let Some(index) = self.cluster.machines[ix.index()].bindings.len().checked_sub(1) {
            let binding = self.remove_binding(ix, index, clock);
            let task = binding.task;
            self.event_log.record(task.job, JobEventKind::MachineLost, Some(ix), task.task, 1);
            self.requeue(&binding, 0, clock);
        }
    }

    /// Returns the binding of the attempt on its machine, if there is one.
    pub(super) fn binding_mut(&mut self, placement: &TaskPlacement) -> Option<&mut Binding> {
        let bindings = &mut self.cluster.machines[placement.machine.index()].bindings;
        bindings
            .iter_mut()
            .find(|binding| binding.task == placement.task && binding.attempt == placement.attempt)
    }
}

/// Records in the job's state that the bound task may be on the machine.
pub(super) fn add_placement(state: &mut JobState, binding: &Binding, ix: MachineIx, zone: ZoneIx) {
    state.placements.entry(binding.task.task).or_default().push((ix, binding.attempt));
    *state.tasks_per_zone.entry(zone).or_default() += 1;
}

fn remove_placement(state: &mut JobState, binding: &Binding, ix: MachineIx, zone: ZoneIx) {
    if let Some(placements) = state.placements.get_mut(&binding.task.task) {
        placements.retain(|placement| *placement != (ix, binding.attempt));
        if placements.is_empty() {
            state.placements.remove(&binding.task.task);
        }
    }
    decrement_count(&mut state.tasks_per_zone, &zone);
}

/// Decrements a count and removes it at zero, so that the map holds only keys with a count.
fn decrement_count<K: Hash + Eq>(counts: &mut HashMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}
