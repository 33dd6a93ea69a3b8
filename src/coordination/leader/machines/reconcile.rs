//! Reconciles heartbeats with the leader's bindings: tasks that a heartbeat proves to be missing, results of
//! tasks that are bound to no machine any more, and exited tasks that the worker may forget.
//!
//! A worker forgets an exited task only when everything that follows from the exit is durable: the next
//! leader learns of it from the worker otherwise.

use std::collections::HashSet;

use olivelatch_dag::RetryState;

use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::coordination::leader::{Binding, DispatchState, Leader, Machine};
use crate::ids::{Attempt, MachineIx, TaskId};
use crate::protocol::users::JobKind;
use crate::protocol::workers::{ExitCause, Heartbeat, TaskPhase, TaskStatus, WorkerCommand};

/// What follows for a binding whose task a heartbeat does not show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MissingTaskAction {
    /// The heartbeat proves nothing.
    Keep,
    /// The run command was lost and will never be executed: it is sent again.
    Resend,
    /// The task is not on the machine: it is placed anew.
    Requeue,
}

impl Leader {
    /// Handles tasks that a heartbeat with our token proves not to be on the machine.
    pub(super) fn reconcile_missing_tasks(&mut self, ix: MachineIx, clock: Clock, heartbeat: &Heartbeat) {
        let reported: HashSet<(TaskId, Attempt)> =
            heartbeat.tasks.iter().map(|status| (status.task, status.attempt)).collect();
        let receive_path_down = self.detect_dropped_response(ix, heartbeat.sequence);
        let mut index = 0;
        while let Some(binding) = self.cluster.machines[ix.index()].bindings.get_mut(index) {
            let action = if reported.contains(&(binding.task, binding.attempt)) {
                MissingTaskAction::Keep
            } else {
                missing_task_action(binding, heartbeat.sequence, receive_path_down)
            };
            match action {
                MissingTaskAction::Keep => index += 1,
                MissingTaskAction::Resend => {
                    binding.dispatch = DispatchState::Recorded;
                    index += 1;
                }
                // Another binding takes its index.
                MissingTaskAction::Requeue => {
                    let binding = self.remove_binding(ix, index, clock);
                    self.requeue(&binding, 0, clock);
                }
            }
        }
        self.drop_unsent_bindings(ix, clock);
    }

    /// Commands to forget exited tasks of the heartbeat, as far as everything that follows from the exits is
    /// durable.
    pub(super) fn build_forget_commands(
        &self,
        ix: MachineIx,
        cache: &StoreCache,
        heartbeat: &Heartbeat,
    ) -> Vec<WorkerCommand> {
        if heartbeat.token != self.term.token() {
            return Vec::new();
        }
        let machine = &self.cluster.machines[ix.index()];
        heartbeat
            .tasks
            .iter()
            .filter(|status| is_forgettable(machine, status, cache))
            .filter(|status| !self.has_unpersisted_failure(status, cache))
            .map(|status| WorkerCommand::Forget { task: status.task, attempt: status.attempt })
            .collect()
    }

    /// Whether the status is a failed attempt of a DAG node that is counted here and not in the records: if
    /// the worker forgot it now, the next leader would not count it.
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

    /// Counts finished tasks that an earlier leader had started and removed from its record.
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

/// What the heartbeat with this sequence number proves of a binding that it does not show.
fn missing_task_action(binding: &Binding, sequence: u64, receive_path_down: bool) -> MissingTaskAction {
    match binding.dispatch {
        // The worker sent this heartbeat without having received that response, and never executes it later.
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

/// Whether the task has exited, nothing can start it again, and its result is durable or does not count.
fn is_forgettable(machine: &Machine, status: &TaskStatus, cache: &StoreCache) -> bool {
    let TaskPhase::Exited(cause) = status.state else { return false };
    // A delayed direct command would start the task again on a worker that had forgotten it.
    if machine.late_starts.contains(&(status.task, status.attempt)) {
        return false;
    }
    if cause != ExitCause::Done || cache.terminal_state(status.task.job).is_some() {
        return true;
    }
    cache.find_job(status.task.job).is_none_or(|job| job.finished_tasks.contains(status.task.task))
}
