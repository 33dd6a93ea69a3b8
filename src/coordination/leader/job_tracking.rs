//! Adds jobs from the records to the leader's workload, and removes them once none of their tasks may be on a machine.

use super::placement::policy::Rank;
use super::{JobState, Leader};
use crate::bookkeeping::jobs::JobSpec;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{JobId, JobIx, Millis};

/// Objective assumed for jobs without a deadline or objective, so that they come after jobs with one of a few minutes.
pub(super) const DEFAULT_SLO_MS: u64 = 600_000;
/// Upper bound on the size penalty: because of its size, a job is passed only by jobs accepted at most this much later.
const MAX_SIZE_PENALTY_MS: u64 = 120_000;
/// The size penalty is the run time of the whole job on the cluster's CPUs divided by this number.
const SIZE_PENALTY_CLUSTER_DIVISOR: u64 = 4;

impl Leader {
    /// Adds a job of the cache to the workload; its ready tasks are queued by [`Leader::enqueue_jobs`]. For a job
    /// that has a terminal record, queues only the cleanup of its records.
    pub fn track_job(&mut self, ix: JobIx, cache: &StoreCache) {
        let Some(job) = cache.job(ix) else { return };
        if job.terminal.is_some() {
            self.writer.queue_cleanup(job.spec.id);
            return;
        }
        let spec = &job.spec;
        log_tracked(spec);
        let slo_ms = self.completion_slo_ms(spec);
        let size_penalty_ms = self.size_penalty_ms(spec);
        if !self.workload.jobs.contains_key(&ix) {
            self.event_log.record_new_job(spec.id);
        }
        self.workload.jobs.entry(ix).or_insert_with(|| {
            let rank = Rank::new(ix, spec, slo_ms, size_penalty_ms);
            JobState::new(job, rank, self.event_log.initial_first_run())
        });
        self.init_node_state(ix, cache);
    }

    /// Returns the time after acceptance within which the job should complete: its deadline or the first objective of
    /// its class, whichever is earlier. Without either, returns [`DEFAULT_SLO_MS`].
    fn completion_slo_ms(&self, spec: &JobSpec) -> u64 {
        let deadline = spec.slo_wall_ms.map(|deadline| deadline.saturating_sub(spec.accepted_wall_ms));
        let objective = self.slos.completion_slos.get(&spec.class).and_then(|slos| slos.first().copied());
        deadline.into_iter().chain(objective).min().unwrap_or(DEFAULT_SLO_MS)
    }

    /// Returns the time for which a quarter of the schedulable machines' CPUs would be busy with the whole job, up to
    /// [`MAX_SIZE_PENALTY_MS`].
    fn size_penalty_ms(&self, spec: &JobSpec) -> u64 {
        let machines = self.cluster.placement_index.schedulable().iter();
        let cpu: u64 = machines.map(|ix| self.cluster.machines[ix.index()].capacity.cpu).sum();
        let tasks = u64::from(spec.tasks);
        let cpu_ms = spec.task_resources.cpu.saturating_mul(tasks).saturating_mul(spec.estimated_run_ms);
        (cpu_ms / (cpu / SIZE_PENALTY_CLUSTER_DIVISOR).max(1)).min(MAX_SIZE_PENALTY_MS)
    }

    /// Queues the tasks of new jobs that are neither finished nor placed.
    pub fn enqueue_jobs(&mut self, jobs: impl IntoIterator<Item = JobIx>) {
        jobs.into_iter().for_each(|ix| self.enqueue_waiting_tasks(ix));
        self.update_guaranteed_jobs();
    }

    /// Removes a finished job from the workload if none of its tasks may be on a machine.
    pub fn remove_finished_job(&mut self, id: JobId, ix: Option<JobIx>) {
        if !self.workload.placed_task_counts.contains_key(&id)
            && let Some(ix) = ix
        {
            self.workload.jobs.remove(&ix);
            self.cluster.placement_index.remove_job(ix);
        }
    }

    fn enqueue_waiting_tasks(&mut self, ix: JobIx) {
        let Some(job) = self.workload.jobs.get(&ix) else { return };
        if job.finished.is_full() {
            self.finish_job(ix);
            return;
        }
        if job.finishing {
            return;
        }
        if job.spec.is_all_or_nothing() {
            self.placement.waiting_gangs.insert(job.rank);
            self.placement.gang_search_not_before = Millis::default();
        } else {
            let missing = job.finished.iter_missing();
            let tasks: Vec<u32> = missing.filter(|task| !job.placements.contains_key(task)).collect();
            self.enqueue(ix, &tasks);
        }
    }

    /// Queues the terminal record of a job whose tasks have all finished, unless this has been done already.
    pub fn finish_job(&mut self, ix: JobIx) {
        let Some(job) = self.workload.jobs.get(&ix).filter(|job| !job.finishing) else { return };
        let id = job.spec.id;
        match self.success_record(job) {
            Some(record) => self.writer.queue_node_terminal(id, record),
            None => self.writer.queue_job_success(id),
        }
        if let Some(job) = self.workload.jobs.get_mut(&ix) {
            job.finishing = true;
        }
    }
}

fn log_tracked(spec: &JobSpec) {
    log::debug!(
        "tracking job {}: {:?} of {} tasks, {} mCPU per task, image {} MB, estimated run {} ms, team {}, class {}",
        spec.id,
        spec.kind,
        spec.tasks,
        spec.task_resources.cpu,
        spec.image_mb,
        spec.estimated_run_ms,
        spec.team.0,
        spec.class.0
    );
}
