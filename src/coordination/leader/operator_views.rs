//! Views of the leader's state for operators: tasks and events of a job, and the status of the leader itself.
//!
//! The views change nothing and need no request to the key-value store.

use std::collections::BTreeMap;

use super::event_log::LoggedEvent;
use super::{Binding, DispatchState, Leader, Machine, MachineState};
use crate::bookkeeping::jobs::NameRegistry;
use crate::ids::{JobId, JobIx, MachineIx, from_milli};
use crate::protocol::operators::{JobEvent, LeaderStatus, TaskStateView, TaskSummary, TeamStatus};
use crate::protocol::workers::TaskPhase;

impl Leader {
    /// Returns at most `limit` unfinished tasks of a job with numbers above `after`. If there are more, it also
    /// returns the value of `after` for the next page.
    pub(in crate::coordination) fn task_rows(
        &self,
        ix: JobIx,
        after: Option<u32>,
        limit: usize,
    ) -> (Vec<TaskSummary>, Option<u32>) {
        let Some(job_state) = self.workload.jobs.get(&ix) else { return (Vec::new(), None) };
        let delayed = self.delayed_tasks(ix);
        let mut unfinished =
            job_state.finished.iter_missing().filter(|task| after.is_none_or(|after| *task > after));
        let rows: Vec<TaskSummary> = unfinished
            .by_ref()
            .take(limit)
            .map(|task| match job_state.placements.get(&task) {
                Some(placements) => {
                    self.placed_task_row(ix, task, placements.iter().map(|(machine, _)| *machine))
                }
                None => unplaced_task_row(task, delayed.contains(&task)),
            })
            .collect();
        let next_after = unfinished.next().and(rows.last().map(|row| row.task));
        (rows, next_after)
    }

    /// Returns the tasks of a job that wait for their retry backoff.
    fn delayed_tasks(&self, ix: JobIx) -> Vec<u32> {
        let delayed = self.workload.retry_queue.values().flatten();
        delayed.filter(|(job, _)| *job == ix).map(|(_, task)| *task).collect()
    }

    fn placed_task_row(
        &self,
        job: JobIx,
        task: u32,
        machines: impl Iterator<Item = MachineIx>,
    ) -> TaskSummary {
        let machines: Vec<MachineIx> = machines.collect();
        let binding = machines.iter().find_map(|ix| self.binding_of(*ix, job, task));
        TaskSummary {
            task,
            state: binding.map_or(TaskStateView::Recorded, task_state_view),
            attempt: binding.map(|binding| binding.attempt.0),
            machines: machines.iter().map(|ix| self.cluster.machines[ix.index()].name.clone()).collect(),
        }
    }

    /// Returns the latest events of a job, and whether earlier ones are unknown.
    pub(in crate::coordination) fn event_rows(&self, id: JobId) -> (Vec<JobEvent>, bool) {
        let Some(history) = self.event_log.history_of(id) else { return (Vec::new(), true) };
        let row = |logged: &LoggedEvent| JobEvent {
            at_ms: logged.at_wall_ms,
            kind: logged.event,
            first_task: (logged.task_count > 0).then_some(logged.first_task),
            tasks: logged.task_count,
            machine: logged.machine.map(|ix| self.cluster.machines[ix.index()].name.clone()),
        };
        (history.events.iter().map(row).collect(), history.truncated)
    }

    /// Returns the leader's status: queues, counters, machines and teams.
    pub(in crate::coordination) fn leader_status(&self, registry: &NameRegistry) -> LeaderStatus {
        let mut status = LeaderStatus {
            queued_backlog: self.placement.backlog.len() as u64,
            gangs_waiting: self.placement.waiting_gangs.len() as u64,
            tasks_placed: self.workload.placed_task_counts.values().map(|count| u64::from(*count)).sum(),
            tasks_bound: self.counters.tasks_bound,
            steals: self.counters.steals,
            stolen_tasks: self.counters.stolen_tasks,
            spilled_tasks: self.counters.spilled_tasks,
            preempted_tasks: self.counters.preempted_tasks,
            machines_lost: self.counters.machines_lost,
            orphan_tasks: self.counters.orphan_tasks,
            duplicate_heartbeats: self.counters.duplicate_heartbeats,
            superseded_attempts: self.counters.superseded_attempts,
            tokens_raised: self.counters.tokens_raised,
            forgets_deferred: self.counters.forgets_deferred,
            max_tasks_per_heartbeat: self.counters.max_tasks_per_heartbeat,
            kv_mutations: self.counters.kv_mutations,
            log_segments: self.assignment_log.segment_count() as u64,
            ..LeaderStatus::default()
        };
        for machine in &self.cluster.machines {
            count_machine(&mut status, machine);
        }
        status.teams = self.team_statuses(registry);
        status
    }

    fn team_statuses(&self, registry: &NameRegistry) -> Vec<TeamStatus> {
        let teams: BTreeMap<_, _> = self.quotas.team_settings.iter().collect();
        let statuses = teams.into_iter().map(|(ix, team)| {
            let limit = team.effective_limit().cpu;
            TeamStatus {
                team: registry.teams.name_or_unknown(ix.index()).into(),
                used_cpus: from_milli(self.quotas.usage.get(ix).map_or(0, |used| used.cpu)),
                guaranteed_cpus: from_milli(team.guaranteed.cpu),
                limit_cpus: (limit < u64::MAX).then(|| from_milli(limit)),
            }
        });
        statuses.collect()
    }
}

fn count_machine(status: &mut LeaderStatus, machine: &Machine) {
    match machine.state {
        MachineState::Booting => status.machines_booting += 1,
        MachineState::Unreachable => status.machines_unreachable += 1,
        MachineState::Gone => return,
        MachineState::Up => {
            status.machines_up += 1;
            status.cpus += from_milli(machine.capacity.cpu);
            status.cpus_used += from_milli(machine.used.cpu);
        }
    }
    status.queued_shared += machine.shared_queue.len() as u64;
    status.queued_dedicated += machine.dedicated_queue.len() as u64;
}

fn unplaced_task_row(task: u32, is_delayed: bool) -> TaskSummary {
    let state = if is_delayed { TaskStateView::RetryWait } else { TaskStateView::Waiting };
    TaskSummary { task, state, attempt: None, machines: Vec::new() }
}

/// Returns the state of a task that is bound to a machine.
fn task_state_view(binding: &Binding) -> TaskStateView {
    if binding.stop_grace_ms.is_some() {
        return TaskStateView::Stopping;
    }
    match binding.reported_state {
        Some(TaskPhase::Fetching) => TaskStateView::Fetching,
        Some(TaskPhase::WaitingForPeers) => TaskStateView::WaitingForPeers,
        Some(TaskPhase::Running) => TaskStateView::Running,
        Some(TaskPhase::Checkpointing) => TaskStateView::Checkpointing,
        Some(TaskPhase::Exited(_)) => TaskStateView::Stopping,
        None if binding.dispatch == DispatchState::Inherited => TaskStateView::Recorded,
        None => TaskStateView::Starting,
    }
}
