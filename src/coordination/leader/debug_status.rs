//! A line for the operator at `debug`: where the room is, and who waits for it.

use std::collections::BTreeMap;

use super::{Leader, MachineState};
use crate::ids::{MachineTypeIx, Millis, TeamIx};

const STATUS_INTERVAL_MS: u64 = 5_000;

#[derive(Debug, Default)]
struct MachineTypeStatus {
    machines: u32,
    booting: u32,
    cordoned: u32,
    held_for_gangs: u32,
    closed: u32,
    total_cpu: u64,
    /// Free CPU of machines that take queued tasks, that are parked, that are held.
    free_cpu: u64,
    free_cpu_cordoned: u64,
    free_cpu_held: u64,
}

impl Leader {
    pub fn log_status(&mut self, now: Millis) {
        if now < self.next_status_at || !log::log_enabled!(log::Level::Debug) {
            return;
        }
        self.next_status_at = now.saturating_add(STATUS_INTERVAL_MS);
        for (kind, status) in self.status_by_machine_type() {
            let name = self.cluster.machine_types.get(&kind).map_or("?", |kind| &kind.name);
            log::debug!("status {name}: {status:?}");
        }
        let (mut shared, mut dedicated) = (0, 0);
        for machine in &self.cluster.machines {
            shared += machine.shared_queue.len();
            dedicated += machine.dedicated_queue.len();
        }
        let teams: BTreeMap<TeamIx, u64> =
            self.quotas.usage.iter().map(|(team, used)| (*team, used.cpu)).collect();
        log::debug!(
            "status queues: shared {shared} dedicated {dedicated} backlog {} gangs {} parts {} teams {teams:?} {:?}",
            self.placement.backlog.len(),
            self.placement.waiting_gangs.len(),
            self.assignment_log.segment_count(),
            self.counters
        );
    }

    fn status_by_machine_type(&self) -> BTreeMap<MachineTypeIx, MachineTypeStatus> {
        let mut kinds: BTreeMap<MachineTypeIx, MachineTypeStatus> = BTreeMap::new();
        for machine in self.cluster.machines.iter().filter(|machine| machine.state != MachineState::Gone) {
            let status = kinds.entry(machine.machine_type).or_default();
            let free = machine.free().cpu;
            if machine.state == MachineState::Booting {
                status.booting += 1;
                continue;
            }
            status.machines += 1;
            status.total_cpu += machine.capacity.cpu;
            if !machine.is_schedulable() {
                status.closed += 1;
            } else if machine.hold.is_some() {
                status.held_for_gangs += 1;
                status.free_cpu_held += free;
            } else if machine.cordoned {
                status.cordoned += 1;
                status.free_cpu_cordoned += free;
            } else {
                status.free_cpu += free;
            }
        }
        kinds
    }
}
