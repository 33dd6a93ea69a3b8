//! Whether a task may start on a machine: the one set of rules that placement acts on and [`explain`] counts.
//!
//! Reads the leader's state and changes nothing.
//!
//! [`explain`]: crate::coordination::leader::explain

use crate::coordination::leader::{JobState, Leader};
use crate::ids::{JobIx, MachineIx, Resources};

/// What keeps a task off a machine. A task may start where nothing does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementBlocker {
    /// The task does not fit into the free capacity.
    InsufficientRoom,
    /// Not up, not confirmed, unreachable for commands, being returned, quarantined, slow or about to be reclaimed.
    Unavailable,
    /// The job does not allow its type, its zone or spot machines.
    NotAllowed,
    /// The task would not fit into the empty machine.
    TooSmall,
    /// A task of the job has failed there.
    FailedBefore,
    /// One zone for all tasks, or at most half of them in one.
    ZoneRule,
    /// The team is at its limit.
    TeamLimit,
    /// The pool has no free slots.
    PoolFull,
    /// Best-effort tasks already use what they may.
    BestEffortLimit,
}

impl PlacementBlocker {
    /// A limit on all machines together: the task may start as soon as others end elsewhere.
    fn is_cluster_wide_limit(self) -> bool {
        matches!(
            self,
            PlacementBlocker::TeamLimit | PlacementBlocker::PoolFull | PlacementBlocker::BestEffortLimit
        )
    }
}

/// Whether a task may start on a machine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartCheck {
    Allowed,
    /// Only a limit that is not the machine's own, or preemption for more urgent work, keeps it from starting.
    Limited,
    Blocked,
}

impl Leader {
    /// What keeps a task of this job off this machine, leaving room and quota aside.
    pub(in crate::coordination::leader) fn machine_blocker(
        &self,
        machine_ix: MachineIx,
        job: &JobState,
    ) -> Option<PlacementBlocker> {
        let machine = &self.cluster.machines[machine_ix.index()];
        if !machine.is_schedulable() {
            Some(PlacementBlocker::Unavailable)
        } else if !job.spec.allows(machine.machine_type, machine.zone, machine.spot) {
            Some(PlacementBlocker::NotAllowed)
        } else if !job.spec.task_resources.fits_in(&machine.capacity) {
            Some(PlacementBlocker::TooSmall)
        } else if job.failed_on.contains(&machine_ix) {
            Some(PlacementBlocker::FailedBefore)
        } else {
            None
        }
    }

    /// Whether a task of this job may start on this machine, leaving room and quota aside.
    pub(super) fn is_eligible(&self, machine_ix: MachineIx, job: &JobState) -> bool {
        self.machine_blocker(machine_ix, job).is_none()
    }

    /// What keeps a task of this job from starting now on a machine with this much free capacity.
    pub(in crate::coordination::leader) fn placement_blocker(
        &self,
        machine_ix: MachineIx,
        free: &Resources,
        job: &JobState,
    ) -> Option<PlacementBlocker> {
        if !job.spec.task_resources.fits_in(free) {
            return Some(PlacementBlocker::InsufficientRoom);
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
        if !self.pool_has_room(job, 1) {
            return Some(PlacementBlocker::PoolFull);
        }
        (self.best_effort_slots(job) == 0).then_some(PlacementBlocker::BestEffortLimit)
    }

    /// The zone rules, applied to every machine where a task of the job may still be.
    pub(super) fn zone_rules_allow(&self, machine_ix: MachineIx, job: &JobState) -> bool {
        let zone = self.cluster.machines[machine_ix.index()].zone;
        // After a failover there may be records of two zones, one of them stale: neither is allowed until one is empty.
        if job.spec.single_zone && job.tasks_per_zone.keys().any(|other| *other != zone) {
            return false;
        }
        let tasks_in_zone = job.tasks_per_zone.get(&zone).copied().unwrap_or(0);
        !job.spec.spread || tasks_in_zone < job.spec.tasks.div_ceil(2)
    }

    /// Whether a queued task of this job may start now on a machine with this much free capacity.
    pub(super) fn check_start(&self, machine_ix: MachineIx, free: &Resources, job_ix: JobIx) -> StartCheck {
        let Some(job) = self.workload.jobs.get(&job_ix) else { return StartCheck::Blocked };
        match self.placement_blocker(machine_ix, free, job) {
            None if self.yields_to_preemptor(job_ix, job) => StartCheck::Limited,
            None => StartCheck::Allowed,
            Some(blocker) if blocker.is_cluster_wide_limit() => StartCheck::Limited,
            Some(_) => StartCheck::Blocked,
        }
    }

    /// Whether a queued task of this job may start now, with no limit in its way either.
    pub(super) fn can_start(&self, machine_ix: MachineIx, free: &Resources, job_ix: JobIx) -> bool {
        self.check_start(machine_ix, free, job_ix) == StartCheck::Allowed
    }
}
