//! What a leader shows of jobs, events and itself.

use std::collections::BTreeMap;

use super::journal::Noted;
use super::{Binding, Leader, Life};
use crate::bookkeeping::jobs::Registry;
use crate::ids::{JobId, JobIx, MachineIx, units};
use crate::protocol::operators::{EventRow, LeaderStatus, TaskRow, TaskWord, TeamStatus};
use crate::protocol::workers::TaskState;

impl Leader {
    /// Tasks of a job that are not done, from behind `after` on, and where the next page begins.
    pub fn task_rows(&self, ix: JobIx, after: Option<u32>, limit: usize) -> (Vec<TaskRow>, Option<u32>) {
        let Some(work) = self.work.get(&ix) else { return (Vec::new(), None) };
        let delayed: Vec<u32> =
            self.delayed.values().flatten().filter(|(job, _)| *job == ix).map(|(_, task)| *task).collect();
        let mut open = work.done.missing().filter(|task| after.is_none_or(|after| *task > after));
        let rows: Vec<TaskRow> = open
            .by_ref()
            .take(limit)
            .map(|task| match work.out.get(&task) {
                Some(places) => self.placed_row(ix, task, places.iter().map(|(machine, _)| *machine)),
                None => {
                    let state = if delayed.contains(&task) { TaskWord::RetryWait } else { TaskWord::Waiting };
                    TaskRow { task, state, attempt: None, machines: Vec::new() }
                }
            })
            .collect();
        let next = open.next().and(rows.last().map(|row| row.task));
        (rows, next)
    }

    fn placed_row(&self, job: JobIx, task: u32, places: impl Iterator<Item = MachineIx>) -> TaskRow {
        let places: Vec<MachineIx> = places.collect();
        let binding = places.iter().find_map(|ix| self.binding_of(*ix, job, task));
        TaskRow {
            task,
            state: binding.map_or(TaskWord::Placed, task_word),
            attempt: binding.map(|binding| binding.attempt.0),
            machines: places.iter().map(|ix| self.machines[ix.at()].name.clone()).collect(),
        }
    }

    /// The last decisions on a job, and whether earlier ones are unknown.
    pub fn event_rows(&self, id: JobId) -> (Vec<EventRow>, bool) {
        let Some(ring) = self.journal.ring(id) else { return (Vec::new(), true) };
        let row = |noted: &Noted| EventRow {
            at_ms: noted.at_wall_ms,
            event: noted.event,
            first_task: (noted.tasks > 0).then_some(noted.first),
            tasks: noted.tasks,
            machine: noted.machine.map(|ix| self.machines[ix.at()].name.clone()),
        };
        (ring.events.iter().map(row).collect(), ring.cut)
    }

    pub fn figures(&self, names: &Registry) -> LeaderStatus {
        let mut status = LeaderStatus {
            queued_nowhere: self.backlog.len() as u64,
            gangs_waiting: self.gangs.len() as u64,
            tasks_out: self.bound.values().map(|count| u64::from(*count)).sum(),
            starts: self.counters.bound,
            steals: self.counters.steals,
            stolen_tasks: self.counters.stolen,
            spilled_tasks: self.counters.spilled,
            preempted_tasks: self.counters.preempted,
            machines_lost: self.counters.lost_machines,
            state_changes: self.counters.changes,
            log_parts: self.history.parts() as u64,
            ..LeaderStatus::default()
        };
        for machine in &self.machines {
            match machine.life {
                Life::Booting => status.machines_booting += 1,
                Life::Silent => status.machines_silent += 1,
                Life::Gone => continue,
                Life::Up => {
                    status.machines_up += 1;
                    status.cpus += units(machine.size.cpu);
                    status.cpus_used += units(machine.used.cpu);
                }
            }
            status.queued_shared += machine.shared.len() as u64;
            status.queued_dedicated += machine.dedicated.len() as u64;
        }
        status.teams = self.team_figures(names);
        status
    }

    fn team_figures(&self, names: &Registry) -> Vec<TeamStatus> {
        let teams: BTreeMap<_, _> = self.teams.iter().collect();
        let figures = teams.into_iter().map(|(ix, team)| {
            let limit = team.limit().cpu;
            TeamStatus {
                team: names.teams.name_at(ix.at()).into(),
                used_cpus: units(self.usage.get(ix).map_or(0, |used| used.cpu)),
                guaranteed_cpus: units(team.guaranteed.cpu),
                limit_cpus: (limit < u64::MAX).then(|| units(limit)),
            }
        });
        figures.collect()
    }
}

fn task_word(binding: &Binding) -> TaskWord {
    if binding.halt.is_some() {
        return TaskWord::Stopping;
    }
    match binding.state {
        Some(TaskState::Fetching) => TaskWord::Fetching,
        Some(TaskState::Gathering) => TaskWord::Gathering,
        Some(TaskState::Running) => TaskWord::Running,
        Some(TaskState::Saving) => TaskWord::Saving,
        Some(TaskState::Exited(_)) => TaskWord::Stopping,
        None if binding.run == super::Run::Inherited => TaskWord::Placed,
        None => TaskWord::Starting,
    }
}
