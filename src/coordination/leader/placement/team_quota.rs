//! Team quotas: the limit of each team, its guarantee, and the capacity that it has borrowed.

use std::collections::HashMap;

use olivelatch_admission::borrowed::{BorrowedCapacity, QuotaAmount};

use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::leader::placement::gang_search_cache::GangSearchCache;
use crate::coordination::leader::{JobState, Leader};
use crate::ids::{JobIx, MachineIx, Millis, Resources, TeamIx};

impl From<&Resources> for QuotaAmount {
    fn from(resources: &Resources) -> QuotaAmount {
        QuotaAmount { cpu: resources.cpu, gpu: resources.gpu }
    }
}

impl Leader {
    /// Applies the teams' guarantees and limits from the settings. If recorded configuration is enabled, it may lower
    /// them. Tasks that already run above a lowered limit keep running.
    pub(in crate::coordination) fn apply_config(&mut self, cache: &mut StoreCache) {
        let settings = self.settings.clone();
        let mut any_raised = false;
        for configured in &settings.teams {
            let effective = if self.tunables.config.enabled {
                cache.config.effective_team(configured)
            } else {
                configured.clone()
            };
            let team = cache.names.teams.intern(&configured.name);
            let limit = effective.effective_limit();
            let previous = self.quotas.team_settings.insert(team, effective);
            any_raised |= previous.is_some_and(|previous| previous.effective_limit().cpu < limit.cpu);
        }
        if any_raised {
            self.retry_all_placements();
        }
    }

    /// Makes the next pass retry every placement. After a limit has been raised, tasks that it kept from starting may
    /// start on any machine.
    fn retry_all_placements(&mut self) {
        for index in 0..self.cluster.machines.len() {
            self.cluster.placement_index.mark_to_fill(MachineIx(index as u32));
        }
        self.cluster.placement_index.recheck_backlog = true;
        self.placement.gang_search_not_before = Millis::default();
        self.placement.gang_search_cache = GangSearchCache::default();
    }

    /// Updates which jobs fit into their team's guarantee together with the unfinished tasks of the team's earlier
    /// jobs. Such jobs wait neither for other teams nor for later jobs of their own team.
    pub(in crate::coordination::leader) fn update_guaranteed_jobs(&mut self) {
        let mut jobs: Vec<(JobIx, &JobState)> =
            self.workload.jobs.iter().map(|(ix, job)| (*ix, job)).collect();
        jobs.sort_by_key(|(_, job)| job.spec.accepted_revision);
        let mut demand_by_team: HashMap<TeamIx, Resources> = HashMap::new();
        let mut any_guaranteed = false;
        for (ix, job) in jobs {
            // A job on probation fails wherever it runs, so it uses up none of its team's guarantee.
            if job.probation.is_some() {
                self.placement.priority_inputs.get_mut(ix).guaranteed = false;
                continue;
            }
            let Some(team) = self.quotas.team_settings.get(&job.spec.team) else { continue };
            let demand = demand_by_team.entry(job.spec.team).or_default();
            demand.add(&job.spec.task_resources.saturating_mul(u64::from(job.unfinished_tasks())));
            let guaranteed = is_within(demand, &team.guaranteed);
            self.placement.priority_inputs.get_mut(ix).guaranteed = guaranteed;
            any_guaranteed |= guaranteed;
        }
        self.placement.priority_inputs.present.guaranteed = any_guaranteed;
    }

    fn team_usage(&self, team: TeamIx) -> Resources {
        self.quotas.usage.get(&team).copied().unwrap_or_default()
    }

    /// Returns whether the team's limit allows it to use `need` in addition.
    pub(in crate::coordination::leader) fn within_quota(&self, team: TeamIx, need: &Resources) -> bool {
        let Some(settings) = self.quotas.team_settings.get(&team) else {
            return false;
        };
        let mut usage = self.team_usage(team);
        usage.add(need);
        usage.fits_in(&settings.effective_limit())
    }

    /// Returns whether the team's guarantee covers `need` in addition to the team's usage.
    pub(super) fn within_guarantee(&self, team: TeamIx, need: &Resources) -> bool {
        let Some(settings) = self.quotas.team_settings.get(&team) else { return false };
        let mut usage = self.team_usage(team);
        usage.add(need);
        is_within(&usage, &settings.guaranteed)
    }

    /// Returns the capacity that other teams have borrowed, without the part that is being stopped already.
    pub(super) fn borrowed_by_others(&self, team: TeamIx) -> BorrowedCapacity<TeamIx, JobIx> {
        let mut borrowed = BorrowedCapacity::default();
        for (other, settings) in self.quotas.team_settings.iter().filter(|(other, _)| **other != team) {
            let stopping = self.quotas.stopping_usage.get(other).copied().unwrap_or_default();
            borrowed.add_team(
                *other,
                QuotaAmount::from(&self.team_usage(*other)),
                QuotaAmount::from(&stopping),
                QuotaAmount::from(&settings.guaranteed),
            );
        }
        borrowed
    }

    /// Returns the part of all teams' usage that is being stopped, as last counted.
    pub(super) fn total_stopping(&self) -> Resources {
        let mut total = Resources::default();
        for stopping in self.quotas.stopping_usage.values() {
            total.add(stopping);
        }
        total
    }

    /// Recounts the part of each team's usage that is being stopped.
    pub(super) fn recount_stopping(&mut self) {
        self.quotas.stopping_usage.clear();
        let bindings = self.cluster.machines.iter().flat_map(|machine| &machine.bindings);
        for binding in bindings.filter(|binding| binding.stop_grace_ms.is_some()) {
            if let Some(team) = binding.team {
                self.quotas.stopping_usage.entry(team).or_default().add(&binding.need);
            }
        }
    }
}

/// Returns whether the usage is within the guarantee. Guarantees cover CPUs and GPUs; memory does not count.
fn is_within(usage: &Resources, guaranteed: &Resources) -> bool {
    usage.cpu <= guaranteed.cpu && usage.gpu <= guaranteed.gpu
}
