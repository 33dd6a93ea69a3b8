//! Decides which tasks a job may stop to free capacity, and estimates what that costs.
//!
//! Nothing is stopped here; `stop_tasks` does that.

use olivelatch_admission::borrowed::{BorrowedCapacity, QuotaAmount};

use crate::bookkeeping::jobs::JobSpec;
use crate::coordination::Clock;
use crate::coordination::leader::{Binding, JobState, Leader, Machine};
use crate::ids::{JobIx, Resources, TeamIx};
use crate::protocol::users::{JobKind, PriorityClass};

/// Time for which a job waits for free capacity before it reclaims what other teams have borrowed. Renting a machine
/// costs less than lost work.
const RECLAIM_DELAY_MS: u64 = 2_000;
/// Approximate time until a stopped gang has been placed again, fetched its image and started all its tasks.
const GANG_RESTART_MS: u64 = 10_000;

/// The rules by which a job may stop tasks to free capacity.
pub(super) struct PreemptionPolicy {
    priority_class: PriorityClass,
    team: TeamIx,
    /// Capacity borrowed by other teams that the job may reclaim.
    borrowed: BorrowedCapacity<TeamIx, JobIx>,
}

impl PreemptionPolicy {
    pub(super) fn new(job: &JobState, borrowed: BorrowedCapacity<TeamIx, JobIx>) -> PreemptionPolicy {
        PreemptionPolicy { priority_class: job.spec.priority_class, team: job.spec.team, borrowed }
    }

    /// Returns the borrowed capacity that may still be reclaimed.
    pub(super) fn borrowed(&self) -> &BorrowedCapacity<TeamIx, JobIx> {
        &self.borrowed
    }

    /// Reclaims the borrowed capacity that stopping the task frees. Returns false if that much is no longer borrowed.
    pub(super) fn reclaim(&mut self, cost: &PreemptionCost) -> bool {
        cost.borrowed_claim.is_none_or(|claim| claim.reclaim_from(&mut self.borrowed))
    }

    /// Returns whether tasks of the job with this specification may be stopped, and whether that reclaims `claim`.
    fn permission(&self, spec: &JobSpec, claim: BorrowedClaim) -> Permission {
        if spec.priority_class > self.priority_class {
            Permission::Granted
        } else if spec.team != self.team && self.borrowed.can_reclaim(claim.team, claim.amount) {
            Permission::Reclaims(claim)
        } else {
            Permission::Denied
        }
    }
}

enum Permission {
    /// The task is less urgent, so it may be stopped without reclaiming anything.
    Granted,
    /// The task's team has borrowed this capacity, which stopping the task reclaims.
    Reclaims(BorrowedClaim),
    Denied,
}

/// Borrowed capacity that stopping a task reclaims.
#[derive(Debug, Clone, Copy)]
pub(super) struct BorrowedClaim {
    team: TeamIx,
    amount: QuotaAmount,
    /// The job, if all of its tasks stop together.
    whole_job: Option<JobIx>,
}

impl BorrowedClaim {
    /// Deducts the claim from what is borrowed. Returns false if that much is no longer borrowed.
    pub(super) fn reclaim_from(&self, borrowed: &mut BorrowedCapacity<TeamIx, JobIx>) -> bool {
        borrowed.reclaim(self.team, self.amount, self.whole_job)
    }
}

/// The cost of stopping a task.
pub(super) struct PreemptionCost {
    /// Time to save a checkpoint, in milliseconds; 0 if none is saved.
    pub(super) save_ms: u64,
    /// Lost work: thousandths of CPUs times milliseconds.
    pub(super) lost_work: u64,
    /// Borrowed capacity that stopping the task reclaims.
    pub(super) borrowed_claim: Option<BorrowedClaim>,
}

/// A task of a machine that would be stopped.
pub(super) struct Victim {
    /// Index of the task in the machine's bindings.
    pub(super) binding_index: usize,
    pub(super) cost: PreemptionCost,
}

/// A plan for freeing capacity of a machine by stopping tasks.
pub(super) struct PreemptionPlan {
    /// Free capacity once the victims have stopped; may be less than was needed.
    pub(super) free: Resources,
    /// Part of that capacity is still used by tasks that are already being stopped.
    pub(super) includes_stopping_tasks: bool,
    /// The tasks to stop, in this order: the least lost work first.
    pub(super) victims: Vec<Victim>,
}

