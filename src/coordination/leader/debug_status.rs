//! Periodic status lines at log level `debug`: free capacity by machine type, queue lengths and team usage.

use std::collections::BTreeMap;

use super::{Leader, Machine, MachineState};
use crate::ids::{MachineTypeIx, Millis, TeamIx};

/// Interval between status lines, in milliseconds.
const STATUS_INTERVAL_MS: u64 = 5_000;

/// Machines of one type, by state. CPUs are in thousandths.
#[derive(Debug, Default)]
struct MachineTypeStatus {
    machines: u32,
    booting: u32,
    cordoned: u32,
    held_for_gangs: u32,
    /// Machines that accept no tasks (see `Machine::is_schedulable`).
    closed: u32,
    total_cpu: u64,
    /// Free CPUs of the machines that accept queued tasks.
    free_cpu: u64,
    free_cpu_cordoned: u64,
    free_cpu_held: u64,
}

impl MachineTypeStatus {
    fn add(&mut self, machine: &Machine) {
        if machine.state == MachineState::Booting {
            self.booting += 1;
            return;
        }
        let free_cpu = machine.free().cpu;
        self.machines += 1;
        self.total_cpu += machine.capacity.cpu;
        if !machine.is_schedulable() {
            self.closed += 1;
        } else if machine.hold.is_some() {
            self.held_for_gangs += 1;
            self.free_cpu_held += free_cpu;
        } else if machine.cordoned {
            self.cordoned += 1;
            self.free_cpu_cordoned += free_cpu;
        } else {
            self.free_cpu += free_cpu;
        }
    }
}

impl Leader {
    /// Logs the status, if the interval has elapsed and `debug` is enabled.
    pub(in crate::coordination) fn log_status(&mut self, now: Millis) {
        if now < self.next_status_at || !log::log_enabled!(log::Level::Debug) {
            return;
        }
        self.next_status_at = now.saturating_add(STATUS_INTERVAL_MS);
        for (ix, status) in self.status_by_machine_type() {
            let machine_type = self.cluster.machine_types.get(&ix);
            let name = machine_type.map_or("?", |machine_type| &machine_type.name);
            log::debug!("status of machine type {name}: {status:?}");
        }
        let (mut shared, mut dedicated) = (0, 0);
        for machine in &self.cluster.machines {
            shared += machine.shared_queue.len();
            dedicated += machine.dedicated_queue.len();
        }
        let team_cpu: BTreeMap<TeamIx, u64> =
            self.quotas.usage.iter().map(|(team, used)| (*team, used.cpu)).collect();
        let (backlog, gangs) = (self.placement.backlog.len(), self.placement.waiting_gangs.len());
        let tasks = format!("{shared} shared, {dedicated} dedicated and {backlog} backlog tasks");
        let teams = format!("team CPUs in thousandths: {team_cpu:?}");
        let segments = self.assignment_log.segment_count();
        let counters = &self.counters;
        log::debug!(
            "status of queues: {tasks}; {gangs} waiting gangs; {segments} log segments; {teams}; {counters:?}"
        );
    }

    fn status_by_machine_type(&self) -> BTreeMap<MachineTypeIx, MachineTypeStatus> {
        let mut by_type: BTreeMap<MachineTypeIx, MachineTypeStatus> = BTreeMap::new();
        for machine in self.cluster.machines.iter().filter(|machine| machine.state != MachineState::Gone) {
            by_type.entry(machine.machine_type).or_default().add(machine);
        }
        by_type
    }
}
