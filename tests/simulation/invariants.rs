//! What must hold.

use serde_json::json;

use super::SimulatedCluster;

impl SimulatedCluster {
    /// The rules, at every start of a task and at every moment.
    pub fn check_tasks(&mut self, at: usize) {
        let started = std::mem::take(&mut self.workers[at].started_tasks);
        for task in started {
            let elsewhere = self.workers.iter().enumerate().any(|(other, worker)| {
                other != at && worker.attempts.iter().any(|p| p.task == task && p.has_image && !p.is_ended())
            });
            if elsewhere {
                self.violations.push(format!("ran_twice: {task}"));
            }
            let job = task.split('/').next().unwrap_or("").to_string();
            self.first_start.entry(job.clone()).or_insert(self.now);
            self.last_start.insert(job.clone(), self.now);
            self.faults.started_cancelled += u64::from(self.cancelled.contains_key(&job));
            self.violations.extend(self.dag_runs.find_early_start(&job, &self.kv_store));
            self.check_placement(at, &job, &task);
        }
        self.check_cancelled(at);
    }

    /// Also of machines that hang: what is on them may go on at any moment.
    pub fn check_cancelled(&mut self, at: usize) {
        let limit = self.worker_setting_ms("cancel_s", 0.0);
        for piece in self.workers[at].attempts.iter().filter(|piece| piece.has_image && !piece.is_ended()) {
            let Some(told) = self.cancelled.get(piece.job_name()) else { continue };
            self.faults.longest_cancelled_stay_ms =
                self.faults.longest_cancelled_stay_ms.max(self.now - told);
            if self.now > told + limit {
                self.violations.push(format!("ran_cancelled: {}", piece.task));
            }
        }
    }

    fn check_placement(&mut self, at: usize, job: &str, task: &str) {
        let Some(spec) = self.submissions.get(job).cloned() else { return };
        let worker = &self.workers[at];
        let kinds = spec["boxkinds"].as_array();
        let wrong = kinds.is_some_and(|kinds| !kinds.contains(&json!(worker.machine.machine_type)))
            || spec["hall"].as_str().is_some_and(|zone| zone != worker.machine.zone)
            || (worker.machine.spot && spec["loaners"] != json!(true));
        let zones: Vec<&str> = self
            .workers
            .iter()
            .flat_map(|worker| worker.attempts.iter().map(move |piece| (worker, piece)))
            .filter(|(_, piece)| piece.job_name() == job && piece.has_image && !piece.is_ended())
            .map(|(worker, _)| worker.machine.zone.as_str())
            .collect();
        let here = zones.iter().filter(|zone| **zone == worker.machine.zone).count();
        let apart = spec["together"] == json!(true) && here < zones.len();
        let most = (spec["pieces"].as_u64().unwrap_or(1) as usize).div_ceil(2);
        let crowded = spec["scatter"] == json!(true) && here > most;
        if wrong || apart || crowded {
            self.violations.push(format!("wrong_place: {task} on {}", worker.machine.name));
        }
        let team = spec["owner"].as_str().unwrap_or("");
        let limit = self.config["cluster"]["teams"]
            .as_array()
            .and_then(|teams| teams.iter().find(|t| t["name"] == json!(team))?["cpus_max"].as_f64())
            .unwrap_or(0.0);
        let used: f64 = self
            .workers
            .iter()
            .flat_map(|worker| &worker.attempts)
            .filter(|piece| piece.has_image && !piece.is_ended())
            .filter(|piece| {
                self.submissions.get(piece.job_name()).is_some_and(|other| other["owner"] == json!(team))
            })
            .filter_map(|piece| self.jobs.get(piece.job_name()).map(|job| job.cpus))
            .sum();
        if limit > 0.0 && used > limit + 1e-6 {
            self.violations.push(format!("quota: {team} uses {used}"));
        }
    }
}
