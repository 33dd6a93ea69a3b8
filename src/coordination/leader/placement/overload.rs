//! What changes in the order of service while not all can be served in time: floors for parties that are behind, small
//! gangs first. docs/overload.md argues for it.

use std::collections::BTreeMap;

use olivelatch_admission::service_window::WaitingShare;

use crate::coordination::Clock;
use crate::coordination::leader::placement::policy::Rank;
use crate::coordination::leader::{DEFAULT_SLO_MS, JobState, Leader, MachineState};
use crate::ids::{ClassIx, JobIx, MachineTypeIx, TeamIx};
use crate::protocol::users::PriorityClass;

/// Who is owed a floor: the jobs of a class that a team owns.
pub type TeamClass = (TeamIx, ClassIx);

/// What was started within so many milliseconds counts.
pub const SERVICE_WINDOW_MS: u64 = 60_000;
/// A party below this part of its weight comes forward.
const MINIMUM_SHARE: f64 = 0.5;

impl Leader {
    /// A task of the job starts.
    pub fn record_start(&mut self, job: JobIx) {
        if let Some(work) = self.workload.jobs.get(&job) {
            let amount = work.spec.task_resources.cpu.saturating_mul(work.expected_run_ms()) / 1000;
            self.placement.recently_served.record((work.spec.team, work.spec.class), amount);
        }
    }

    /// Which jobs have missed all their aims or will, and which parties have such jobs waiting and are below their floor.
    pub fn update_past_slo_jobs(&mut self, clock: Clock) {
        self.placement.recently_served.advance_to(clock.now.0);
        let past_slo = self.past_slo_jobs(clock);
        let mut waiting: BTreeMap<TeamClass, bool> = BTreeMap::new();
        for (ix, work) in self.workload.jobs.iter().filter(|(_, work)| work.has_waiting_tasks()) {
            *waiting.entry((work.spec.team, work.spec.class)).or_default() |= past_slo.contains_key(ix);
        }
        let waiting_shares: Vec<WaitingShare<TeamClass>> = waiting
            .keys()
            .map(|party| WaitingShare { key: *party, weight: self.team_weight(party.0) })
            .collect();
        let mut below_minimum =
            self.placement.recently_served.below_minimum_share(&waiting_shares, MINIMUM_SHARE);
        below_minimum
            .retain(|party| self.tunables.overload.overload_ordering && waiting.get(party) == Some(&true));
        (
            self.placement.priority_inputs.present.past_slo,
            self.placement.priority_inputs.present.below_minimum_share,
        ) = (!past_slo.is_empty(), !below_minimum.is_empty());
        for (ix, work) in &self.workload.jobs {
            let inputs = self.placement.priority_inputs.get_mut(*ix);
            inputs.past_slo_work = past_slo.get(ix).copied();
            inputs.below_minimum_share = below_minimum.contains(&(work.spec.team, work.spec.class));
        }
    }

    /// Jobs whose last aim has passed, and array jobs that could not meet theirs even if all smaller ones went first and
    /// nothing of what is put off came in between (Moore's rule for the fewest late jobs): with the work left of each.
    fn past_slo_jobs(&self, clock: Clock) -> BTreeMap<JobIx, u64> {
        let mut past_slo = BTreeMap::new();
        let mut arrays: Vec<(PriorityClass, u64, JobIx, u64)> = Vec::new();
        for (ix, work) in &self.workload.jobs {
            let left = remaining_work(work);
            if self.is_past_slo(work, clock) {
                past_slo.insert(*ix, if self.tunables.overload.overload_ordering { left } else { 0 });
            } else if self.tunables.overload.overload_ordering
                && !work.spec.is_all_or_nothing()
                && work.probation.is_none()
            {
                arrays.push((work.spec.urgency, left, *ix, self.time_to_last_objective_ms(work, clock)));
            }
        }
        arrays.sort_unstable();
        let cpus = self.cpu_for_arrays().max(1);
        let mut ahead = 0;
        for (_, left, ix, time_left_ms) in arrays {
            if left.saturating_add(ahead).saturating_mul(1000) / cpus > time_left_ms {
                past_slo.insert(ix, left);
            } else {
                ahead = left.saturating_add(ahead);
            }
        }
        past_slo
    }