impl Leader {
    /// Returns the rules for this job: it may stop less urgent tasks. If it has waited long enough and its team's
    /// guarantee covers all its unfinished tasks, it may also reclaim what other teams have borrowed.
    pub(super) fn preemption_policy(&self, job: &JobState, clock: Clock) -> PreemptionPolicy {
        let total_need = job.spec.task_resources.saturating_mul(u64::from(job.unfinished_tasks()));
        let can_reclaim =
            has_waited_to_reclaim(job, clock) && self.within_guarantee(job.spec.team, &total_need);
        let borrowed =
            if can_reclaim { self.borrowed_by_others(job.spec.team) } else { BorrowedCapacity::default() };
        PreemptionPolicy::new(job, borrowed)
    }

    /// Estimates the cost of stopping the task; None if it must not be stopped.
    pub(super) fn preemption_cost(
        &self,
        binding: &Binding,
        policy: &PreemptionPolicy,
        clock: Clock,
    ) -> Option<PreemptionCost> {
        let job_ix = binding.job?;
        let spec = &self.workload.jobs.get(&job_ix)?.spec;
        // A gang stops as a whole, and the time spent on fetching and starting is lost as well. Without counting
        // that, gangs on borrowed capacity were stopped repeatedly before they ran at all.
        let is_gang = spec.kind == JobKind::Gang;
        let (stopped_tasks, restart_ms) =
            if is_gang { (u64::from(spec.tasks), GANG_RESTART_MS) } else { (1, 0) };
        let claim = BorrowedClaim {
            team: spec.team,
            amount: QuotaAmount::from(&binding.need.saturating_mul(stopped_tasks)),
            whole_job: is_gang.then_some(job_ix),
        };
        let borrowed_claim = match policy.permission(spec, claim) {
            Permission::Granted => None,
            Permission::Reclaims(claim) => Some(claim),
            Permission::Denied => return None,
        };
        let saves = spec.checkpoint_interval_ms > 0 && binding.running_since.is_some();
        let (save_ms, lost_ms) = if saves {
            (spec.checkpoint_save_ms, spec.checkpoint_save_ms)
        } else {
            let since = binding.running_since.or(binding.fetching_since);
            (0, since.map_or(0, |since| clock.now.saturating_since(since)))
        };
        let lost_work = binding.need.cpu * (lost_ms + restart_ms) * stopped_tasks;
        Some(PreemptionCost { save_ms, lost_work, borrowed_claim })
    }

    /// Plans which tasks to stop on a machine until `need` fits. If it cannot fit, the plan holds all tasks that may be
    /// stopped.
    pub(super) fn plan_preemption(
        &self,
        machine: &Machine,
        need: &Resources,
        policy: &PreemptionPolicy,
        clock: Clock,
    ) -> PreemptionPlan {
        let mut free = machine.free();
        let mut includes_stopping_tasks = false;
        let mut candidates: Vec<Victim> = Vec::new();
        for (binding_index, binding) in machine.bindings.iter().enumerate() {
            if binding.stop_grace_ms.is_some() {
                free.add(&binding.need);
                includes_stopping_tasks = true;
            } else if let Some(cost) = self.preemption_cost(binding, policy, clock) {
                candidates.push(Victim { binding_index, cost });
            }
        }
        // The sort is stable: candidates of equal cost keep the order of the bindings.
        candidates.sort_by_key(|victim| (victim.cost.lost_work, victim.cost.save_ms));
        let mut borrowed = policy.borrowed.clone();
        let mut victims = Vec::new();
        for victim in candidates {
            if need.fits_in(&free) {
                break;
            }
            let claim = victim.cost.borrowed_claim;
            if claim.is_none_or(|claim| claim.reclaim_from(&mut borrowed)) {
                free.add(&machine.bindings[victim.binding_index].need);
                victims.push(victim);
            }
        }
        PreemptionPlan { free, includes_stopping_tasks, victims }
    }
}

/// Returns whether the job has waited long enough to reclaim what other teams have borrowed.
pub(super) fn has_waited_to_reclaim(job: &JobState, clock: Clock) -> bool {
    clock.wall_ms.saturating_sub(job.spec.accepted_wall_ms) >= RECLAIM_DELAY_MS
}
