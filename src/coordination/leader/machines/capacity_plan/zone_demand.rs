//! The tasks of a gang or service that need a machine, and the zones in which they may be placed.

use std::collections::HashMap;

use crate::coordination::leader::JobState;
use crate::ids::ZoneIx;

/// The demand of one job, with its constraints on zones.
pub(super) struct ZoneDemand {
    unplaced: u64,
    required_zone: Option<ZoneIx>,
    /// The maximum number of tasks in one zone. Limits only jobs that have to be spread.
    max_per_zone: u64,
    placed_by_zone: HashMap<ZoneIx, u64>,
}

impl ZoneDemand {
    pub(super) fn new(job_state: &JobState) -> ZoneDemand {
        let spec = &job_state.spec;
        let placed = job_state.tasks_per_zone.iter().map(|(zone, count)| (*zone, u64::from(*count)));
        let unfinished = u64::from(job_state.unfinished_tasks());
        ZoneDemand {
            unplaced: unfinished.saturating_sub(job_state.placements.len() as u64),
            required_zone: zone_with_most_tasks(&job_state.tasks_per_zone).filter(|_| spec.single_zone),
            max_per_zone: if spec.spread { u64::from(spec.tasks.div_ceil(2)) } else { u64::MAX },
            placed_by_zone: placed.collect(),
        }
    }

    pub(super) fn is_met(&self) -> bool {
        self.unplaced == 0
    }

    /// Returns whether the job must be in a single zone and has no placed task that determines the zone.
    pub(super) fn needs_zone(&self, job_state: &JobState) -> bool {
        job_state.spec.single_zone && self.required_zone.is_none()
    }

    /// Restricts the job to a zone. `None` lifts the restriction.
    pub(super) fn require_zone(&mut self, zone: Option<ZoneIx>) {
        self.required_zone = zone;
    }

    /// Returns the number of tasks that may still be placed in the zone.
    pub(super) fn available(&self, zone: ZoneIx) -> u64 {
        if self.required_zone.is_some_and(|required| required != zone) {
            return 0;
        }
        self.max_per_zone
            .saturating_sub(self.placed_by_zone.get(&zone).copied().unwrap_or(0))
            .min(self.unplaced)
    }

    /// Assigns as many tasks as possible to `slots` in the zone, and returns their number.
    pub(super) fn assign(&mut self, zone: ZoneIx, slots: u64) -> u64 {
        let assigned = slots.min(self.available(zone));
        *self.placed_by_zone.entry(zone).or_default() += assigned;
        self.unplaced -= assigned;
        assigned
    }
}

/// Returns the zone that has the most tasks of a job. After a failover, the records of tasks in other
/// zones may be stale.
fn zone_with_most_tasks(tasks_per_zone: &HashMap<ZoneIx, u32>) -> Option<ZoneIx> {
    tasks_per_zone.iter().max_by_key(|(zone, count)| (**count, **zone)).map(|(zone, _)| *zone)
}
