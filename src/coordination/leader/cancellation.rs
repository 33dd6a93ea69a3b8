//! Jobs that their users have withdrawn: everything stops, and in time.

use super::Leader;
use crate::coordination::Clock;
use crate::coordination::leadership::SAFETY_MARGIN_MS;
use crate::ids::{JobId, JobIx, MachineIx, Millis};
use crate::protocol::operators::JobEventKind;

impl Leader {
    /// When a worker that still shows a withdrawn job's task must get no more answers,
    /// so that its lease takes the task away in time.
    pub fn cancel_deadline(&self, cancelled_wall_ms: u64, clock: Clock) -> Millis {
        let workers = &self.settings.worker_timings;
        let slack = self.settings.time_bound_ms * 2 + 4 * SAFETY_MARGIN_MS;
        let allowed_ms = workers.cancel_deadline_ms.saturating_sub(workers.lease_duration_ms + slack);
        let elapsed_ms = clock.wall_ms.saturating_sub(cancelled_wall_ms);
        clock.now.saturating_add(allowed_ms.saturating_sub(elapsed_ms))
    }

    /// None of the job's queued tasks starts any more.
    pub fn remove_queued_tasks(&mut self, ix: JobIx) {
        self.placement.backlog.remove_job(ix);
        for machine in &mut self.cluster.machines {
            machine.shared_queue.remove_job(ix);
            machine.dedicated_queue.remove_job(ix);
        }
    }

    /// The user has withdrawn the job: nothing of it starts any more, everything stops.
    pub fn cancel_job(&mut self, id: JobId, ix: Option<JobIx>, cancelled_wall_ms: u64, clock: Clock) {
        if let Some(ix) = ix
            && let Some(work) = self.workload.jobs.remove(&ix)
        {
            self.placement.waiting_gangs.remove(&work.queue_order);
            self.remove_queued_tasks(ix);
            self.release_holds_of(ix);
        }
        self.event_log.record(id, JobEventKind::Cancelled, None, 0, 0);
        let deadline = self.cancel_deadline(cancelled_wall_ms, clock);
        let tasks = self.workload.placed_task_counts.get(&id).copied().unwrap_or(0);
        let ago_ms = clock.wall_ms.saturating_sub(cancelled_wall_ms);
        log::info!(event = "stops", job:% = id, tasks, ago_ms; "{id} was withdrawn {ago_ms} ms ago: {tasks} tasks stop");
        for at in 0..self.cluster.machines.len() {
            self.cluster.machines[at].failed_jobs.remove(&id);
            for binding in &mut self.cluster.machines[at].bindings {
                if binding.task.job == id {
                    let task = binding.task.task;
                    self.event_log.record(
                        id,
                        JobEventKind::StoppedForCancel,
                        Some(MachineIx(at as u32)),
                        task,
                        1,
                    );
                    binding.job = None;
                    binding.stop_grace_ms = Some(0);
                    binding.stop_sent_at = None;
                    binding.lease_renewal_cutoff = Some(deadline);
                    self.cluster.pending_announcements.insert(MachineIx(at as u32));
                }
            }
            self.drop_unsent_bindings(MachineIx(at as u32), clock);
        }
        self.writer.queue_cleanup(id);
    }
}
