//! The machines that a capacity plan may use, and the CPU time on them that is already reserved.

use crate::coordination::Clock;
use crate::coordination::leader::placement::availability::RoomForecast;
use crate::coordination::leader::{JobState, Leader};
use crate::ids::{MachineIx, Resources};

/// CPUs are counted in thousandths.
const MILLI_PER_CPU: u64 = 1_000;

/// Returns the CPU milliseconds that `cpu` thousandths of a CPU provide in `ms` milliseconds.
pub(super) fn cpu_ms(cpu: u64, ms: u64) -> u64 {
    cpu.saturating_mul(ms) / MILLI_PER_CPU
}

/// Returns the thousandths of a CPU that `slots` tasks use at the same time, at least one for tasks without CPUs.
pub(super) fn slots_cpu(slots: u64, need: &Resources) -> u64 {
    slots.saturating_mul(need.cpu.max(1))
}

/// A machine that the plan may use.
pub(super) struct PlannedMachine {
    pub(super) ix: MachineIx,
    price: f64,
    forecast: RoomForecast,
    /// CPU milliseconds that running tasks and the jobs assigned so far are expected to use.
    pub(super) reserved_cpu_ms: u64,
}

impl PlannedMachine {
    /// Returns the CPU milliseconds that tasks of the job can use within the next `horizon_ms`: none if no task is
    /// expected to fit by then.
    pub(super) fn usable_cpu_ms(&self, job_state: &JobState, horizon_ms: u64) -> u64 {
        let need = &job_state.spec.task_resources;
        let up_ms = horizon_ms.saturating_sub(self.forecast.up_in_ms);
        let unreserved = cpu_ms(self.forecast.lasting_cpu(), up_ms).saturating_sub(self.reserved_cpu_ms);
        if unreserved == 0 || !self.fits_within(need, horizon_ms) {
            return 0;
        }
        unreserved.min(cpu_ms(slots_cpu(self.forecast.lasting_slots(need), need), up_ms))
    }

    /// Returns whether a task is expected to fit within `horizon_ms`.
    fn fits_within(&self, need: &Resources, horizon_ms: u64) -> bool {
        self.forecast.first_fit(need).is_some_and(|(in_ms, _)| in_ms <= horizon_ms)
    }

    /// Returns the number of tasks with this need that fit at the same time within `ms`.
    pub(super) fn slots_within(&self, need: &Resources, ms: u64) -> u64 {
        self.forecast.room_after(ms).slots(need)
    }
}

impl Leader {
    /// Returns the machines that are up or booting and that a plan may use, the cheapest per CPU first.
    pub(super) fn planned_machines(&self, clock: Clock) -> Vec<PlannedMachine> {
        let machines = self.cluster.machine_indices();
        let mut planned: Vec<PlannedMachine> =
            machines.filter_map(|ix| self.planned_machine(ix, clock)).collect();
        planned.sort_by(|a, b| a.price.total_cmp(&b.price).then(a.ix.cmp(&b.ix)));
        planned
    }

    fn planned_machine(&self, ix: MachineIx, clock: Clock) -> Option<PlannedMachine> {
        let forecast = self.room_forecast(ix, clock)?;
        let machine = &self.cluster.machines[ix.index()];
        let remaining_cpu_ms = |binding| {
            self.remaining_run_ms(binding, clock)
                .map_or(0, |remaining_ms| cpu_ms(binding.need.cpu, remaining_ms))
        };
        let reserved_cpu_ms = machine.bindings.iter().map(remaining_cpu_ms).sum();
        Some(PlannedMachine { ix, price: self.price_per_cpu(ix), forecast, reserved_cpu_ms })
    }
}
