//! Decides whether a task may start on a machine. Placement and [`explain`] share this one set of rules.
//!
//! The functions read the leader's state and change nothing.
//!
//! [`explain`]: crate::coordination::leader::explain

use crate::coordination::leader::{JobState, Leader, Machine};
use crate::ids::{JobIx, MachineIx, Resources};

/// A reason why a task cannot start on a machine. A task may start if there is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementBlocker {
    /// The task does not fit into the machine's free capacity.
    InsufficientCapacity,
    /// The machine is not up, has not acknowledged the leader's fencing token, does not receive commands, is being
    /// returned, quarantined or slow, or is about to be reclaimed.
    Unavailable,
    /// The job does not allow the machine's type or zone, or allows no spot machines.
    NotAllowed,
    /// The task would not fit even if the machine were empty.
    TooSmall,
    /// A task of the job has failed on the machine.
    FailedBefore,
    /// The job's zone rule excludes the machine's zone: all tasks must run in one zone, or at most half of them in
    /// each.
    ZoneRule,
    /// The task would exceed its team's limit.
    TeamLimit,
    /// The job's pool has no free slot.
    PoolFull,
    /// Best-effort tasks already use all the capacity that they may.
    BestEffortLimit,
}

impl PlacementBlocker {
    /// Returns whether this is a limit on all machines together: the task may start as soon as tasks on any machine
    /// end.
    fn is_cluster_wide_limit(self) -> bool {
        matches!(
            self,
            PlacementBlocker::TeamLimit | PlacementBlocker::PoolFull | PlacementBlocker::BestEffortLimit
        )
    }
}

/// The result of checking whether a task may start on a machine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartCheck {
    Allowed,
    /// Only a cluster-wide limit, or yielding to jobs for which tasks are being stopped, keeps the task from starting.
    Limited,
    /// The job's zone rule excludes the machine's zone. That changes when tasks of the job leave other machines.
    ZoneBlocked,
    Blocked,
}

impl Leader {
    /// Returns why tasks of this job cannot run on this machine, regardless of free capacity, zone rules and quotas.
    pub(in crate::coordination::leader) fn machine_blocker(
        &self,
        machine_ix: MachineIx,
        job: &JobState,
    ) -> Option<PlacementBlocker> {
        let machine = &self.cluster.machines[machine_ix.index()];
        if !machine.is_schedulable() {
            return Some(PlacementBlocker::Unavailable);
        }
        let is_excluded = job.excluded_machines.contains(&machine_ix);
        mismatch(machine, job).or(is_excluded.then_some(PlacementBlocker::FailedBefore))
    }

    /// Returns whether tasks of this job may run on this machine, regardless of free capacity, zone rules and quotas.
    pub(in crate::coordination::leader) fn is_eligible(&self, machine_ix: MachineIx, job: &JobState) -> bool {
        self.machine_blocker(machine_ix, job).is_none()
    }

    /// Returns why a task of this job cannot start now on this machine, whose free capacity is `free`.
    pub(in crate::coordination::leader) fn placement_blocker(
        &self,
        machine_ix: MachineIx,
        free: &Resources,
        job: &JobState,
    ) -> Option<PlacementBlocker> {
        if !job.spec.task_resources.fits_in(free) {
            return Some(PlacementBlocker::InsufficientCapacity);
        }
        if let Some(blocker) = self.machine_blocker(machine_ix, job) {
            return Some(blocker);
        }
        if !self.zone_rules_allow(machine_ix, job) {
            return Some(PlacementBlocker::ZoneRule);
        }
        if !self.within_quota(job.spec.team, &job.spec.task_resources) {
            return Some(PlacementBlocker::TeamLimit);
        }
        if !self.pool_has_free_slots(job, 1) {
            return Some(PlacementBlocker::PoolFull);
        }
        (self.best_effort_slots(job) == 0).then_some(PlacementBlocker::BestEffortLimit)
    }

    /// Checks whether a queued task of this job may start now on this machine, whose free capacity is `free`.
    pub(super) fn check_start(&self, machine_ix: MachineIx, free: &Resources, job_ix: JobIx) -> StartCheck {
        let Some(job) = self.workload.jobs.get(&job_ix) else { return StartCheck::Blocked };
        match self.placement_blocker(machine_ix, free, job) {
            None if self.yields_to_preemptor(job_ix, job) => StartCheck::Limited,
            None => StartCheck::Allowed,
            Some(blocker) if blocker.is_cluster_wide_limit() => StartCheck::Limited,
            Some(PlacementBlocker::ZoneRule) => StartCheck::ZoneBlocked,
            Some(_) => StartCheck::Blocked,
        }
    }

    /// Returns whether a queued task of this job may start now: neither the machine nor a limit prevents it.
    pub(super) fn can_start(&self, machine_ix: MachineIx, free: &Resources, job_ix: JobIx) -> bool {
        self.check_start(machine_ix, free, job_ix) == StartCheck::Allowed
    }
}

/// Returns why tasks of the job could not run on the machine even if it were empty and the job had never failed there.
pub(super) fn mismatch(machine: &Machine, job: &JobState) -> Option<PlacementBlocker> {
    if !job.spec.allows(machine.machine_type, machine.zone, machine.spot) {
        Some(PlacementBlocker::NotAllowed)
    } else if !job.spec.task_resources.fits_in(&machine.capacity) {
        Some(PlacementBlocker::TooSmall)
    } else {
        None
    }
}
