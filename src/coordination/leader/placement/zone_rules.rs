//! Zone rules: all tasks of a job must be in one zone, or at most half of them may be in each.
//!
//! A zone rule depends on where other tasks of the job are. Queued tasks that it keeps from starting on a machine may
//! start there once tasks have left machines elsewhere, so the machine is examined again at that moment: nothing
//! changes on the machine itself.

use crate::bookkeeping::jobs::JobSpec;
use crate::coordination::leader::{JobState, Leader};
use crate::ids::{JobIx, MachineIx, ZoneIx};

impl JobState {
    /// Returns the number of tasks that may be in the zone.
    fn tasks_in_zone(&self, zone: ZoneIx) -> u32 {
        self.tasks_per_zone.get(&zone).copied().unwrap_or(0)
    }

    /// Returns how many more tasks the zone rule allows to start, now that a task has left the zone: none if the rule
    /// allows what it allowed before.
    fn starts_allowed_by_leaving(&self, zone: ZoneIx) -> usize {
        let tasks_left = self.tasks_in_zone(zone);
        if self.spec.single_zone && tasks_left == 0 {
            self.waiting_tasks() as usize
        } else if self.spec.spread && tasks_left + 1 == max_tasks_per_zone(&self.spec) {
            1
        } else {
            0
        }
    }
}

/// Returns how many tasks of the job can be placed at the same time by its zone rule, if each zone has room for as many as
/// given.
pub(in crate::coordination::leader) fn tasks_placeable(
    spec: &JobSpec,
    slots_by_zone: impl Iterator<Item = u64>,
) -> u64 {
    if spec.single_zone {
        slots_by_zone.max().unwrap_or(0)
    } else if spec.spread {
        let max_per_zone = u64::from(max_tasks_per_zone(spec));
        slots_by_zone.map(|slots| slots.min(max_per_zone)).sum()
    } else {
        slots_by_zone.fold(0, u64::saturating_add)
    }
}

/// Returns how many tasks of a job with the rule `spread` may be in one zone.
fn max_tasks_per_zone(spec: &JobSpec) -> u32 {
    spec.tasks.div_ceil(2)
}

impl Leader {
    /// Returns whether the job's zone rules allow this machine. They apply to all zones in which a task of the job may
    /// still be.
    pub(super) fn zone_rules_allow(&self, machine_ix: MachineIx, job: &JobState) -> bool {
        let zone = self.cluster.machines[machine_ix.index()].zone;
        // After a failover the records may name two zones, one of them stale. No zone is allowed until only one is
        // left.
        if job.spec.single_zone && job.tasks_per_zone.keys().any(|other| *other != zone) {
            return false;
        }
        !job.spec.spread || job.tasks_in_zone(zone) < max_tasks_per_zone(&job.spec)
    }

    /// Handles that a task of the job has left a machine in the zone. If the job's zone rule allows more than before,
    /// the machines on which it kept queued tasks from starting are examined again, and thieves resume as if the tasks
    /// had just been queued.
    pub(in crate::coordination::leader) fn on_task_left_zone(&mut self, job_ix: JobIx, zone: ZoneIx) {
        let Some(job) = self.workload.jobs.get(&job_ix) else { return };
        let starts_allowed = job.starts_allowed_by_leaving(zone);
        if starts_allowed == 0 || job.spec.is_all_or_nothing() {
            return;
        }
        let blocked = self.cluster.placement_index.zone_blocked(job_ix);
        let allowed: Vec<MachineIx> = blocked.filter(|ix| self.zone_rules_allow(*ix, job)).collect();
        log::debug!(
            "zone rule of {} allows {starts_allowed} more starts: {} machines with blocked tasks are examined again",
            job.spec.id,
            allowed.len()
        );
        self.counters.zone_rule_wakes += allowed.len() as u64;
        for machine_ix in allowed {
            self.cluster.placement_index.wake_zone_blocked(job_ix, machine_ix);
        }
        self.resume_thieves(starts_allowed);
    }

    /// Records that the zone rules of these jobs keep their queued tasks from starting on the machine.
    pub(super) fn record_zone_blocked(&mut self, machine_ix: MachineIx, jobs: &[JobIx]) {
        for job_ix in jobs {
            if let Some(job) = self.workload.jobs.get(job_ix) {
                let machine = &self.cluster.machines[machine_ix.index()].name;
                log::debug!("queued tasks of {} wait on {machine} for their zone rule", job.spec.id);
            }
            self.cluster.placement_index.add_zone_blocked(*job_ix, machine_ix);
        }
    }
}
