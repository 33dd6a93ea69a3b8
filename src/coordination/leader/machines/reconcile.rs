//! Reconciles heartbeats with the leader's bindings: tasks that a heartbeat proves to be missing, results of
//! tasks that are no longer bound to a machine, and exited tasks that the worker may forget.
//!
//! A worker is told to forget an exited task only once all consequences of the exit are durable. Until then,
//! the next leader would have to learn of the exit from the worker.

use std::collections::HashSet;

use olivelatch_dag::RetryState;

use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::coordination::leader::{Binding, DispatchState, Leader};
use crate::ids::{Attempt, MachineIx, TaskId};
use crate::protocol::users::JobKind;
use crate::protocol::workers::{ExitCause, Heartbeat, TaskPhase, TaskStatus, WorkerCommand};

/// What to do with a binding whose task is missing from a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MissingTaskAction {
    /// The heartbeat does not prove that the task is missing: the binding stays as it is.
    Keep,
    /// The run command was lost and will never be executed: it is sent again to the same machine.
    Resend,
    /// The task is not on the machine: the binding is removed and the task is queued again.
    Requeue,
}

impl Leader {
    /// Handles tasks that are proven not to be on the machine by a heartbeat that acknowledges this leader's
    /// token.
    pub(super) fn reconcile_missing_tasks(&mut self, ix: MachineIx, clock: Clock, heartbeat: &Heartbeat) {
        let reported: HashSet<(TaskId, Attempt)> =
            heartbeat.tasks.iter().map(|status| (status.task, status.attempt)).collect();
        let receive_path_down = self.detect_dropped_response(ix, heartbeat.sequence);
        let mut index = 0;
        while let Some(binding) = self.cluster.machines[ix.index()].bindings.get_mut(index) {
            let action = if reported.contains(&(binding.task, binding.attempt)) {
                MissingTaskAction::Keep
            } else {
                log_unresolved_stop(binding, &heartbeat.machine);
                missing_task_action(binding, heartbeat.sequence, receive_path_down)
            };
            match action {
                MissingTaskAction::Keep => index += 1,
                MissingTaskAction::Resend => {
                    binding.dispatch = DispatchState::Recorded;
                    index += 1;
                }
                // Another binding now has this index, so it is not incremented.
                MissingTaskAction::Requeue => {
                    let binding = self.remove_binding(ix, index, clock);
                    self.requeue(&binding, 0, clock);
                }
            }
        }
        self.drop_unsent_bindings(ix, clock);
    }

    /// Returns the commands to forget those exited tasks of the heartbeat for which all consequences of the
    /// exit are durable. Returns none as long as a copy of a direct start could revive them.
    pub(super) fn take_forget_commands(
        &mut self,
        ix: MachineIx,
        cache: &StoreCache,
        heartbeat: &Heartbeat,
    ) -> Vec<WorkerCommand> {
        let commands: Vec<WorkerCommand> = heartbeat
            .tasks
            .iter()
            .filter(|status| is_result_durable(status, cache))
            .filter(|status| !self.has_unpersisted_failure(status, cache))
            .map(|status| WorkerCommand::Forget { task: status.task, attempt: status.attempt })
            .collect();
        if commands.is_empty() || !self.void_direct_starts(ix, cache) {
            return Vec::new();
        }
        commands
    }

    /// Returns whether the status is a failed attempt of a DAG node that this leader has counted but not yet
    /// persisted. If the worker forgot the task now, the next leader would not count the attempt.
    fn has_unpersisted_failure(&self, status: &TaskStatus, cache: &StoreCache) -> bool {
        let Some(job_state) = cache.find(status.task.job).and_then(|job| self.workload.jobs.get(&job)) else {
            return false;
        };
        let Some(node) = &job_state.dag_node else { return false };
        // A gang fails as a whole and counts its attempts under its first task.
        let task = if job_state.spec.kind == JobKind::Gang { 0 } else { status.task.task };
        let is_counted = |retries: Option<&RetryState>| {
            retries.is_some_and(|retries| retries.has_counted(status.attempt.0))
        };
        let persisted =
            cache.dag_runs.retry_states_of(status.task.job).and_then(|retries| retries.get(&task));
        cache.terminal_state(status.task.job).is_none()
            && is_counted(node.retries.get(&task))
            && !is_counted(persisted)
    }

    /// Marks as finished those tasks that the heartbeat reports as done and that have no binding: an earlier
    /// leader started them and removed them from its records.
    pub(super) fn reconcile_done_tasks(&mut self, cache: &StoreCache, heartbeat: &Heartbeat, clock: Clock) {
        for status in &heartbeat.tasks {
            if status.state == TaskPhase::Exited(ExitCause::Done) {
                self.reconcile_done_task(cache, &heartbeat.machine, status, clock);
            }
        }
    }

    fn reconcile_done_task(&mut self, cache: &StoreCache, machine: &str, status: &TaskStatus, clock: Clock) {
        let Some(ix) = cache.find(status.task.job) else { return };
        let Some(job_state) = self.workload.jobs.get(&ix) else { return };
        let task = status.task.task;
        if job_state.placements.contains_key(&task) || job_state.finished.contains(task) {
            return;
        }
        if let Some(machine) = self.cluster.machines_by_name.get(machine).copied() {
            self.record_node_task_done(machine, ix, status);
        }
        self.mark_task_done(ix, status.task, clock);
        if self.workload.jobs.get(&ix).is_some_and(|job_state| job_state.finished.is_full()) {
            self.remove_queued_tasks(ix);
        }
    }
}

/// Logs a task that is to be stopped and is not on the machine, but that a lost start command may still start there.
fn log_unresolved_stop(binding: &Binding, machine: &str) {
    if binding.stop_grace_ms.is_some() && binding.late_start_possible {
        let Binding { task, dispatch, .. } = binding;
        log::debug!(
            "task {task} is to be stopped and is not on machine {machine}, but its start may arrive late ({dispatch:?})"
        );
    }
}

/// Returns what to do with a binding whose task is missing from the heartbeat with this sequence number.
fn missing_task_action(binding: &Binding, sequence: u64, receive_path_down: bool) -> MissingTaskAction {
    match binding.dispatch {
        // The worker had not received that response when it sent this heartbeat, and will not execute it if
        // it arrives later.
        DispatchState::SentInResponse { sequence: answered } if answered < sequence => {
            if receive_path_down && !binding.late_start_possible {
                MissingTaskAction::Requeue
            } else {
                MissingTaskAction::Resend
            }
        }
        DispatchState::Observed | DispatchState::Inherited if !binding.late_start_possible => {
            MissingTaskAction::Requeue
        }
        _ => MissingTaskAction::Keep,
    }
}

/// Returns whether the task has exited, and its result is durable or is not needed.
fn is_result_durable(status: &TaskStatus, cache: &StoreCache) -> bool {
    let TaskPhase::Exited(cause) = status.state else { return false };
    if cause != ExitCause::Done || cache.terminal_state(status.task.job).is_some() {
        return true;
    }
    cache.find_job(status.task.job).is_none_or(|job| job.finished_tasks.contains(status.task.task))
}
