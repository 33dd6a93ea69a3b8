//! Tasks that may be running according to the assignment log, the only source for controllers that do not lead.

use std::collections::BTreeMap;

use super::StoreCache;
use crate::bookkeeping::records::AssignmentLogRecord;
use crate::ids::JobId;

impl StoreCache {
    pub(super) fn add_recorded_tasks(&mut self, record: &AssignmentLogRecord) {
        for (task, _) in record.assigned_tasks() {
            *self.recorded_tasks.entry(task.job).or_default().entry(task.task).or_default() += 1;
            self.count_started(task.job);
        }
    }

    pub(super) fn remove_recorded_tasks(&mut self, record: &AssignmentLogRecord) {
        for (task, _) in record.assigned_tasks() {
            let Some(tasks) = self.recorded_tasks.get_mut(&task.job) else { continue };
            if let Some(count) = tasks.get_mut(&task.task).filter(|count| **count > 1) {
                *count -= 1;
                continue;
            }
            tasks.remove(&task.task);
            if tasks.is_empty() {
                self.recorded_tasks.remove(&task.job);
            }
        }
    }

    /// Returns how many tasks of a job may be on machines, for display.
    pub fn recorded_running_tasks(&self, id: JobId) -> u32 {
        let Some((job, tasks)) = self.find_job(id).zip(self.recorded_tasks.get(&id)) else { return 0 };
        tasks.keys().filter(|task| !job.finished_tasks.contains(**task)).count() as u32
    }

    /// Returns [`recorded_running_tasks`](Self::recorded_running_tasks) for all jobs for which it is above zero.
    pub fn recorded_running_by_job(&self) -> BTreeMap<JobId, u32> {
        let running = self.recorded_tasks.keys().map(|id| (*id, self.recorded_running_tasks(*id)));
        running.filter(|(_, tasks)| *tasks > 0).collect()
    }

    /// Returns the machines on which tasks of a job may be, and the attempts there, by task.
    pub fn recorded_machines(&self, id: JobId) -> BTreeMap<u32, Vec<(String, u64)>> {
        let mut by_task: BTreeMap<u32, Vec<(String, u64)>> = BTreeMap::new();
        for recorded in self.assignment_log.values().flat_map(AssignmentLogRecord::recorded_machines) {
            for (task, attempt) in recorded.tasks.iter().filter(|(task, _)| task.job == id) {
                let assignment = (recorded.machine.name.clone(), attempt.0);
                let assignments = by_task.entry(task.task).or_default();
                if !assignments.contains(&assignment) {
                    assignments.push(assignment);
                }
            }
        }
        by_task
    }
}
