//! Negative cache of gang searches: a search that found no placement need not be repeated before more capacity is free.
//!
//! Memory: one entry for each distinct requirement of waiting gangs; expired entries are dropped with each insertion.

use std::collections::HashMap;

use crate::bookkeeping::jobs::JobSpec;
use crate::coordination::leader::JobState;
use crate::ids::{MachineTypeIx, Millis, Resources, TeamIx, ZoneIx};
use crate::protocol::users::PriorityClass;

/// An entry expires after this time even if no capacity has become free, because running tasks have come closer to
/// their ends and borrowed capacity may have become reclaimable.
const ENTRY_TTL_MS: u64 = 1_000;

/// The requirements that decide where a gang can be placed. A search is valid for all gangs with the same key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GangSearchKey {
    task_resources: Resources,
    machine_types: Option<Vec<MachineTypeIx>>,
    zone: Option<ZoneIx>,
    single_zone: bool,
    spread: bool,
    allows_spot: bool,
    team: TeamIx,
    priority_class: PriorityClass,
}

impl GangSearchKey {
    fn new(spec: &JobSpec) -> GangSearchKey {
        GangSearchKey {
            task_resources: spec.task_resources,
            machine_types: spec.machine_types.clone(),
            zone: spec.zone,
            single_zone: spec.single_zone,
            spread: spec.spread,
            allows_spot: spec.allows_spot,
            team: spec.team,
            priority_class: spec.priority_class,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct FailedSearch {
    /// Number of tasks for which the search looked for machines.
    count: usize,
    /// The value of `Leader::capacity_growth_count` at the time of the search.
    capacity_growth_count: u64,
    expires_at: Millis,
}

/// Searches that found nothing. With less free capacity they would fail as well, so an entry is valid until capacity
/// becomes free or the entry expires.
#[derive(Debug, Default)]
pub struct GangSearchCache(HashMap<GangSearchKey, FailedSearch>);

impl GangSearchCache {
    /// Returns whether an earlier failed search shows that a search for this many tasks would find nothing.
    pub(super) fn is_known_failure(
        &self,
        job: &JobState,
        count: usize,
        capacity_growth_count: u64,
        now: Millis,
    ) -> bool {
        let failure = self.0.get(&GangSearchKey::new(&job.spec));
        failure.is_some_and(|failure| {
            count >= failure.count
                && now < failure.expires_at
                && failure.capacity_growth_count == capacity_growth_count
        })
    }

    /// Records that a search found nothing. A search for a gang whose own history excludes machines or zones is not
    /// recorded, because its failure does not apply to other gangs.
    pub(super) fn record_failure(
        &mut self,
        job: &JobState,
        count: usize,
        capacity_growth_count: u64,
        now: Millis,
    ) {
        if !job.excluded_machines.is_empty() || !job.tasks_per_zone.is_empty() {
            return;
        }
        self.0.retain(|_, failure| now < failure.expires_at);
        let expires_at = now.saturating_add(ENTRY_TTL_MS);
        self.0
            .insert(GangSearchKey::new(&job.spec), FailedSearch { count, capacity_growth_count, expires_at });
    }
}
