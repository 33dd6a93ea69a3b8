//! Which tasks a job may stop to make room, and what that costs.
//!
//! Only estimates: nothing is stopped here (`stop_tasks`).

use olivelatch_admission::borrowed::{BorrowedCapacity, QuotaAmount};

use crate::bookkeeping::jobs::JobSpec;
use crate::coordination::Clock;
use crate::coordination::leader::placement::MILLI;
use crate::coordination::leader::{Binding, JobState, Leader, Machine};
use crate::ids::{JobIx, Resources, TeamIx};
use crate::protocol::users::{JobKind, PriorityClass};

/// A team waits this long for room before it reclaims what others have borrowed: renting costs less than lost work.
const RECLAIM_DELAY_MS: u64 = 2_000;
/// About what a gang takes to be placed, fetch its image and start all its tasks once more.
const GANG_RESTART_MS: u64 = 10_000;

/// Which tasks a job may stop to make room.
pub(super) struct PreemptionPolicy {
    urgency: PriorityClass,
    team: TeamIx,
    /// What it may reclaim of what other teams have borrowed.
    borrowed: BorrowedCapacity<TeamIx, JobIx>,
}

impl PreemptionPolicy {
    pub(super) fn new(job: &JobState, borrowed: BorrowedCapacity<TeamIx, JobIx>) -> PreemptionPolicy {
        PreemptionPolicy { urgency: job.spec.urgency, team: job.spec.team, borrowed }
    }

    /// What may still be reclaimed.
    pub(super) fn borrowed(&self) -> &BorrowedCapacity<TeamIx, JobIx> {
        &self.borrowed
    }

    /// Reclaims what stopping the task takes of borrowed capacity; false if that is not borrowed any more.
    pub(super) fn reclaim(&mut self, cost: &PreemptionCost) -> bool {
        cost.borrowed_claim.is_none_or(|claim| claim.reclaim_from(&mut self.borrowed))
    }

    /// Whether it may stop tasks of this job, and what that reclaims.
    fn permission(&self, spec: &JobSpec, claim: BorrowedClaim) -> Permission {
        if spec.urgency > self.urgency {
            Permission::Granted
        } else if spec.team != self.team && self.borrowed.can_reclaim(claim.team, claim.amount) {
            Permission::Reclaims(claim)
        } else {
            Permission::Denied
        }
    }
}

enum Permission {
    /// The task is less urgent.
    Granted,
    /// The task's team has borrowed that much.
    Reclaims(BorrowedClaim),
    Denied,
}

/// Borrowed capacity that stopping a task reclaims.
#[derive(Debug, Clone, Copy)]
pub(super) struct BorrowedClaim {
    team: TeamIx,
    amount: QuotaAmount,
    /// The job, if all of it stops.
    whole_job: Option<JobIx>,
}

impl BorrowedClaim {
    /// Takes it off what is borrowed; false if so much is not borrowed any more.
    pub(super) fn reclaim_from(&self, borrowed: &mut BorrowedCapacity<TeamIx, JobIx>) -> bool {
        borrowed.reclaim(self.team, self.amount, self.whole_job)
    }
}

/// What stopping a task costs.
pub(super) struct PreemptionCost {
    /// How long it takes to save, in milliseconds.
    pub(super) save_ms: u64,
    /// CPU milliseconds lost, in thousandths of CPUs.
    pub(super) lost_work: u64,
    pub(super) borrowed_claim: Option<BorrowedClaim>,
}

/// A task of a machine that would be stopped.
pub(super) struct Victim {
    /// Its place in the machine's bindings.
    pub(super) binding_index: usize,
    pub(super) cost: PreemptionCost,
}

/// How a machine gets room by stopping tasks.
pub(super) struct PreemptionPlan {
    /// Free once the tasks have stopped; may be less than was wanted.
    pub(super) room: Resources,
    /// Some of the room is being freed already.
    pub(super) includes_stopping_tasks: bool,
    /// To be stopped in this order, the least lost work first.
    pub(super) victims: Vec<Victim>,
}

impl Leader {
    /// Less urgent tasks may be stopped and, to give the team its guarantee, what other teams have borrowed.
    pub(super) fn preemption_policy(&self, job: &JobState, clock: Clock) -> PreemptionPolicy {
        let total_need = job.spec.task_resources.saturating_mul(u64::from(job.unfinished_tasks()));
        let can_reclaim =
            has_waited_to_reclaim(job, clock) && self.within_guarantee(job.spec.team, &total_need);
        let borrowed =
            if can_reclaim { self.borrowed_by_others(job.spec.team) } else { BorrowedCapacity::default() };
        PreemptionPolicy::new(job, borrowed)
    }

    /// What stopping the task costs; None if it must not be stopped.
    pub(super) fn preemption_cost(
        &self,
        binding: &Binding,
        policy: &PreemptionPolicy,
        clock: Clock,
    ) -> Option<PreemptionCost> {
        let job_ix = binding.job?;
        let spec = &self.workload.jobs.get(&job_ix)?.spec;
        // A gang stops as a whole, and what it has fetched and set up is lost too. Otherwise gangs that borrow were
        // stopped again and again before they ran at all.
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

    /// The tasks to stop on a machine until `need` fits, or all that may be stopped if it does not.
    pub(super) fn plan_preemption(
        &self,
        machine: &Machine,
        need: &Resources,
        policy: &PreemptionPolicy,
        clock: Clock,
    ) -> PreemptionPlan {
        let mut room = machine.free();
        let mut includes_stopping_tasks = false;
        let mut candidates: Vec<Victim> = Vec::new();
        for (binding_index, binding) in machine.bindings.iter().enumerate() {
            if binding.stop_grace_ms.is_some() {
                room.add(&binding.need);
                includes_stopping_tasks = true;
            } else if let Some(cost) = self.preemption_cost(binding, policy, clock) {
                candidates.push(Victim { binding_index, cost });
            }
        }
        // The sort is stable: equal costs go by the order of the bindings.
        candidates.sort_by_key(|victim| (victim.cost.lost_work, victim.cost.save_ms));
        let mut borrowed = policy.borrowed.clone();
        let mut victims = Vec::new();
        for victim in candidates {
            if need.fits_in(&room) {
                break;
            }
            let claim = victim.cost.borrowed_claim;
            if claim.is_none_or(|claim| claim.reclaim_from(&mut borrowed)) {
                room.add(&machine.bindings[victim.binding_index].need);
                victims.push(victim);
            }
        }
        PreemptionPlan { room, includes_stopping_tasks, victims }
    }

    /// How long the task will still run, in milliseconds.
    pub(super) fn remaining_run_ms(&self, binding: &Binding, clock: Clock) -> u64 {
        self.remaining_cpu_ms(binding, clock) * MILLI / binding.need.cpu.max(1)
    }
}

/// Whether the job has waited long enough to reclaim what other teams have borrowed.
pub(super) fn has_waited_to_reclaim(job: &JobState, clock: Clock) -> bool {
    clock.wall_ms.saturating_sub(job.spec.accepted_wall_ms) >= RECLAIM_DELAY_MS
}
