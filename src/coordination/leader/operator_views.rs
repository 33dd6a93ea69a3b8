//! What a leader shows of jobs, events and itself.

use std::collections::BTreeMap;

use super::event_log::LoggedEvent;
use super::{Binding, Leader, MachineState};
use crate::bookkeeping::jobs::NameRegistry;
use crate::ids::{JobId, JobIx, MachineIx, from_milli};
use crate::protocol::operators::{JobEvent, LeaderStatus, TaskStateView, TaskSummary, TeamStatus};
use crate::protocol::workers::TaskPhase;

impl Leader {
    /// Tasks of a job that are not done, from behind `after` on, and where the next page begins.
    pub fn task_rows(&self, ix: JobIx, after: Option<u32>, limit: usize) -> (Vec<TaskSummary>, Option<u32>) {
        let Some(work) = self.workload.jobs.get(&ix) else { return (Vec::new(), None) };
        let delayed: Vec<u32> = self
            .workload
            .retry_queue
            .values()
            .flatten()
            .filter(|(job, _)| *job == ix)
            .map(|(_, task)| *task)
            .collect();
        let mut open = work.finished.iter_missing().filter(|task| after.is_none_or(|after| *task > after));
        let rows: Vec<TaskSummary> = open
            .by_ref()
            .take(limit)
            .map(|task| match work.placements.get(&task) {
                Some(places) => self.placed_task_row(ix, task, places.iter().map(|(machine, _)| *machine)),
                None => {
                    let state = if delayed.contains(&task) {
                        TaskStateView::RetryWait
                    } else {
                        TaskStateView::Waiting
                    };
                    TaskSummary { task, state, attempt: None, machines: Vec::new() }
                }
            })
            .collect();
        let next = open.next().and(rows.last().map(|row| row.task));
        (rows, next)
    }

    fn placed_task_row(
        &self,
        job: JobIx,
        task: u32,
        machines: impl Iterator<Item = MachineIx>,
    ) -> TaskSummary {
        let places: Vec<MachineIx> = machines.collect();
        let binding = places.iter().find_map(|ix| self.binding_of(*ix, job, task));
        TaskSummary {
            task,
            state: binding.map_or(TaskStateView::Recorded, task_state_word),
            attempt: binding.map(|binding| binding.attempt.0),
            machines: places.iter().map(|ix| self.cluster.machines[ix.index()].name.clone()).collect(),
        }
    }

    /// The last decisions on a job, and whether earlier ones are unknown.
    pub fn event_rows(&self, id: JobId) -> (Vec<JobEvent>, bool) {
        let Some(ring) = self.event_log.history_of(id) else { return (Vec::new(), true) };
        let row = |noted: &LoggedEvent| JobEvent {
            at_ms: noted.at_wall_ms,
            kind: noted.event,
            first_task: (noted.task_count > 0).then_some(noted.first_task),
            tasks: noted.task_count,
            machine: noted.machine.map(|ix| self.cluster.machines[ix.index()].name.clone()),
        };
        (ring.events.iter().map(row).collect(), ring.truncated)
    }

    pub fn leader_status(&self, registry: &NameRegistry) -> LeaderStatus {
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
            kv_mutations: self.counters.kv_mutations,
            log_segments: self.assignment_log.segment_count() as u64,
            ..LeaderStatus::default()
        };
        for machine in &self.cluster.machines {
            match machine.state {
                MachineState::Booting => status.machines_booting += 1,
                MachineState::Unreachable => status.machines_unreachable += 1,
                MachineState::Gone => continue,
                MachineState::Up => {
                    status.machines_up += 1;
                    status.cpus += from_milli(machine.capacity.cpu);
                    status.cpus_used += from_milli(machine.used.cpu);
                }
            }
            status.queued_shared += machine.shared_queue.len() as u64;
            status.queued_dedicated += machine.dedicated_queue.len() as u64;
        }
        status.teams = self.team_statuses(registry);
        status
    }

    fn team_statuses(&self, registry: &NameRegistry) -> Vec<TeamStatus> {
        let teams: BTreeMap<_, _> = self.quotas.team_settings.iter().collect();
        let figures = teams.into_iter().map(|(ix, team)| {
            let limit = team.effective_limit().cpu;
            TeamStatus {
                team: registry.teams.name_or_unknown(ix.index()).into(),
                used_cpus: from_milli(self.quotas.usage.get(ix).map_or(0, |used| used.cpu)),
                guaranteed_cpus: from_milli(team.guaranteed.cpu),
                limit_cpus: (limit < u64::MAX).then(|| from_milli(limit)),
            }
        });
        figures.collect()
    }
}

fn task_state_word(binding: &Binding) -> TaskStateView {
    if binding.stop_grace_ms.is_some() {
        return TaskStateView::Stopping;
    }
    match binding.reported_state {
        Some(TaskPhase::Fetching) => TaskStateView::Fetching,
        Some(TaskPhase::WaitingForPeers) => TaskStateView::WaitingForPeers,
        Some(TaskPhase::Running) => TaskStateView::Running,
        Some(TaskPhase::Checkpointing) => TaskStateView::Checkpointing,
        Some(TaskPhase::Exited(_)) => TaskStateView::Stopping,
        None if binding.dispatch == super::DispatchState::Inherited => TaskStateView::Recorded,
        None => TaskStateView::Starting,
    }
}
