//! Work that nobody waits for: array jobs without a deadline, of classes without any aim. It gets what is left over.
//!
//! Its tasks may run for minutes. With each machine that was free for a moment given to them, arrays with an aim of two and
//! a half minutes that came a little later waited for their ends (docs/incidents/guests.md).

use olivelatch_admission::headroom::Headroom;

use crate::bookkeeping::jobs::JobSpec;
use crate::coordination::Clock;
use crate::coordination::leader::{JobState, Leader};

/// Room is left for the most that work with aims asked for within so long.
const DEMAND_WINDOW_MS: u64 = 90_000;
/// The part of the fleet that idle-time work always gets.
const BEST_EFFORT_MINIMUM_SHARE: f64 = 0.25;

pub fn new_headroom() -> Headroom {
    Headroom::new(DEMAND_WINDOW_MS, BEST_EFFORT_MINIMUM_SHARE)
}

impl Leader {
    /// Where no class has an aim, all are alike and none is idle-time work.
    pub fn is_best_effort(&self, info: &JobSpec) -> bool {
        let has_waiter = info.slo_wall_ms.is_some() || info.node.is_some() || info.is_all_or_nothing();
        !has_waiter
            && self.tunables.overload.headroom
            && !self.slos.slo_classes.is_empty()
            && !self.slos.slo_classes.contains(&info.class)
    }

    /// Tasks of the job that may start beside the idle-time work there; any number if it is none.
    pub fn best_effort_slots(&self, work: &JobState) -> u64 {
        if !self.is_best_effort(&work.spec) {
            return u64::MAX;
        }
        self.placement.headroom.allowed().saturating_sub(self.placement.best_effort_cpu)
            / work.spec.task_resources.cpu.max(1)
    }

    /// What work with aims asks for now, of all there is. Where all of it may stop idle-time work, none has to be kept free:
    /// what is lent comes back (`claims`).
    pub fn update_headroom(&mut self, clock: Clock) {
        let capacity = self.fleet_cpu();
        let works = self.workload.jobs.values().filter(|work| work.probation.is_none());
        let (best_effort, with_objectives): (Vec<&JobState>, Vec<&JobState>) =
            works.partition(|work| self.is_best_effort(&work.spec));
        let urgency = best_effort.iter().map(|work| work.spec.urgency).min();
        let can_preempt = |work: &&JobState| {
            let guaranteed =
                self.quotas.team_settings.get(&work.spec.team).is_some_and(|team| team.guaranteed.cpu > 0);
            guaranteed || urgency.is_some_and(|idle| work.spec.urgency < idle)
        };
        let requested_cpu = |work: &&JobState| {
            work.spec.task_resources.cpu.saturating_mul(work.waiting_tasks() + work.placements.len() as u64)
        };
        let demand = if with_objectives.iter().all(can_preempt) {
            0
        } else {
            with_objectives.iter().map(requested_cpu).fold(0, u64::saturating_add)
        };
        let before = self.placement.headroom.allowed();
        self.placement.headroom.record_demand(clock.now.0, demand, capacity);
        if self.placement.headroom.allowed() > before {
            self.cluster.placement_index.wake_quota_blocked();
        }
    }
}
