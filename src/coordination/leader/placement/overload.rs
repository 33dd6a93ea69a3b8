//! The order of service while not all jobs can meet their objectives: team classes below their minimum share come
//! first, and small gangs come before large ones. docs/overload.md gives the reasons.

use std::collections::{BTreeMap, BTreeSet};

use olivelatch_admission::service_window::WaitingKey;

use crate::coordination::Clock;
use crate::coordination::leader::placement::policy::Rank;
use crate::coordination::leader::placement::{MAX_EXPECTED_SLOTS, MILLI};
use crate::coordination::leader::{DEFAULT_SLO_MS, JobState, Leader, MachineState};
use crate::ids::{ClassIx, JobIx, MachineTypeIx, TeamIx};
use crate::protocol::users::PriorityClass;

/// A team and a job class. Minimum shares are assigned to the jobs of a class that belong to one team.
pub type TeamClass = (TeamIx, ClassIx);

/// Minimum shares are computed from the service within this time.
pub(super) const SERVICE_WINDOW_MS: u64 = 60_000;
/// A team class that got less than this fraction of its share by weight is served first.
const MINIMUM_SHARE: f64 = 0.5;
/// The weight of a team without a guarantee is the sum of all guarantees divided by this.
const UNGUARANTEED_WEIGHT_DIVISOR: u64 = 20;

/// An array job that has not missed its last objective. The order of the fields is the order in which such jobs are
/// assumed to run: by priority class, then with the least remaining work first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ArrayWork {
    priority_class: PriorityClass,
    /// CPU milliseconds.
    remaining_work: u64,
    job_ix: JobIx,
    /// Time until the job's last objective.
    time_left_ms: u64,
}

/// Gangs that wait for machines of one type.
struct GangBacklog {
    /// Machine time that the gangs need, in milliseconds.
    machine_ms: u64,
    /// The smallest last objective of these gangs, in milliseconds from acceptance.
    objective_ms: u64,
}

impl Leader {
    /// Records a task start of the job as service to its team class: the expected CPU milliseconds of the task.
    pub(super) fn record_start(&mut self, job_ix: JobIx) {
        if let Some(job) = self.workload.jobs.get(&job_ix) {
            let cpu_ms = job.spec.task_resources.cpu.saturating_mul(job.expected_run_ms()) / MILLI;
            self.placement.recently_served.record((job.spec.team, job.spec.class), cpu_ms);
        }
    }

    /// Updates which jobs have missed their objectives or are expected to, and which team classes have such jobs
    /// waiting and are below their minimum share.
    pub(in crate::coordination::leader) fn update_past_slo_jobs(&mut self, clock: Clock) {
        self.placement.recently_served.advance_to(clock.now.0);
        let past_slo = self.past_slo_jobs(clock);
        let below_minimum = self.classes_below_minimum_share(&past_slo);
        let inputs = &mut self.placement.priority_inputs;
        inputs.present.past_slo = !past_slo.is_empty();
        inputs.present.below_minimum_share = !below_minimum.is_empty();
        for (ix, job) in &self.workload.jobs {
            let job_inputs = inputs.get_mut(*ix);
            job_inputs.past_slo_work = past_slo.get(ix).copied();
            job_inputs.below_minimum_share = below_minimum.contains(&(job.spec.team, job.spec.class));
        }
    }

    /// Returns the team classes that are below their minimum share and have a waiting job past its objectives.
    fn classes_below_minimum_share(&self, past_slo: &BTreeMap<JobIx, u64>) -> BTreeSet<TeamClass> {
        if !self.tunables.overload.overload_ordering {
            return BTreeSet::new();
        }
        let mut has_past_slo: BTreeMap<TeamClass, bool> = BTreeMap::new();
        for (ix, job) in self.workload.jobs.iter().filter(|(_, job)| job.has_waiting_tasks()) {
            *has_past_slo.entry((job.spec.team, job.spec.class)).or_default() |= past_slo.contains_key(ix);
        }
        let waiting: Vec<WaitingKey<TeamClass>> = has_past_slo
            .keys()
            .map(|class| WaitingKey { key: *class, weight: self.team_weight(class.0) })
            .collect();
        let mut below = self.placement.recently_served.below_minimum_share(&waiting, MINIMUM_SHARE);
        below.retain(|class| has_past_slo.get(class) == Some(&true));
        below
    }

    /// Returns the jobs past their objectives with the remaining work of each: jobs whose last objective has passed,
    /// and array jobs that could not meet theirs even if only more urgent and smaller array jobs that can meet their
    /// own objectives ran before them (after Moore's rule for the fewest late jobs).
    fn past_slo_jobs(&self, clock: Clock) -> BTreeMap<JobIx, u64> {
        let overload_ordering = self.tunables.overload.overload_ordering;
        let mut past_slo = BTreeMap::new();
        let mut arrays: Vec<ArrayWork> = Vec::new();
        for (ix, job) in &self.workload.jobs {
            let remaining_work = remaining_work(job);
            if self.is_past_slo(job, clock) {
                past_slo.insert(*ix, if overload_ordering { remaining_work } else { 0 });
            } else if overload_ordering && !job.spec.is_all_or_nothing() && job.probation.is_none() {
                let time_left_ms = self.time_to_last_objective_ms(job, clock);
                arrays.push(ArrayWork {
                    priority_class: job.spec.priority_class,
                    remaining_work,
                    job_ix: *ix,
                    time_left_ms,
                });
            }
        }
        arrays.sort_unstable();
        let cpu = self.cpu_for_arrays().max(1);
        let mut work_ahead: u64 = 0;
        for array in arrays {
            let work_until_done = work_ahead.saturating_add(array.remaining_work);
            if work_until_done.saturating_mul(MILLI) / cpu > array.time_left_ms {
                past_slo.insert(array.job_ix, array.remaining_work);
            } else {
                work_ahead = work_until_done;
            }
        }
        past_slo
    }

