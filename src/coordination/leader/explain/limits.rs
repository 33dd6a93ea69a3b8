//! Reasons that keep a job waiting regardless of the machines: its team's limit, its pool, and jobs ahead of
//! it.

use super::{Explanation, MAX_NAMES};
use crate::coordination::leader::JobState;
use crate::coordination::leader::placement::policy::QueueOrder;
use crate::ids::from_milli;
use crate::protocol::operators::{JobUsage, StateReason};

/// A job that is ahead of the explained one in the queue.
struct EarlierJob<'a> {
    order: QueueOrder,
    job: &'a JobState,
    waiting_tasks: u64,
}

impl EarlierJob<'_> {
    /// Returns the CPU seconds that its waiting tasks are expected to use.
    fn cpu_seconds(&self) -> f64 {
        from_milli(self.job.spec.task_resources.cpu)
            * from_milli(self.job.expected_run_ms())
            * self.waiting_tasks as f64
    }
}

impl Explanation<'_> {
    /// Returns how many tasks have to start together.
    fn tasks_at_once(&self) -> u64 {
        if self.job.spec.is_all_or_nothing() { self.job.unplaced_tasks().len() as u64 } else { 1 }
    }

    /// Whether the team's limit keeps the tasks from starting.
    pub(super) fn is_team_limited(&self) -> bool {
        let need = self.job.spec.task_resources.saturating_mul(self.tasks_at_once());
        !self.leader.within_quota(self.job.spec.team, &need)
    }

    /// Returns the team's usage and limit, or `None` if the team is not configured.
    pub(super) fn team_limit_reason(&self) -> Option<StateReason> {
        let team = self.job.spec.team;
        let limit = self.leader.quotas.team_settings.get(&team)?.effective_limit();
        let usage = self.leader.quotas.usage.get(&team).copied().unwrap_or_default();
        let finite = |milli: u64| (milli < u64::MAX).then(|| from_milli(milli));
        Some(StateReason::TeamLimit {
            team: self.names.teams.name_or_unknown(team.index()).into(),
            used_cpus: from_milli(usage.cpu),
            limit_cpus: finite(limit.cpu),
            used_gpus: from_milli(usage.gpu),
            limit_gpus: finite(limit.gpu),
            used_by: self.largest_users_of_team(),
        })
    }

    /// Returns the jobs of the team that use the most CPUs, in descending order.
    fn largest_users_of_team(&self) -> Vec<JobUsage> {
        let jobs = self.leader.workload.jobs.values();
        let mut users: Vec<(u64, String)> = jobs
            .filter(|other| other.spec.team == self.job.spec.team && !other.placements.is_empty())
            .map(|other| {
                let cpu = other.spec.task_resources.cpu * other.placements.len() as u64;
                (cpu, other.spec.id.to_string())
            })
            .collect();
        users.sort_by(|a, b| b.cmp(a));
        users.truncate(MAX_NAMES);
        users.into_iter().map(|(cpu, job)| JobUsage { job, cpus: from_milli(cpu) }).collect()
    }

    /// Returns the usage of the job's pool, if the pool has too few free slots.
    pub(super) fn pool_full_reason(&self) -> Option<StateReason> {
        let pool = self.job.spec.pool()?;
        if self.leader.pool_has_free_slots(self.job, self.tasks_at_once() as u32) {
            return None;
        }
        Some(StateReason::PoolFull {
            pool: self.names.pools.name_or_unknown(pool.index()).into(),
            used: self.leader.dag_runs.pool_used.get(&pool).copied().unwrap_or(0),
            slots: self.leader.dag_runs.pool_slots.get(&pool).copied().unwrap_or(0),
        })
    }

    /// Returns the waiting jobs that are ahead of this one on a machine type that both may use, if there are
    /// any.
    pub(super) fn queued_behind_reason(&self) -> Option<StateReason> {
        let mut earlier = self.earlier_jobs();
        if earlier.is_empty() {
            return None;
        }
        earlier.sort_by_key(|earlier| earlier.order);
        Some(StateReason::QueuedBehind {
            jobs: earlier.len() as u32,
            tasks: earlier.iter().map(|earlier| earlier.waiting_tasks).sum(),
            cpu_seconds: earlier.iter().map(EarlierJob::cpu_seconds).sum(),
            first_jobs: earlier
                .iter()
                .take(MAX_NAMES)
                .map(|earlier| earlier.job.spec.id.to_string())
                .collect(),
        })
    }

    fn earlier_jobs(&self) -> Vec<EarlierJob<'_>> {
        let own_order = self.leader.queue_order(&self.job.rank);
        let others = self.leader.workload.jobs.iter().filter(|(ix, _)| **ix != self.job_ix);
        others
            .map(|(_, job)| (self.leader.queue_order(&job.rank), job))
            .filter(|(order, job)| *order < own_order && self.shares_machine_type(job))
            .map(|(order, job)| EarlierJob {
                order,
                job,
                waiting_tasks: u64::from(job.unfinished_tasks()) - job.placements.len() as u64,
            })
            .filter(|earlier| earlier.waiting_tasks > 0)
            .collect()
    }

    fn shares_machine_type(&self, other: &JobState) -> bool {
        let mut machine_types = self.leader.cluster.machine_types.keys();
        machine_types.any(|ix| other.spec.allows_machine_type(*ix) && self.job.spec.allows_machine_type(*ix))
    }
}
