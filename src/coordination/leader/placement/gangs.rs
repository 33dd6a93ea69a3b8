//! Places gangs and services: before all other work, and all of their tasks or none.
//!
//! A gang starts where there is room, else room is made for it: less urgent or borrowing tasks are stopped, or machines
//! are held until their tasks have ended.

use std::collections::{BTreeMap, HashSet};

use crate::coordination::Clock;
use crate::coordination::leader::placement::policy::Rank;
use crate::coordination::leader::placement::reserved_machines::GangDemandByType;
use crate::coordination::leader::{JobState, Leader};
use crate::ids::{JobIx, MachineIx, Resources};
use crate::protocol::operators::JobEventKind;
use crate::protocol::users::JobKind;

pub use super::holds::{Hold, PlacementMethod};

/// What became of a gang in one pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GangOutcome {
    /// It has started, room is being made for it, or nothing more is done for it.
    Settled,
    /// It can only wait for the tasks of others to end.
    Waiting,
}

impl JobState {
    /// Unfinished tasks that are on no machine.
    pub(in crate::coordination::leader) fn unplaced_tasks(&self) -> Vec<u32> {
        self.finished.iter_missing().filter(|task| !self.placements.contains_key(task)).collect()
    }
}

impl Leader {
    /// Tries all waiting gangs and reserves machines for those that must go on waiting.
    pub(super) fn place_gangs(&mut self, clock: Clock) {
        self.recount_stopping();
        let ranks = self.gang_order();
        let holders: HashSet<JobIx> =
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
            let is_holding = holders.contains(&rank.job);
            let known_failure = !is_holding && self.is_known_gang_failure(rank.job, tasks.len(), clock);
            if (known_failure || self.place_gang(rank, &tasks, is_holding, clock) == GangOutcome::Waiting)
                && let Some(job) = self.workload.jobs.get(&rank.job)
            {
                self.record_gang_demand(job, tasks.len(), &mut unmet_demand);
            }
        }
        self.reserve_scarce_machines(&unmet_demand);
    }

    /// Whether the limits of its team and pool allow all tasks, and no task of an earlier attempt is left.
    fn may_place_gang(&self, job_ix: JobIx, count: usize) -> bool {
        let Some(job) = self.workload.jobs.get(&job_ix) else { return false };
        let has_old_attempt = job.spec.kind == JobKind::Gang && !job.placements.is_empty();
        let total_need = job.spec.task_resources.saturating_mul(count as u64);
        !has_old_attempt
            && self.pool_has_room(job, count as u32)
            && self.within_quota(job.spec.team, &total_need)
    }

    fn is_known_gang_failure(&self, job_ix: JobIx, count: usize, clock: Clock) -> bool {
        let cache = &self.placement.gang_search_cache;
        self.workload
            .jobs
            .get(&job_ix)
            .is_some_and(|job| cache.is_known_failure(job, count, self.room_generation(job), clock.now))
    }

    fn place_gang(&mut self, rank: Rank, tasks: &[u32], is_holding: bool, clock: Clock) -> GangOutcome {
        let count = tasks.len();
        self.counters.gang_searches += 2;
        let free = self.find_gang_placement(rank.job, count, PlacementMethod::Free, clock);
        if free.is_none() && self.workload.jobs.get(&rank.job).is_some_and(JobState::is_at_fault) {
            // It has failed wherever it was tried: no task is stopped and no machine held for it.
            return GangOutcome::Settled;
        }
        let after_preemption = self.find_gang_placement(rank.job, count, PlacementMethod::Preempt, clock);
        // Free room may cost more time than room to be made: an image has to be fetched.
        if let Some(free) = free
            && after_preemption.as_ref().is_none_or(|preempting| free.delay_ms <= preempting.delay_ms)
        {
            self.start_gang(rank, tasks, &free.machines);
            return GangOutcome::Settled;
        }
        // Only a gang that may stop no tasks waits for them to end.
        if let Some(preempting) = after_preemption {
            self.make_room(rank.job, &preempting.machines, PlacementMethod::Preempt, clock);
            return GangOutcome::Settled;
        }
        // A gang that already holds machines waits for their room, not for that of still others.
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

    /// Holds machines whose tasks end soon enough; if there are none, the gang is not searched for again too soon.
    fn drain_for_gang(&mut self, job_ix: JobIx, count: usize, clock: Clock) {
        self.counters.gang_searches += 1;
        if let Some(found) = self.find_gang_placement(job_ix, count, PlacementMethod::Drain, clock) {
            self.make_room(job_ix, &found.machines, PlacementMethod::Drain, clock);
        } else if let Some(job) = self.workload.jobs.get(&job_ix) {
            let room_generation = self.room_generation(job);
            self.placement.gang_search_cache.record_failure(job, count, room_generation, clock.now);
        }
    }

    /// Holds machines for a gang, and stops tasks on them if that is the method.
    fn make_room(&mut self, job_ix: JobIx, machines: &[MachineIx], method: PlacementMethod, clock: Clock) {
        // A drain is replaced by preemption, never the other way round.
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
            // Held before tasks are stopped, so that none of them is queued there again.
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

    /// Stops tasks until `need` fits. Returns false and stops none if it cannot be made to fit.
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
        if !need.fits_in(&plan.room) {
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
