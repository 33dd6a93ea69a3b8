//! Requests that tasks on machines be stopped: for preemption, on machines that the cloud reclaims, and for gangs
//! that have lost a task. The stop commands are sent to the workers with the next response or direct command.

use crate::coordination::leader::{Binding, DispatchState, JobState, Leader};
use crate::ids::{JobIx, MachineIx};
use crate::protocol::operators::JobEventKind;
use crate::protocol::users::JobKind;

/// Added to the grace period of a stop, so that a checkpoint has time to complete.
const SAVE_GRACE_MS: u64 = 2_000;

impl Leader {
    /// Stops one task, or all tasks of a gang. A job with checkpoints gets a grace period to save one.
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
            self.cluster.pending_direct_messages.insert(machine_ix);
            self.cluster.placement_index.record_capacity_growth(machine_ix);
            return;
        }
        for machine_ix in machines_of(job) {
            let stopped = self.stop_tasks_of_job_on(machine_ix, job_ix, grace_ms);
            self.quotas.stopping_usage.entry(team).or_default().add(&need.saturating_mul(stopped));
            self.cluster.placement_index.record_capacity_growth(machine_ix);
        }
    }

    /// Stops the remaining tasks of an unfinished gang that has lost a task, as they are useless without it.
    pub(in crate::coordination::leader) fn on_gang_member_lost(&mut self, lost: &Binding) {
        let Some(job_ix) = lost.job else { return };
        let Some(job) = self.workload.jobs.get(&job_ix) else {
            return;
        };
        // The end of an attempt that a newer one has superseded is no loss to the newer one.
        let is_superseded = job.newer_placement(lost).is_some();
        if job.spec.kind != JobKind::Gang || job.finished.is_full() || is_superseded {
            return;
        }
        for machine_ix in machines_of(job) {
            self.stop_tasks_of_job_on(machine_ix, job_ix, 0);
        }
    }

    /// Stops all tasks of the job on a machine. Returns how many of them were not being stopped already.
    fn stop_tasks_of_job_on(&mut self, machine_ix: MachineIx, job_ix: JobIx, grace_ms: u64) -> u64 {
        let mut stopped = 0;
        for binding in &mut self.cluster.machines[machine_ix.index()].bindings {
            if binding.job == Some(job_ix) && binding.stop_grace_ms.is_none() {
                binding.stop_grace_ms = Some(grace_ms);
                stopped += 1;
            }
        }
        self.cluster.pending_direct_messages.insert(machine_ix);
        stopped
    }

    /// Handles the notice that the cloud will reclaim the machine in `notice_ms`: stops tasks that can save a
    /// checkpoint by then and tasks whose start has not been sent yet.
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
    }
}

/// Returns the time that a task needs to save a checkpoint, in milliseconds; None for a job without checkpoints.
fn checkpoint_ms(job: &JobState) -> Option<u64> {
    (job.spec.checkpoint_interval_ms > 0).then_some(job.spec.checkpoint_save_ms + SAVE_GRACE_MS)
}

/// Returns the machines where the job's tasks may be, with one entry for each placement of a task.
fn machines_of(job: &JobState) -> Vec<MachineIx> {
    job.placements.values().flatten().map(|(machine_ix, _)| *machine_ix).collect()
}
