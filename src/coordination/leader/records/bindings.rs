//! Binding tasks to machines and removing them again, with everything that is derived from the bindings: used resources,
//! team usage, pool slots, placements of jobs, and the entries of the assignment log.

use std::collections::HashMap;
use std::hash::Hash;

use crate::coordination::Clock;
use crate::coordination::leader::records::assignment_log::TaskPlacement;
use crate::coordination::leader::{Binding, DispatchState, JobState, Leader};
use crate::ids::{MachineIx, ZoneIx};
use crate::protocol::operators::JobEventKind;

impl Leader {
    /// The task may be on the machine from now on.
    pub(in crate::coordination::leader) fn add_binding(&mut self, ix: MachineIx, binding: Binding) {
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
        if let Some(state) = binding.job.and_then(|job| self.workload.jobs.get_mut(&job)) {
            add_placement(state, &binding, ix, machine.zone);
        }
        *self.workload.placed_task_counts.entry(binding.task.job).or_default() += 1;
        machine.bindings.push(binding);
    }

    /// The task is certainly not on the machine any more. `index`: of the binding on the machine.
    pub(in crate::coordination::leader) fn remove_binding(
        &mut self,
        ix: MachineIx,
        index: usize,
        clock: Clock,
    ) -> Binding {
        let machine = &mut self.cluster.machines[ix.index()];
        let binding = machine.bindings.swap_remove(index);
        machine.used = machine.used.saturating_sub(&binding.need);
        if machine.bindings.is_empty() {
            machine.idle_since = clock.now;
        }
        if let Some(state) = binding.job.and_then(|job| self.workload.jobs.get_mut(&job)) {
            remove_placement(state, &binding, ix, machine.zone);
        }
        decrement_count(&mut self.workload.placed_task_counts, &binding.task.job);
        self.release_shares(&binding);
        let start = TaskPlacement { machine: ix, task: binding.task, attempt: binding.attempt };
        self.assignment_log.remove_start(binding.log_segment, start);
        self.cluster.placement_index.mark_to_fill(ix);
        binding
    }

    /// Gives back what the binding took from its team, its pool and the best-effort tasks.
    fn release_shares(&mut self, binding: &Binding) {
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

    /// Removes bindings that are to stop and whose run command has never been sent: there is nothing to stop.
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

    /// Removes every task from a machine that is certainly gone or empty, and queues them again.
    pub(in crate::coordination::leader) fn remove_all_bindings(&mut self, ix: MachineIx, clock: Clock) {
        while let Some(index) = self.cluster.machines[ix.index()].bindings.len().checked_sub(1) {
            let binding = self.remove_binding(ix, index, clock);
            let task = binding.task;
            self.event_log.record(task.job, JobEventKind::MachineLost, Some(ix), task.task, 1);
            self.requeue(&binding, 0, clock);
        }
    }

    /// The binding of the attempt on its machine.
    pub(super) fn binding_mut(&mut self, placement: &TaskPlacement) -> Option<&mut Binding> {
        let bindings = &mut self.cluster.machines[placement.machine.index()].bindings;
        bindings
            .iter_mut()
            .find(|binding| binding.task == placement.task && binding.attempt == placement.attempt)
    }
}

/// The job's task may be on the machine from now on.
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

/// Counts of zero are removed, so that the map stays as small as what it counts.
fn decrement_count<K: Hash + Eq>(counts: &mut HashMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}
