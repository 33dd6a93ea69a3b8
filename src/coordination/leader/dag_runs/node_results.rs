//! Failures and successes of DAG nodes: the effect of a task's exit on its node, and the resulting terminal record.

use olivelatch_dag::{Failure, FailureEffect, NodeOutcome, RetryState};
use rand::RngExt;

use crate::bookkeeping::dag_records::{MAX_EVIDENCE, NodeTerminalRecord};
use crate::coordination::leader::{Binding, JobState, Leader};
use crate::ids::{Attempt, JobId, JobIx, MachineIx};
use crate::protocol::graphs::FailedAttempt;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{ExitCause, TaskStatus};

/// Maximum number of machines that are tracked as holders of a node's output.
const MAX_OUTPUT_HOLDERS: usize = 8;
/// Maximum number of nodes whose output holders are tracked.
const MAX_TRACKED_OUTPUTS: usize = 20_000;
/// Causes of failures as they are stored in records and shown to users.
const CAUSE_ERROR: &str = "error";
const CAUSE_TIME_LIMIT: &str = "time limit";
/// The task number under which the failures of a whole gang are counted.
const GANG_TASK: u32 = 0;

/// The attempt whose output is published, and the length of the list that it produced for mapped nodes, if any.
#[derive(Debug, Clone, Copy)]
pub(super) struct NodeResult {
    attempt: Attempt,
    list_len: Option<u32>,
}

/// Returns the cause of a failure that counts against the node's retries, or `None` if the exit is not the task's
/// failure.
fn failure_cause(binding: &Binding, cause: ExitCause) -> Option<&'static str> {
    match cause {
        ExitCause::Error => Some(CAUSE_ERROR),
        ExitCause::Stopped { .. } | ExitCause::PeersLost if binding.timed_out => Some(CAUSE_TIME_LIMIT),
        _ => None,
    }
}

impl Leader {
    /// Counts the unsuccessful exit of a task if it is a failure of a DAG node. Returns the backoff before the next
    /// attempt in milliseconds, or `None` if the exit is no such failure or the node is not retried.
    pub(in crate::coordination::leader) fn record_node_failure(
        &mut self,
        ix: MachineIx,
        binding: &Binding,
        cause: ExitCause,
    ) -> Option<u64> {
        let cause = failure_cause(binding, cause)?;
        let job = binding.job?;
        let machine = self.cluster.machines[ix.index()].name.clone();
        let jitter: f64 = self.placement.rng.random();
        let state = self.workload.jobs.get_mut(&job)?;
        let policy = state.spec.node.as_ref()?.retry_policy;
        // A gang fails as a whole.
        let task = if state.spec.kind == JobKind::Gang { GANG_TASK } else { binding.task.task };
        let retry_state = state.dag_node.as_mut()?.retries.entry(task).or_default();
        let failure = Failure { attempt: binding.attempt.0, machine, cause: cause.into() };
        let failure_effect = retry_state.record_failure(failure, &policy);
        let backoff_ms = policy.backoff_after(retry_state.failure_count, jitter);
        let id = state.spec.id;
        if failure_effect != FailureEffect::AlreadyCounted {
            self.writer.queue_retry_state(id, task);
        }
        if failure_effect == FailureEffect::Exhausted {
            log::info!(event = "node_failed", job:% = id; "DAG node {id} failed: retries exhausted");
            self.fail_node(job, task);
        }
        let finishing = self.workload.jobs.get(&job).is_none_or(|state| state.finishing);
        (!finishing).then_some(backoff_ms)
    }

    /// Fails a node, because the retries of `task` are exhausted. No further task of the node starts, and running ones
    /// are stopped once the terminal record is durable.
    pub(super) fn fail_node(&mut self, job: JobIx, task: u32) {
        let Some(state) = self.workload.jobs.get_mut(&job) else { return };
        let Some((info, node)) = state.spec.node.as_ref().zip(state.dag_node.as_ref()) else { return };
        state.finishing = true;
        // The record holds a limited number of failures: those of the task that decided the outcome come first.
        let decisive = node.retries.get_key_value(&task);
        let others = node.retries.iter().filter(|(other, _)| **other != task);
        let failed_attempts = decisive
            .into_iter()
            .chain(others)
            .flat_map(|(task, retry_state)| failed_attempts(*task, retry_state));
        let mut terminal = NodeTerminalRecord::new(&info.run, &info.name, NodeOutcome::Failed);
        terminal.evidence = failed_attempts.take(MAX_EVIDENCE).collect();
        self.writer.queue_node_terminal(state.spec.id, terminal);
    }

    /// Records that a task of a DAG node has succeeded on the machine.
    pub(in crate::coordination::leader) fn record_node_task_done(
        &mut self,
        ix: MachineIx,
        job: JobIx,
        status: &TaskStatus,
    ) {
        let Some(state) = self.workload.jobs.get_mut(&job) else { return };
        let Some((info, node)) = state.spec.node.as_ref().zip(state.dag_node.as_mut()) else { return };
        if state.spec.tasks == 1 || state.spec.kind == JobKind::Gang {
            let previous_list_len = node.result.and_then(|result| result.list_len);
            node.result = Some(NodeResult {
                attempt: status.published_attempt.unwrap_or(status.attempt),
                list_len: status.output_list_len.or(previous_list_len),
            });
        }
        if info.has_downstream {
            let id = state.spec.id;
            self.record_output_holder(id, ix);
        }
    }

    fn record_output_holder(&mut self, id: JobId, ix: MachineIx) {
        if self.dag_runs.output_holders.len() >= MAX_TRACKED_OUTPUTS {
            // Most entries belong to nodes whose downstream nodes have already run. For the others a missing entry
            // costs only a fetch of the output.
            self.dag_runs.output_holders.clear();
        }
        let holders = self.dag_runs.output_holders.entry(id).or_default();
        if holders.len() < MAX_OUTPUT_HOLDERS && !holders.contains(&ix) {
            holders.push(ix);
        }
    }

    /// Returns the terminal record of a job that succeeded, if it is a DAG node.
    pub(in crate::coordination::leader) fn success_record(
        &self,
        state: &JobState,
    ) -> Option<NodeTerminalRecord> {
        let (info, node) = state.spec.node.as_ref().zip(state.dag_node.as_ref())?;
        let mut terminal = NodeTerminalRecord::new(&info.run, &info.name, NodeOutcome::Success);
        terminal.attempt = node.result.map(|result| result.attempt.0);
        terminal.list_len = node.result.and_then(|result| result.list_len);
        Some(terminal)
    }
}

/// Returns the failures of a task that its retry state keeps.
fn failed_attempts(task: u32, retry_state: &RetryState) -> impl Iterator<Item = FailedAttempt> + '_ {
    retry_state.recent_failures.iter().map(move |failure| FailedAttempt { task, failure: failure.clone() })
}
