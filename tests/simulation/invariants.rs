//! Invariants of tasks, some of which are checked whenever a task starts, the others at every step. A violation fails
//! the scenario.

use serde_json::{Value, json};

use super::SimulatedCluster;

impl SimulatedCluster {
    /// Checks each task that a worker has just started, and that the worker's cancelled tasks have stopped in time.
    pub fn check_tasks(&mut self, worker_index: usize) {
        let started = std::mem::take(&mut self.workers[worker_index].started_tasks);
        for task in started {
            let runs_elsewhere = self.workers.iter().enumerate().any(|(other, worker)| {
                other != worker_index
                    && worker
                        .attempts
                        .iter()
                        .any(|attempt| attempt.task == task && attempt.has_image && !attempt.is_ended())
            });
            if runs_elsewhere {
                self.violations.push(format!("ran_twice: {task}"));
            }
            let job = task.split('/').next().unwrap_or("").to_string();
            self.first_start.entry(job.clone()).or_insert(self.now);
            self.last_start.insert(job.clone(), self.now);
            *self.start_counts.entry(job.clone()).or_default() += 1;
            self.faults.started_after_cancel += u64::from(self.cancelled.contains_key(&job));
            self.violations.extend(self.dag_runs.find_early_start(&job, &self.kv_store));
            self.check_placement(worker_index, &job, &task);
        }
        self.check_cancelled(worker_index);
    }

    /// Checks that a worker's cancelled tasks stop before the deadline. This includes tasks on hung machines, since
    /// these may resume at any moment.
    pub fn check_cancelled(&mut self, worker_index: usize) {
        let deadline_ms = self.worker_setting_ms("cancel_s", 0.0);
        let attempts = &self.workers[worker_index].attempts;
        for attempt in attempts.iter().filter(|attempt| attempt.has_image && !attempt.is_ended()) {
            let Some(cancelled_at) = self.cancelled.get(attempt.job_name()) else { continue };
            self.faults.longest_run_after_cancel_ms =
                self.faults.longest_run_after_cancel_ms.max(self.now - cancelled_at);
            if self.now > cancelled_at + deadline_ms {
                self.violations.push(format!("ran_cancelled: {}", attempt.task));
            }
        }
    }

    /// Called when a worker has started a task. Checks that its machine is allowed for the job, that the job's tasks
    /// are in one zone or spread over zones as requested, and that its team is within its limit.
    fn check_placement(&mut self, worker_index: usize, job: &str, task: &str) {
        let Some(spec) = self.submissions.get(job).cloned() else { return };
        let worker = &self.workers[worker_index];
        let allowed_types = spec["boxkinds"].as_array();
        let is_disallowed = allowed_types
            .is_some_and(|allowed| !allowed.contains(&json!(worker.machine.machine_type)))
            || spec["hall"].as_str().is_some_and(|zone| zone != worker.machine.zone)
            || (worker.machine.spot && spec["loaners"] != json!(true));
        let zones: Vec<&str> = self
            .workers
            .iter()
            .flat_map(|worker| worker.attempts.iter().map(move |attempt| (worker, attempt)))
            .filter(|(_, attempt)| attempt.job_name() == job && attempt.has_image && !attempt.is_ended())
            .map(|(worker, _)| worker.machine.zone.as_str())
            .collect();
        let in_this_zone = zones.iter().filter(|zone| **zone == worker.machine.zone).count();
        let is_split = spec["together"] == json!(true) && in_this_zone < zones.len();
        let max_per_zone = (spec["pieces"].as_u64().unwrap_or(1) as usize).div_ceil(2);
        let is_crowded = spec["scatter"] == json!(true) && in_this_zone > max_per_zone;
        if is_disallowed || is_split || is_crowded {
            self.violations.push(format!("wrong_place: {task} on {}", worker.machine.name));
        }
        self.check_team_limit(&spec);
    }

    /// Called when a task has started. Checks that the running tasks of its team are within the team's limit.
    fn check_team_limit(&mut self, spec: &Value) {
        let team = spec["owner"].as_str().unwrap_or("");
        let limit = self.config["cluster"]["teams"]
            .as_array()
            .and_then(|teams| teams.iter().find(|known| known["name"] == json!(team))?["cpus_max"].as_f64())
            .unwrap_or(0.0);
        let used: f64 = self
            .workers
            .iter()
            .flat_map(|worker| &worker.attempts)
            .filter(|attempt| attempt.has_image && !attempt.is_ended())
            .filter(|attempt| {
                self.submissions.get(attempt.job_name()).is_some_and(|other| other["owner"] == json!(team))
            })
            .filter_map(|attempt| self.jobs.get(attempt.job_name()).map(|job| job.cpus))
            .sum();
        if limit > 0.0 && used > limit + 1e-6 {
            self.violations.push(format!("quota: {team} uses {used} CPUs, its limit is {limit}"));
        }
    }
}
