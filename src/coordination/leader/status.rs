//! A line for the operator at `debug`: where the room is, and who waits for it.

use std::collections::BTreeMap;

use super::{Leader, Life};
use crate::ids::{KindIx, Millis, TeamIx};

const STATUS_EVERY_MS: u64 = 5_000;

#[derive(Debug, Default)]
struct KindStatus {
    machines: u32,
    booting: u32,
    parked: u32,
    held: u32,
    other: u32,
    cpu: u64,
    /// Free CPU of machines that take queued tasks, that are parked, that are held.
    free: u64,
    free_parked: u64,
    free_held: u64,
}

impl Leader {
    pub fn status(&mut self, now: Millis) {
        if now < self.status_next || !log::log_enabled!(log::Level::Debug) {
            return;
        }
        self.status_next = now.plus(STATUS_EVERY_MS);
        for (kind, status) in self.kind_status() {
            let name = self.kinds.get(&kind).map_or("?", |kind| &kind.name);
            log::debug!("status {name}: {status:?}");
        }
        let (mut shared, mut dedicated) = (0, 0);
        for machine in &self.machines {
            shared += machine.shared.len();
            dedicated += machine.dedicated.len();
        }
        let teams: BTreeMap<TeamIx, u64> = self.usage.iter().map(|(team, used)| (*team, used.cpu)).collect();
        log::debug!(
            "status queues: shared {shared} dedicated {dedicated} backlog {} gangs {} parts {} teams {teams:?} {:?}",
            self.backlog.len(),
            self.gangs.len(),
            self.history.parts(),
            self.counters
        );
    }

    fn kind_status(&self) -> BTreeMap<KindIx, KindStatus> {
        let mut kinds: BTreeMap<KindIx, KindStatus> = BTreeMap::new();
        for machine in self.machines.iter().filter(|machine| machine.life != Life::Gone) {
            let status = kinds.entry(machine.kind).or_default();
            let free = machine.free().cpu;
            if machine.life == Life::Booting {
                status.booting += 1;
                continue;
            }
            status.machines += 1;
            status.cpu += machine.size.cpu;
            if !machine.open() {
                status.other += 1;
            } else if machine.held_for.is_some() {
                status.held += 1;
                status.free_held += free;
            } else if machine.parked {
                status.parked += 1;
                status.free_parked += free;
            } else {
                status.free += free;
            }
        }
        kinds
    }
}
