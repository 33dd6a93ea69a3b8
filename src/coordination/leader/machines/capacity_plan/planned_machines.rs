//! The machines that a capacity plan may use, and the CPU time on them that is already reserved.

use crate::coordination::Clock;
use crate::coordination::leader::{Binding, Leader, Machine, MachineState};
use crate::ids::MachineIx;

/// A booting machine is expected to be available no sooner than this time from now.
const MIN_BOOT_WAIT_MS: u64 = 5_000;
/// A running task is expected to run at least this much longer.
const MIN_REMAINING_RUN_MS: u64 = 1_000;

/// CPUs are counted in thousandths.
const MILLI_PER_CPU: u64 = 1_000;

/// Returns the CPU milliseconds that `cpu` thousandths of a CPU provide in `ms` milliseconds.
pub(super) fn cpu_ms(cpu: u64, ms: u64) -> u64 {
    cpu * ms / MILLI_PER_CPU
}

/// A machine that the plan may use.
pub(super) struct PlannedMachine {
    pub(super) ix: MachineIx,
    price: f64,
    /// Capacity in thousandths of a CPU.
    cpu: u64,
    available_in_ms: u64,
    /// CPU milliseconds that running tasks and the jobs assigned so far are expected to use.
    pub(super) reserved_cpu_ms: u64,
}

impl PlannedMachine {
    /// Returns the CPU milliseconds that are free within the next `horizon_ms`.
    pub(super) fn free_cpu_ms(&self, horizon_ms: u64) -> u64 {
        let usable_ms = horizon_ms.saturating_sub(self.available_in_ms);
        cpu_ms(self.cpu, usable_ms).saturating_sub(self.reserved_cpu_ms)
    }
}

impl Leader {
    /// Returns the machines that are up or booting and that a plan may use, the cheapest per CPU first.
    pub(super) fn planned_machines(&self, clock: Clock) -> Vec<PlannedMachine> {
        let machines = self.cluster.machine_indices().zip(&self.cluster.machines);
        let mut planned: Vec<PlannedMachine> =
            machines.filter_map(|(ix, machine)| self.planned_machine(ix, machine, clock)).collect();
        planned.sort_by(|a, b| a.price.total_cmp(&b.price).then(a.ix.cmp(&b.ix)));
        planned
    }

    fn planned_machine(&self, ix: MachineIx, machine: &Machine, clock: Clock) -> Option<PlannedMachine> {
        let available_in_ms = match machine.state {
            MachineState::Up if machine.is_schedulable() || !machine.token_acknowledged => 0,
            MachineState::Booting if !machine.returning && !self.is_boot_overdue(machine, clock) => {
                let machine_type = self.cluster.machine_types.get(&machine.machine_type);
                let boot_ms = machine_type.map_or(0, |machine_type| machine_type.boot_ms);
                let elapsed_ms = clock.now.saturating_since(machine.created_at);
                boot_ms.saturating_sub(elapsed_ms).max(MIN_BOOT_WAIT_MS)
            }
            _ => return None,
        };
        let running = machine.bindings.iter().map(|binding| self.remaining_cpu_ms(binding, clock));
        Some(PlannedMachine {
            ix,
            price: self.price_per_cpu(ix),
            cpu: machine.capacity.cpu,
            available_in_ms,
            reserved_cpu_ms: running.sum(),
        })
    }

    /// Returns the CPU milliseconds that a task is expected to need until it finishes.
    pub(in crate::coordination::leader) fn remaining_cpu_ms(&self, binding: &Binding, clock: Clock) -> u64 {
        let Some(job_state) = binding.job.and_then(|job| self.workload.jobs.get(&job)) else { return 0 };
        let ran_ms = binding.running_since.map_or(0, |since| clock.now.saturating_since(since));
        let remaining_ms = job_state.expected_run_ms().saturating_sub(ran_ms).max(MIN_REMAINING_RUN_MS);
        cpu_ms(binding.need.cpu, remaining_ms)
    }
}
