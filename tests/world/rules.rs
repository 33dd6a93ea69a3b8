//! What must hold.

use serde_json::json;

use super::World;

impl World {
    /// The rules, at every start of a task and at every moment.
    pub fn judge(&mut self, at: usize) {
        let started = std::mem::take(&mut self.workers[at].started);
        for task in started {
            let elsewhere = self.workers.iter().enumerate().any(|(other, worker)| {
                other != at && worker.attempts.iter().any(|p| p.task == task && p.on && !p.ended())
            });
            if elsewhere {
                self.broken.push(format!("ran_twice: {task}"));
            }
            let job = task.split('/').next().unwrap_or("").to_string();
            self.started.entry(job.clone()).or_insert(self.now);
            self.last_start.insert(job.clone(), self.now);
            self.troubles.started_cancelled += u64::from(self.withdrawn.contains_key(&job));
            self.broken.extend(self.flows.started_too_early(&job, &self.state));
            self.judge_place(at, &job, &task);
        }
        self.judge_withdrawn(at);
    }

    /// Also of machines that hang: what is on them may go on at any moment.
    pub fn judge_withdrawn(&mut self, at: usize) {
        let limit = (self.config["cluster"]["workers"]["cancel_s"].as_f64().unwrap_or(0.0) * 1000.0) as u64;
        for piece in self.workers[at].attempts.iter().filter(|piece| piece.on && !piece.ended()) {
            let Some(told) = self.withdrawn.get(piece.job()) else { continue };
            self.troubles.longest_stay = self.troubles.longest_stay.max(self.now - told);
            if self.now > told + limit {
                self.broken.push(format!("ran_cancelled: {}", piece.task));
            }
        }
    }

    fn judge_place(&mut self, at: usize, job: &str, task: &str) {
        let Some(spec) = self.specs.get(job).cloned() else { return };
        let worker = &self.workers[at];
        let kinds = spec["boxkinds"].as_array();
        let wrong = kinds.is_some_and(|kinds| !kinds.contains(&json!(worker.machine.kind)))
            || spec["hall"].as_str().is_some_and(|zone| zone != worker.machine.zone)
            || (worker.machine.spot && spec["loaners"] != json!(true));
        let zones: Vec<&str> = self
            .workers
            .iter()
            .flat_map(|worker| worker.attempts.iter().map(move |piece| (worker, piece)))
            .filter(|(_, piece)| piece.job() == job && piece.on && !piece.ended())
            .map(|(worker, _)| worker.machine.zone.as_str())
            .collect();
        let here = zones.iter().filter(|zone| **zone == worker.machine.zone).count();
        let apart = spec["together"] == json!(true) && here < zones.len();
        let most = (spec["pieces"].as_u64().unwrap_or(1) as usize).div_ceil(2);
        let crowded = spec["scatter"] == json!(true) && here > most;
        if wrong || apart || crowded {
            self.broken.push(format!("wrong_place: {task} on {}", worker.machine.name));
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
            .filter(|piece| piece.on && !piece.ended())
            .filter(|piece| self.specs.get(piece.job()).is_some_and(|other| other["owner"] == json!(team)))
            .filter_map(|piece| self.jobs.get(piece.job()).map(|job| job.cpus))
            .sum();
        if limit > 0.0 && used > limit + 1e-6 {
            self.broken.push(format!("quota: {team} uses {used}"));
        }
    }
}
