//! The times by which jobs should complete, from the objectives of their classes and their own deadlines.

use crate::coordination::Clock;
use crate::coordination::leader::{JobState, Leader};

impl Leader {
    /// Returns the milliseconds from now within which a job should complete, according to its deadline or the
    /// objectives of its class.
    pub(in crate::coordination::leader) fn time_left_ms(&self, job_state: &JobState, clock: Clock) -> u64 {
        let spec = &job_state.spec;
        let fallback_ms = (self.tunables.queue_drain_target_s * 1000.0) as u64 + job_state.expected_run_ms();
        if self.is_past_slo(job_state, clock) {
            // The objective can no longer be met, so no machines are provisioned as if it could.
            return fallback_ms;
        }
        let age_ms = clock.wall_ms.saturating_sub(spec.accepted_wall_ms);
        let until_deadline = spec.slo_wall_ms.map(|deadline| deadline.saturating_sub(clock.wall_ms));
        let shortest_slo = self.slos.completion_slos.get(&spec.class).and_then(|slos| slos.first());
        let until_slo = shortest_slo.map(|slo_ms| slo_ms.saturating_sub(age_ms));
        until_deadline.into_iter().chain(until_slo).min().unwrap_or(fallback_ms)
    }

    /// Returns whether the job has missed its deadline or the longest objective of its class. Such a job must
    /// not delay jobs that can still meet theirs.
    pub(in crate::coordination::leader) fn is_past_slo(&self, job_state: &JobState, clock: Clock) -> bool {
        let spec = &job_state.spec;
        let age_ms = clock.wall_ms.saturating_sub(spec.accepted_wall_ms);
        let past_deadline = spec.slo_wall_ms.is_some_and(|deadline| deadline < clock.wall_ms);
        past_deadline || self.longest_slo_ms(job_state).is_some_and(|slo_ms| slo_ms < age_ms)
    }

    /// Returns the longest objective of the job's class, in milliseconds from acceptance to completion.
    pub(in crate::coordination::leader) fn longest_slo_ms(&self, job_state: &JobState) -> Option<u64> {
        self.slos.completion_slos.get(&job_state.spec.class)?.last().copied()
    }
}
