//! Places gangs and services before all other work, and either all of their tasks or none.
//!
//! A gang starts on machines with enough free capacity. If there are too few, capacity is freed for it: tasks that are
//! less urgent or use borrowed capacity are stopped, or machines are held until their tasks have ended.

use std::collections::{BTreeMap, HashSet};

use crate::coordination::Clock;
use crate::coordination::leader::placement::policy::Rank;
use crate::coordination::leader::placement::reserved_machines::GangDemandByType;
use crate::coordination::leader::{JobState, Leader};
use crate::ids::{JobIx, MachineIx, Resources};
use crate::protocol::operators::JobEventKind;
use crate::protocol::users::JobKind;

pub use super::holds::{Hold, PlacementMethod};

/// The result of trying to place a gang in one pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GangOutcome {
    /// The gang has started, tasks are being stopped for it, or nothing is done for it because it is at fault.
    Settled,
    /// Stopping tasks would not free enough capacity, so the gang can only wait until tasks of other jobs end.
    Waiting,
}

impl JobState {
    /// Returns the unfinished tasks that are on no machine.
    pub(in crate::coordination::leader) fn unplaced_tasks(&self) -> Vec<u32> {
        self.finished.iter_missing().filter(|task| !self.placements.contains_key(task)).collect()
    }
}

impl Leader {
    /// Tries to place all waiting gangs, and reserves machines for those that have to keep waiting.
    pub(super) fn place_gangs(&mut self, clock: Clock) {
        self.recount_stopping();
        let ranks = self.gang_order();
        let holding_jobs: HashSet<JobIx> =
            self.placement.held_machines.iter().filter_map(|ix| self.holding_job(*ix)).collect();
        let mut unmet_demand = GangDemandByType::default();
        for rank in ranks {
            let tasks = self.workload.jobs.get(&rank.job).map(JobState::unplaced_tasks).unwrap_or_default();
            if tasks.is_empty() {
                self.placement.waiting_gangs.remove(&rank);
                continue;
            }
            if !self.may_place_gang(rank.job, tasks.len()) {
                continue;
            }
            let is_holding = holding_jobs.contains(&rank.job);
            let known_failure = !is_holding && self.is_known_gang_failure(rank.job, tasks.len(), clock);
            if (known_failure || self.place_gang(rank, &tasks, is_holding, clock) == GangOutcome::Waiting)
                && let Some(job) = self.workload.jobs.get(&rank.job)
            {
                self.record_gang_demand(job, tasks.len(), &mut unmet_demand);
            }
        }
        self.reserve_scarce_machines(&unmet_demand);
    }

    /// Returns whether the limits of the job's team and pool allow `count` more tasks and, for a gang, no task of an
    /// earlier attempt is left on a machine.
    fn may_place_gang(&self, job_ix: JobIx, count: usize) -> bool {
        let Some(job) = self.workload.jobs.get(&job_ix) else { return false };
        let has_old_attempt = job.spec.kind == JobKind::Gang && !job.placements.is_empty();
        let total_need = job.spec.task_resources.saturating_mul(count as u64);
        !has_old_attempt
            && self.pool_has_free_slots(job, count as u32)
            && self.within_quota(job.spec.team, &total_need)
    }

    fn is_known_gang_failure(&self, job_ix: JobIx, count: usize, clock: Clock) -> bool {
        let cache = &self.placement.gang_search_cache;
        self.workload
            .jobs
            .get(&job_ix)
            .is_some_and(|job| cache.is_known_failure(job, count, self.capacity_growth_count(job), clock.now))
    }

    fn place_gang(&mut self, rank: Rank, tasks: &[u32], is_holding: bool, clock: Clock) -> GangOutcome {
        let count = tasks.len();
        self.counters.gang_searches += 2;
        let free = self.find_gang_placement(rank.job, count, PlacementMethod::Free, clock);
        if free.is_none() && self.workload.jobs.get(&rank.job).is_some_and(|job| self.is_at_fault(job)) {
            // The job has failed on several machines and succeeded on none, so no task is stopped and no machine is
            // held for it.
            return GangOutcome::Settled;
        }
        let after_preemption = self.find_gang_placement(rank.job, count, PlacementMethod::Preempt, clock);
        // Starting on free capacity can take longer than preempting, as the image may have to be fetched first.
        if let Some(free) = free
            && after_preemption.as_ref().is_none_or(|preempting| free.delay_ms <= preempting.delay_ms)
        {
            self.start_gang(rank, tasks, &free.machines);
            return GangOutcome::Settled;
        }
        // If stopping tasks frees enough capacity, they are stopped. Otherwise the gang waits until tasks end.
        if let Some(preempting) = after_preemption {
            self.hold_machines(rank.job, &preempting.machines, PlacementMethod::Preempt, clock);
            return GangOutcome::Settled;
        }
        // A gang that already holds machines waits for these and does not hold others in addition.
        if !is_holding {
            self.drain_for_gang(rank.job, count, clock);
        }
        GangOutcome::Waiting
    }

