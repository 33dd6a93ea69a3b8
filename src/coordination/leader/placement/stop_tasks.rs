//! Asks for tasks on machines to be stopped: for preemption, for machines that are reclaimed, and for gangs that have lost
//! a member. The commands go to the workers with the next response or direct command.

use crate::coordination::leader::{Binding, DispatchState, JobState, Leader};
use crate::ids::{JobIx, MachineIx};
use crate::protocol::operators::JobEventKind;
use crate::protocol::users::JobKind;

/// Added to the grace of a stop, so that a checkpoint has time to complete.
const SAVE_GRACE_MS: u64 = 2_000;

impl Leader {
    /// Stops one task; a gang stops as a whole. A job with checkpoints gets the time to save one.
    pub(super) fn stop_task(&mut self, machine_ix: MachineIx, binding_index: usize, reason: JobEventKind) {
        let binding = &self.cluster.machines[machine_ix.index()].bindings[binding_index];
        let task = binding.task;
        let Some(job_ix) = binding.job else {
            return;
        };
        let Some(job) = self.workload.jobs.get(&job_ix) else {
            return;
        };
        let grace_ms = checkpoint_ms(job).unwrap_or(0);
        let (need, team) = (job.spec.task_resources, job.spec.team);
        self.event_log.record(task.job, reason, Some(machine_ix), task.task, 1);
        if job.spec.kind != JobKind::Gang {
            let binding = &mut self.cluster.machines[machine_ix.index()].bindings[binding_index];
            binding.stop_grace_ms.get_or_insert(grace_ms);
            self.quotas.stopping_usage.entry(team).or_default().add(&need);
            self.cluster.pending_announcements.insert(machine_ix);
            self.cluster.placement_index.record_capacity_growth(machine_ix);
            return;
        }
        for machine_ix in machines_of(job) {
            let stopped = self.stop_tasks_of_job_on(machine_ix, job_ix, grace_ms);
            self.quotas.stopping_usage.entry(team).or_default().add(&need.saturating_mul(stopped));
            self.cluster.placement_index.record_capacity_growth(machine_ix);
        }
    }

    /// Stops the rest of an unfinished gang that has lost a member: the others are of no use any more.
    pub(in crate::coordination::leader) fn on_gang_member_lost(&mut self, lost: &Binding) {
        let Some(job_ix) = lost.job else { return };
        let Some(job) = self.workload.jobs.get(&job_ix) else {
            return;
        };
        if job.spec.kind != JobKind::Gang || job.finished.is_full() {
            return;
        }
        for machine_ix in machines_of(job) {
            self.stop_tasks_of_job_on(machine_ix, job_ix, 0);
        }
    }

    /// Returns how many tasks were not being stopped already.
    fn stop_tasks_of_job_on(&mut self, machine_ix: MachineIx, job_ix: JobIx, grace_ms: u64) -> u64 {
        let mut stopped = 0;
        for binding in &mut self.cluster.machines[machine_ix.index()].bindings {
            if binding.job == Some(job_ix) && binding.stop_grace_ms.is_none() {
                binding.stop_grace_ms = Some(grace_ms);
                stopped += 1;
            }
        }
        self.cluster.pending_announcements.insert(machine_ix);
        stopped
    }

    /// The machine is reclaimed in `notice_ms`: stops what can be saved by then or was not sent yet, and queues the
    /// machine's waiting tasks elsewhere.
    pub(in crate::coordination::leader) fn on_interruption_notice(
        &mut self,
        machine_ix: MachineIx,
        notice_ms: u64,
    ) {
        for binding_index in 0..self.cluster.machines[machine_ix.index()].bindings.len() {
            let binding = &self.cluster.machines[machine_ix.index()].bindings[binding_index];
            let job = binding.job.and_then(|job_ix| self.workload.jobs.get(&job_ix));
            let can_save = job.and_then(checkpoint_ms).is_some_and(|needed_ms| needed_ms <= notice_ms);
            let is_unsent = matches!(binding.dispatch, DispatchState::Planned | DispatchState::Recorded);
            if can_save || is_unsent {
                self.stop_task(machine_ix, binding_index, JobEventKind::StoppedForDrain);
            }
        }
        self.requeue_machine_queues(machine_ix);
    }
}

/// The time that a task needs to save a checkpoint, in milliseconds; None for a job without checkpoints.
fn checkpoint_ms(job: &JobState) -> Option<u64> {
    (job.spec.checkpoint_interval_ms > 0).then_some(job.spec.checkpoint_save_ms + SAVE_GRACE_MS)
}

/// Where the job's tasks may be: one entry for each task.
fn machines_of(job: &JobState) -> Vec<MachineIx> {
    job.placements.values().flatten().map(|(machine_ix, _)| *machine_ix).collect()
}