    /// Returns the time from now until the job's deadline or, if it has none, the last objective of its class.
    fn time_to_last_objective_ms(&self, job: &JobState, clock: Clock) -> u64 {
        let class_slo = self.longest_slo_ms(job).map(|slo_ms| job.spec.accepted_wall_ms + slo_ms);
        let last = job.spec.slo_wall_ms.or(class_slo);
        last.map_or(u64::MAX, |last| last.saturating_sub(clock.wall_ms))
    }

    /// Returns the CPUs of all machines that are present or booting and not being returned, in thousandths.
    pub(super) fn fleet_cpu(&self) -> u64 {
        let machines = self.cluster.machines.iter();
        machines
            .filter(|machine| machine.state != MachineState::Gone && !machine.returning)
            .map(|machine| machine.capacity.cpu)
            .sum()
    }

    /// Returns the CPUs of the fleet that placed gangs and services do not use, in thousandths.
    fn cpu_for_arrays(&self) -> u64 {
        let gangs = self.workload.jobs.values().filter(|job| job.spec.is_all_or_nothing());
        let used: u64 = gangs.map(|job| job.spec.task_resources.cpu * job.placements.len() as u64).sum();
        self.fleet_cpu().saturating_sub(used)
    }

    /// Returns the weight of a team: its guaranteed CPUs and GPUs, but at least a small part of all guarantees.
    fn team_weight(&self, team: TeamIx) -> u64 {
        let teams = &self.quotas.team_settings;
        let own = teams.get(&team).map_or(0, |team| team.guaranteed.cpu + team.guaranteed.gpu);
        let all: u64 = teams.values().map(|team| team.guaranteed.cpu + team.guaranteed.gpu).sum();
        own.max(all / UNGUARANTEED_WEIGHT_DIVISOR).max(1)
    }

    /// Returns the order in which waiting gangs are tried: by rank, unless the backlog of gangs for the machines that
    /// fit them is so long that a gang that arrived now would not even start before its objectives had passed. In that
    /// case gangs of team classes below their minimum share come first, and small gangs come before large ones that
    /// arrived only a little earlier, so that more gangs complete.
    pub(super) fn gang_order(&self) -> Vec<Rank> {
        let mut ranks: Vec<Rank> = self.placement.waiting_gangs.iter().copied().collect();
        let excess_backlog_ms =
            self.gang_backlog_ms(&ranks).filter(|_| self.tunables.overload.overload_ordering);
        let Some(backlog_ms) = excess_backlog_ms else { return ranks };
        log::debug!("gang backlog exceeds the objective: {backlog_ms} ms");
        ranks.sort_by_cached_key(|rank| {
            let due_ms = self.workload.jobs.get(&rank.job).map_or(0, |job| {
                let total_run_ms = u64::from(job.unfinished_tasks()).saturating_mul(job.expected_run_ms());
                job.spec.accepted_wall_ms.saturating_add(total_run_ms)
            });
            let is_below_minimum = self.placement.priority_inputs.get(rank.job).below_minimum_share;
            (!is_below_minimum, rank.priority_class(), due_ms, *rank)
        });
        ranks
    }

    /// Returns the longest time, in milliseconds, for which the machines of one type would be busy with the gangs
    /// that wait for it, among the types for which that exceeds an objective of those gangs. None if there is no such
    /// type.
    fn gang_backlog_ms(&self, ranks: &[Rank]) -> Option<u64> {
        let excess = self.gang_backlogs(ranks).into_iter().filter_map(|(machine_type, backlog)| {
            let open = self.cluster.placement_index.schedulable_matching(|other, _| other == machine_type);
            let machines = open.count() as u64;
            let wait_ms = backlog.machine_ms / machines.max(1);
            (machines > 0 && wait_ms > backlog.objective_ms).then_some(wait_ms)
        });
        excess.max()
    }

    /// Returns the backlog of waiting gangs for each machine type that they fit.
    fn gang_backlogs(&self, ranks: &[Rank]) -> BTreeMap<MachineTypeIx, GangBacklog> {
        let mut backlogs: BTreeMap<MachineTypeIx, GangBacklog> = BTreeMap::new();
        for job in ranks.iter().filter_map(|rank| self.workload.jobs.get(&rank.job)) {
            let objective_ms = self.longest_slo_ms(job).unwrap_or(DEFAULT_SLO_MS);
            let task_ms = (job.unplaced_tasks().len() as u64).saturating_mul(job.expected_run_ms());
            let machine_types = self.machine_types_for(job);
            for ix in &machine_types {
                let machine_type = self.cluster.machine_types.get(ix);
                let slots = machine_type.map_or(0, |machine_type| {
                    job.spec.task_resources.max_count_in(&machine_type.capacity).min(MAX_EXPECTED_SLOTS)
                });
                // The work of a gang is divided equally among the types that it fits.
                let machine_ms = task_ms / slots.max(1) / machine_types.len() as u64;
                let backlog =
                    backlogs.entry(*ix).or_insert(GangBacklog { machine_ms: 0, objective_ms: u64::MAX });
                backlog.machine_ms = backlog.machine_ms.saturating_add(machine_ms);
                backlog.objective_ms = backlog.objective_ms.min(objective_ms);
            }
        }
        backlogs
    }
}

/// Returns the work that the job still needs, in CPU milliseconds.
fn remaining_work(job: &JobState) -> u64 {
    let task_work = job.spec.task_resources.cpu.saturating_mul(u64::from(job.unfinished_tasks()));
    task_work.saturating_mul(job.expected_run_ms()) / MILLI
}
