//! What teams may use, are guaranteed and have borrowed.

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
    /// What teams may use and are guaranteed from now on: the platform's settings, lowered by the configuration where
    /// that is turned on. What runs above a lowered limit is left running.
    pub fn apply_config(&mut self, cache: &mut StoreCache) {
        let settings = self.settings.clone();
        let mut raised = false;
        for platform in &settings.teams {
            let effective = if self.tunables.config.enabled {
                cache.config.effective_team(platform)
            } else {
                platform.clone()
            };
            let team = cache.names.teams.intern(&platform.name);
            let limit = effective.effective_limit();
            let before = self.quotas.team_settings.insert(team, effective);
            raised |= before.is_some_and(|before| before.effective_limit().cpu < limit.cpu);
        }
        if raised {
            self.retry_all_placements();
        }
    }

    /// Tasks that a limit kept from starting may start now, wherever there is room.
    fn retry_all_placements(&mut self) {
        for at in 0..self.cluster.machines.len() {
            self.cluster.placement_index.mark_to_fill(MachineIx(at as u32));
        }
        self.cluster.placement_index.recheck_backlog = true;
        self.placement.gang_search_not_before = Millis::default();
        self.placement.gang_search_cache = GangSearchCache::default();
    }

    /// Which jobs fit into their teams' guarantees together with what is left of the teams'
    /// earlier ones: they need not wait for other teams, or for their own team's later jobs.
    pub fn update_guaranteed_jobs(&mut self) {
        let mut jobs: Vec<(JobIx, &JobState)> =
            self.workload.jobs.iter().map(|(ix, work)| (*ix, work)).collect();
        jobs.sort_by_key(|(_, work)| work.spec.accepted_revision);
        let mut taken: HashMap<TeamIx, Resources> = HashMap::new();
        let mut any_guaranteed = false;
        for (ix, work) in jobs {
            // What fails wherever it is tried takes nothing of its team's guarantee from good work.
            if work.probation.is_some() {
                self.placement.priority_inputs.get_mut(ix).guaranteed = false;
                continue;
            }
            let Some(team) = self.quotas.team_settings.get(&work.spec.team) else { continue };
            let team_total = taken.entry(work.spec.team).or_default();
            team_total.add(&work.spec.task_resources.saturating_mul(u64::from(work.unfinished_tasks())));
            let guaranteed = team_total.cpu <= team.guaranteed.cpu && team_total.gpu <= team.guaranteed.gpu;
            self.placement.priority_inputs.get_mut(ix).guaranteed = guaranteed;
            any_guaranteed |= guaranteed;
        }
        self.placement.priority_inputs.present.guaranteed = any_guaranteed;
    }

    fn team_usage(&self, team: TeamIx) -> Resources {
        self.quotas.usage.get(&team).copied().unwrap_or_default()
    }

    /// Has the team room for that much more?
    pub fn within_quota(&self, team: TeamIx, need: &Resources) -> bool {
        let Some(settings) = self.quotas.team_settings.get(&team) else {
            return false;
        };
        let mut used = self.team_usage(team);
        used.add(need);
        used.fits_in(&settings.effective_limit())
    }

    /// Would the team still be within what it is guaranteed?
    pub fn within_guarantee(&self, team: TeamIx, need: &Resources) -> bool {
        let Some(settings) = self.quotas.team_settings.get(&team) else { return false };
        let used = self.team_usage(team);
        used.cpu + need.cpu <= settings.guaranteed.cpu && used.gpu + need.gpu <= settings.guaranteed.gpu
    }

    /// What other teams have borrowed and is not being stopped already.
    pub fn borrowed_by_others(&self, team: TeamIx) -> BorrowedCapacity<TeamIx, JobIx> {
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

    /// What of all teams' use has been told to stop, when that was last counted.
    pub fn total_stopping(&self) -> Resources {
        let mut all = Resources::default();
        self.quotas.stopping_usage.values().for_each(|amount| all.add(amount));
        all
    }

    /// What of each team's use has been told to stop, counted anew.
    pub fn recount_stopping(&mut self) {
        self.quotas.stopping_usage.clear();
        let stopping = self
            .cluster
            .machines
            .iter()
            .flat_map(|machine| &machine.bindings)
            .filter(|b| b.stop_grace_ms.is_some());
        for binding in stopping {
            if let Some(team) = binding.team {
                self.quotas.stopping_usage.entry(team).or_default().add(&binding.need);
            }
        }
    }
}