    /// From now until the job's deadline, or the last aim of its class.
    fn time_to_last_objective_ms(&self, work: &JobState, clock: Clock) -> u64 {
        let until =
            work.spec.slo_wall_ms.or(self.longest_slo_ms(work).map(|aim| work.spec.accepted_wall_ms + aim));
        until.map_or(u64::MAX, |until| until.saturating_sub(clock.wall_ms))
    }

    /// Of the machines there and those coming, in thousandths of CPUs.
    pub fn fleet_cpu(&self) -> u64 {
        let present = self
            .cluster
            .machines
            .iter()
            .filter(|machine| machine.state != MachineState::Gone && !machine.returning);
        present.map(|machine| machine.capacity.cpu).sum()
    }

    /// What of them gangs do not use.
    fn cpu_for_arrays(&self) -> u64 {
        let gangs = self.workload.jobs.values().filter(|work| work.spec.is_all_or_nothing());
        let used: u64 = gangs.map(|work| work.spec.task_resources.cpu * work.placements.len() as u64).sum();
        self.fleet_cpu().saturating_sub(used)
    }

    /// A team counts by what it is guaranteed; one without a guarantee a little.
    fn team_weight(&self, team: TeamIx) -> u64 {
        let cpu =
            self.quotas.team_settings.get(&team).map_or(0, |team| team.guaranteed.cpu + team.guaranteed.gpu);
        let all: u64 =
            self.quotas.team_settings.values().map(|team| team.guaranteed.cpu + team.guaranteed.gpu).sum();
        cpu.max(all / 20).max(1)
    }

    /// The order in which waiting gangs are tried: by rank, unless they are so many for the machines that fit them that
    /// one that came now would not even start before its aims had passed. Then those of parties that are behind come
    /// first, and small ones before large ones that came only a little earlier, so that more of them end.
    pub fn gang_order(&self) -> Vec<Rank> {
        let mut ranks: Vec<Rank> = self.placement.waiting_gangs.iter().copied().collect();
        let excess_backlog_ms =
            self.gang_backlog_ms(&ranks).filter(|_| self.tunables.overload.overload_ordering);
        let Some(backlog_ms) = excess_backlog_ms else { return ranks };
        log::debug!("gangs are too many: {backlog_ms} ms ahead of the next");
        ranks.sort_by_cached_key(|rank| {
            let work = self.workload.jobs.get(&rank.job);
            let due = work.map_or(0, |work| {
                let own = u64::from(work.unfinished_tasks()).saturating_mul(work.expected_run_ms());
                work.spec.accepted_wall_ms.saturating_add(own)
            });
            (!self.placement.priority_inputs.get(rank.job).below_minimum_share, rank.urgency(), due, *rank)
        });
        ranks
    }

    /// Milliseconds that the machines of some type are busy with the gangs that wait for it, if that is too many.
    fn gang_backlog_ms(&self, ranks: &[Rank]) -> Option<u64> {
        let mut ahead: BTreeMap<MachineTypeIx, (u64, u64)> = BTreeMap::new();
        for work in ranks.iter().filter_map(|rank| self.workload.jobs.get(&rank.job)) {
            let objective_ms = self.longest_slo_ms(work).unwrap_or(DEFAULT_SLO_MS);
            let own = (work.unplaced_tasks().len() as u64).saturating_mul(work.expected_run_ms());
            let machine_types = self.machine_types_for(work);
            for kind in &machine_types {
                let slots = self
                    .cluster
                    .machine_types
                    .get(kind)
                    .map_or(0, |kind| work.spec.task_resources.max_count_in(&kind.capacity).min(1_000));
                let (busy, least) = ahead.entry(*kind).or_insert((0, u64::MAX));
                *busy = busy.saturating_add(own / slots.max(1) / machine_types.len() as u64);
                *least = (*least).min(objective_ms);
            }
        }
        let late = ahead.into_iter().filter_map(|(kind, (busy, least))| {
            let machines =
                self.cluster.placement_index.open_matching(|other, _| other == kind).count() as u64;
            let wait = busy / machines.max(1);
            (machines > 0 && wait > least).then_some(wait)
        });
        late.max()
    }
}

/// CPU milliseconds that it still needs, in thousandths of CPUs.
fn remaining_work(work: &JobState) -> u64 {
    work.spec
        .task_resources
        .cpu
        .saturating_mul(u64::from(work.unfinished_tasks()))
        .saturating_mul(work.expected_run_ms())
        / 1000
}
