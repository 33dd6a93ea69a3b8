//! Enforces the time limits of DAG nodes: stops running tasks that exceed them.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::Clock;
use crate::coordination::leader::{Binding, Leader};
use crate::ids::{Attempt, JobIx, MachineIx, Millis, TaskId};
use crate::protocol::users::JobKind;
use crate::protocol::workers::TaskStatus;

/// Grace period for stopping a task that exceeded its time limit, in milliseconds.
const TIME_LIMIT_STOP_GRACE_MS: u64 = 0;

/// Running tasks by the time at which their limit expires. Entries of tasks that finish earlier remain until
/// that time.
#[derive(Debug, Default)]
pub(super) struct TimeLimits {
    due: BTreeMap<Millis, Vec<LimitedTask>>,
}

#[derive(Debug, Clone, Copy)]
struct LimitedTask {
    machine: MachineIx,
    task: TaskId,
    attempt: Attempt,
}

impl Leader {
    /// Starts the time limit of a task, if it has one, when the task is first seen running.
    pub(in crate::coordination::leader) fn start_time_limit(
        &mut self,
        ix: MachineIx,
        job: Option<JobIx>,
        status: &TaskStatus,
        clock: Clock,
    ) {
        let node = job.and_then(|job| self.workload.jobs.get(&job)?.spec.node.as_ref());
        if let Some(timeout_ms) = node.and_then(|node| node.timeout_ms) {
            let due_at = clock.now.saturating_add(timeout_ms);
            let limited = LimitedTask { machine: ix, task: status.task, attempt: status.attempt };
            self.dag_runs.time_limits.due.entry(due_at).or_default().push(limited);
        }
    }

    /// Stops the tasks that have exceeded their time limits.
    pub(in crate::coordination::leader) fn enforce_time_limits(&mut self, clock: Clock) {
        while let Some(due) =
            self.dag_runs.time_limits.due.first_entry().filter(|due| *due.key() <= clock.now)
        {
            for limited in due.remove() {
                self.stop_over_time_limit(limited);
            }
        }
    }

    /// Stops a task that exceeded its time limit. For a gang all tasks of the attempt are stopped, because
    /// the gang is as slow as its slowest task.
    fn stop_over_time_limit(&mut self, limited: LimitedTask) {
        let LimitedTask { machine, task, attempt } = limited;
        let same_attempt = |binding: &Binding| binding.task.job == task.job && binding.attempt == attempt;
        let bindings = &self.cluster.machines[machine.index()].bindings;
        let binding = bindings.iter().find(|binding| same_attempt(binding) && binding.task == task);
        let Some(job) = binding.and_then(|binding| binding.job) else { return };
        let Some(state) = self.workload.jobs.get(&job) else { return };
        let is_gang = state.spec.kind == JobKind::Gang;
        let machines: BTreeSet<MachineIx> = if is_gang {
            state.placements.values().flatten().map(|(ix, _)| *ix).collect()
        } else {
            BTreeSet::from([machine])
        };
        log::info!(event = "over_limit", task:% = task; "task {task} exceeded its time limit, stopping it");
        for ix in machines {
            let bindings = self.cluster.machines[ix.index()].bindings.iter_mut();
            for binding in
                bindings.filter(|binding| same_attempt(binding) && (is_gang || binding.task == task))
            {
                binding.stop_grace_ms = Some(TIME_LIMIT_STOP_GRACE_MS);
                binding.timed_out = true;
            }
            self.cluster.pending_direct_messages.insert(ix);
        }
    }
}
