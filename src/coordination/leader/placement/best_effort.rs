//! Best-effort jobs: array jobs without a deadline that are not DAG nodes and whose class has no objective. They get
//! the capacity that other jobs leave over.
//!
//! Their tasks may run for minutes. Before their share was limited, they took every machine that was briefly free, and
//! arrays with an objective of two and a half minutes that arrived a little later had to wait until these tasks ended
//! (docs/incidents/guests.md).

use olivelatch_admission::headroom::Headroom;

use crate::bookkeeping::jobs::JobSpec;
use crate::coordination::Clock;
use crate::coordination::leader::{JobState, Leader};

/// Capacity is kept free for the peak demand of other jobs within this time.
const DEMAND_WINDOW_MS: u64 = 90_000;
/// The fraction of the fleet that best-effort jobs may always use.
const BEST_EFFORT_MINIMUM_SHARE: f64 = 0.25;

/// Returns the headroom before any demand has been recorded.
pub(super) fn new_headroom() -> Headroom {
    Headroom::new(DEMAND_WINDOW_MS, BEST_EFFORT_MINIMUM_SHARE)
}

impl Leader {
    /// Returns whether the job is best effort. If no class has an objective, no job is.
    pub(in crate::coordination::leader) fn is_best_effort(&self, spec: &JobSpec) -> bool {
        let is_excluded = spec.slo_wall_ms.is_some() || spec.node.is_some() || spec.is_all_or_nothing();
        self.tunables.overload.headroom
            && !is_excluded
            && !self.slos.slo_classes.is_empty()
            && !self.slos.slo_classes.contains(&spec.class)
    }

    /// Returns how many tasks of the job may start in addition to the placed best-effort tasks; unbounded for jobs
    /// that are not best effort. One task may always start if none is placed: the share of a fleet that is small, or not
    /// there yet, would otherwise never suffice for it.
    pub(in crate::coordination::leader) fn best_effort_slots(&self, job: &JobState) -> u64 {
        if !self.is_best_effort(&job.spec) {
            return u64::MAX;
        }
        let left = self.placement.headroom.allowed().saturating_sub(self.placement.best_effort_cpu);
        let minimum = u64::from(self.placement.best_effort_cpu == 0);
        (left / job.spec.task_resources.cpu.max(1)).max(minimum)
    }

    /// Records the current demand of jobs that are not best effort.
    pub(in crate::coordination::leader) fn update_headroom(&mut self, clock: Clock) {
        let capacity = self.fleet_cpu();
        let demand = self.non_best_effort_demand();
        let before = self.placement.headroom.allowed();
        self.placement.headroom.record_demand(clock.now.0, demand, capacity);
        if self.placement.headroom.allowed() > before {
            self.cluster.placement_index.wake_quota_blocked();
        }
    }

    /// Returns the CPUs that jobs other than best-effort jobs use or wait for, in thousandths. If all of these jobs may
    /// stop best-effort tasks, returns 0: no capacity has to be kept free, as preemption frees it for them.
    fn non_best_effort_demand(&self) -> u64 {
        let jobs = self.workload.jobs.values().filter(|job| job.probation.is_none());
        let (best_effort, other_jobs): (Vec<&JobState>, Vec<&JobState>) =
            jobs.partition(|job| self.is_best_effort(&job.spec));
        let highest_best_effort_priority = best_effort.iter().map(|job| job.spec.priority_class).min();
        let can_preempt = |job: &&JobState| {
            let team = self.quotas.team_settings.get(&job.spec.team);
            let has_guarantee = team.is_some_and(|team| team.guaranteed.cpu > 0);
            has_guarantee
                || highest_best_effort_priority.is_some_and(|highest| job.spec.priority_class < highest)
        };
        if other_jobs.iter().all(can_preempt) {
            return 0;
        }
        let requested_cpu = |job: &&JobState| {
            let tasks = job.waiting_tasks() + job.placements.len() as u64;
            job.spec.task_resources.cpu.saturating_mul(tasks)
        };
        other_jobs.iter().map(requested_cpu).fold(0, u64::saturating_add)
    }
}
