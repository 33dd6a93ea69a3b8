//! Cancels jobs: no further task of a cancelled job starts, and its running tasks are stopped before the
//! cancellation deadline.
//!
//! If a worker does not receive the command to stop, its lease is no longer renewed: from
//! `Leader::cancel_deadline` on its heartbeats are rejected, so that the expiry of the lease stops the task
//! in time.

use super::Leader;
use crate::coordination::Clock;
use crate::coordination::leadership::SAFETY_MARGIN_MS;
use crate::ids::{JobId, JobIx, MachineIx, Millis};
use crate::protocol::operators::JobEventKind;

impl Leader {
    /// Returns when the leader must stop renewing the lease of a worker that still runs tasks of the job, so
    /// that the lease expires before the cancellation deadline.
    pub(super) fn cancel_deadline(&self, cancelled_wall_ms: u64, clock: Clock) -> Millis {
        let workers = &self.settings.worker_timings;
        let slack_ms = self.settings.time_bound_ms * 2 + 4 * SAFETY_MARGIN_MS;
        let allowed_ms = workers.cancel_deadline_ms.saturating_sub(workers.lease_duration_ms + slack_ms);
        let elapsed_ms = clock.wall_ms.saturating_sub(cancelled_wall_ms);
        clock.now.saturating_add(allowed_ms.saturating_sub(elapsed_ms))
    }

    /// Removes the job's tasks from all queues.
    pub(super) fn remove_queued_tasks(&mut self, ix: JobIx) {
        self.placement.backlog.remove_job(ix);
        for machine in &mut self.cluster.machines {
            machine.shared_queue.remove_job(ix);
            machine.dedicated_queue.remove_job(ix);
        }
    }

    /// Handles the durable cancellation of a job: removes it from the workload and marks its tasks to be
    /// stopped.
    pub(in crate::coordination) fn cancel_job(
        &mut self,
        id: JobId,
        ix: Option<JobIx>,
        cancelled_wall_ms: u64,
        clock: Clock,
    ) {
        if let Some(ix) = ix
            && let Some(job_state) = self.workload.jobs.remove(&ix)
        {
            self.placement.waiting_gangs.remove(&job_state.rank);
            self.remove_queued_tasks(ix);
            self.cluster.placement_index.remove_job(ix);
            self.release_holds_of(ix);
        }
        self.event_log.record_job_event(id, JobEventKind::Cancelled);
        let deadline = self.cancel_deadline(cancelled_wall_ms, clock);
        let tasks = self.workload.placed_task_counts.get(&id).copied().unwrap_or(0);
        let ago_ms = clock.wall_ms.saturating_sub(cancelled_wall_ms);
        log::info!(event = "cancelled", job:% = id, tasks, ago_ms; "{id} cancelled {ago_ms} ms ago, stopping {tasks} tasks");
        for ix in self.cluster.machine_indices() {
            self.cluster.machines[ix.index()].failed_jobs.remove(&id);
            self.stop_cancelled_tasks(ix, id, deadline);
            self.drop_unsent_bindings(ix, clock);
        }
        self.writer.queue_cleanup(id);
    }

    /// Marks the job's tasks on a machine to be stopped without grace.
    fn stop_cancelled_tasks(&mut self, ix: MachineIx, id: JobId, deadline: Millis) {
        let bindings = &mut self.cluster.machines[ix.index()].bindings;
        for binding in bindings.iter_mut().filter(|binding| binding.task.job == id) {
            self.event_log.record_task_event(binding.task, JobEventKind::StoppedForCancel, ix);
            binding.job = None;
            binding.stop_grace_ms = Some(0);
            binding.stop_sent_at = None;
            binding.lease_renewal_cutoff = Some(deadline);
            self.cluster.pending_direct_messages.insert(ix);
        }
    }
}
