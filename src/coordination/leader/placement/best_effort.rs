//! Best-effort jobs: array jobs without a deadline, of classes without any objective. They get the capacity that is left
//! over.
//!
//! Their tasks may run for minutes. When each machine that was free for a moment was given to them, arrays with an
//! objective of two and a half minutes that came a little later had to wait for their ends (docs/incidents/guests.md).

use olivelatch_admission::headroom::Headroom;

use crate::bookkeeping::jobs::JobSpec;
use crate::coordination::Clock;
use crate::coordination::leader::{JobState, Leader};

/// Capacity is kept free for the peak demand of jobs with objectives within this time.
const DEMAND_WINDOW_MS: u64 = 90_000;
/// The part of the fleet that best-effort jobs may always use.
const BEST_EFFORT_MINIMUM_SHARE: f64 = 0.25;

/// Headroom before any demand was seen.
pub(super) fn new_headroom() -> Headroom {
    Headroom::new(DEMAND_WINDOW_MS, BEST_EFFORT_MINIMUM_SHARE)
}

impl Leader {
    /// Whether the job is best effort. Where no class has an objective, none is.
    pub(in crate::coordination::leader) fn is_best_effort(&self, spec: &JobSpec) -> bool {
        let is_waited_for = spec.slo_wall_ms.is_some() || spec.node.is_some() || spec.is_all_or_nothing();
        self.tunables.overload.headroom
            && !is_waited_for
            && !self.slos.slo_classes.is_empty()
            && !self.slos.slo_classes.contains(&spec.class)
    }

    /// Tasks of the job that may start beside the best-effort tasks that run; unbounded for other jobs.
    pub(in crate::coordination::leader) fn best_effort_slots(&self, job: &JobState) -> u64 {
        if !self.is_best_effort(&job.spec) {
            return u64::MAX;
        }
        let left = self.placement.headroom.allowed().saturating_sub(self.placement.best_effort_cpu);
        left / job.spec.task_resources.cpu.max(1)
    }

    /// Records the present demand of jobs with objectives.
    pub(in crate::coordination::leader) fn update_headroom(&mut self, clock: Clock) {
        let capacity = self.fleet_cpu();
        let demand = self.demand_with_objectives();
        let before = self.placement.headroom.allowed();
        self.placement.headroom.record_demand(clock.now.0, demand, capacity);
        if self.placement.headroom.allowed() > before {
            self.cluster.placement_index.wake_quota_blocked();
        }
    }

    /// CPUs that jobs with objectives use or wait for, in thousandths. Where all of them may stop best-effort tasks,
    /// nothing has to be kept free for them: preemption gives them the room.
    fn demand_with_objectives(&self) -> u64 {
        let jobs = self.workload.jobs.values().filter(|job| job.probation.is_none());
        let (best_effort, with_objectives): (Vec<&JobState>, Vec<&JobState>) =
            jobs.partition(|job| self.is_best_effort(&job.spec));
        let best_effort_urgency = best_effort.iter().map(|job| job.spec.urgency).min();
        let can_preempt = |job: &&JobState| {
            let team = self.quotas.team_settings.get(&job.spec.team);
            let has_guarantee = team.is_some_and(|team| team.guaranteed.cpu > 0);
            has_guarantee || best_effort_urgency.is_some_and(|urgency| job.spec.urgency < urgency)
        };
        if with_objectives.iter().all(can_preempt) {
            return 0;
        }
        let requested_cpu = |job: &&JobState| {
            let tasks = job.waiting_tasks() + job.placements.len() as u64;
            job.spec.task_resources.cpu.saturating_mul(tasks)
        };
        with_objectives.iter().map(requested_cpu).fold(0, u64::saturating_add)
    }
}