    fn start_gang(&mut self, rank: Rank, tasks: &[u32], machines: &[MachineIx]) {
        let attempt = self.term.next_attempt();
        for (task, machine_ix) in tasks.iter().zip(machines) {
            self.bind(*machine_ix, rank.job, *task, attempt);
        }
        self.release_holds_of(rank.job);
        self.placement.waiting_gangs.remove(&rank);
    }

    /// Holds machines whose tasks end soon enough. If there are not enough of them, records the failed search, so
    /// that it is not repeated too soon.
    fn drain_for_gang(&mut self, job_ix: JobIx, count: usize, clock: Clock) {
        self.counters.gang_searches += 1;
        if let Some(found) = self.find_gang_placement(job_ix, count, PlacementMethod::Drain, clock) {
            self.hold_machines(job_ix, &found.machines, PlacementMethod::Drain, clock);
        } else if let Some(job) = self.workload.jobs.get(&job_ix) {
            let capacity_growth_count = self.capacity_growth_count(job);
            self.placement.gang_search_cache.record_failure(job, count, capacity_growth_count, clock.now);
        }
    }

    /// Holds the machines for a gang, and stops tasks on them if the method is preemption.
    fn hold_machines(
        &mut self,
        job_ix: JobIx,
        machines: &[MachineIx],
        method: PlacementMethod,
        clock: Clock,
    ) {
        // Preemption replaces a drain for the same gang, but a drain never replaces preemption.
        let is_held_already = |ix: &MachineIx| {
            let hold = self.cluster.machines[ix.index()].hold;
            hold.is_some_and(|hold| hold.job == job_ix && hold.method <= method)
        };
        if self.placement.held_machines.iter().any(is_held_already) {
            return;
        }
        let Some(job) = self.workload.jobs.get(&job_ix) else {
            return;
        };
        let need = job.spec.task_resources;
        let hold = Hold { job: job_ix, until: clock.now.saturating_add(self.machine_hold_ms()), method };
        let mut tasks_per_machine: BTreeMap<MachineIx, u64> = BTreeMap::new();
        for machine_ix in machines {
            *tasks_per_machine.entry(*machine_ix).or_default() += 1;
        }
        for (machine_ix, tasks) in tasks_per_machine {
            // The machine is held before its tasks are stopped, so that none of them is queued there again.
            let previous_hold = self.cluster.machines[machine_ix.index()].hold.replace(hold);
            if method == PlacementMethod::Preempt
                && !self.preempt_for_gang(machine_ix, &need.saturating_mul(tasks), job_ix, clock)
            {
                self.cluster.machines[machine_ix.index()].hold = previous_hold;
                continue;
            }
            self.placement.held_machines.insert(machine_ix);
        }
    }

    /// Stops tasks on the machine so that `need` fits. If stopping all tasks that may be stopped does not suffice,
    /// stops none and returns false.
    fn preempt_for_gang(
        &mut self,
        machine_ix: MachineIx,
        need: &Resources,
        job_ix: JobIx,
        clock: Clock,
    ) -> bool {
        let Some(job) = self.workload.jobs.get(&job_ix) else { return false };
        let policy = self.preemption_policy(job, clock);
        let machine = &self.cluster.machines[machine_ix.index()];
        let plan = self.plan_preemption(machine, need, &policy, clock);
        if !need.fits_in(&plan.free) {
            return false;
        }
        for victim in plan.victims {
            self.stop_task(machine_ix, victim.binding_index, JobEventKind::StoppedForPreemption);
            self.counters.preempted_tasks += 1;
        }
        self.drop_unsent_bindings(machine_ix, clock);
        true
    }
}
