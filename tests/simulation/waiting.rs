//! Checks that no job waits without a reason: once the faults have ended, no job may have a task waiting for more
//! than 90 s while its team is under its limit and machines that it may use have free capacity for it, nor while the
//! leader's own answer is that it waits for nothing but the next placement pass or capacity plan.

use std::collections::BTreeMap;

use olivelatch::coordination::leader::Leader;
use olivelatch::coordination::leader::placement::outlook::Outlook;
use olivelatch_worker::Worker;
use serde_json::{Value, json};

use super::SimulatedCluster;
use super::actions::{ActionResult, usage_error};

const MAX_WAIT_MS: u64 = 90_000;
const CHECK_INTERVAL_MS: u64 = 1_000;

#[derive(Default)]
pub struct WaitingCheck {
    /// Whether the check is on, which means that the faults have ended.
    enabled: bool,
    /// Time since which each job has been waiting although it could start.
    waiting_since: BTreeMap<String, u64>,
    /// Time since which each job has been waiting for nothing but the leader's next step.
    stuck_since: BTreeMap<String, u64>,
}

/// CPUs and memory in thousandths, so that sums are exact.
type FreeCapacity = [i64; 2];

fn to_thousandths(value: f64) -> i64 {
    (value * 1000.0).round() as i64
}

impl SimulatedCluster {
    pub fn expect_prompt_starts(&mut self, words: &[&str]) -> ActionResult {
        if !words.is_empty() {
            return usage_error("no arguments");
        }
        self.waiting_check.enabled = true;
        Ok(())
    }

    pub fn check_waiting(&mut self) {
        if !self.waiting_check.enabled || self.now % CHECK_INTERVAL_MS != 0 {
            return;
        }
        let Some((index, leader)) = self.find_leader() else {
            self.waiting_check.waiting_since.clear();
            self.waiting_check.stuck_since.clear();
            return;
        };
        let stuck = self.stuck_jobs(index, leader);
        let mut could_start = Vec::new();
        for job in leader.workload.jobs.values().filter(|job| job.waiting_tasks() > 0 && !job.finishing) {
            let id = job.spec.id.to_string();
            // A job that fails on every machine is retried with an increasing backoff.
            let fails = job.probation.is_some() || job.retried_exclusions > 0;
            let Some(spec) = self.submissions.get(&id).filter(|_| !fails) else { continue };
            let gang = spec["shape"] == json!("gang");
            let tasks = if gang { job.spec.tasks as usize } else { 1 };
            if self.could_start(spec, tasks) {
                could_start.push(id);
            }
        }
        let before = std::mem::take(&mut self.waiting_check.waiting_since);
        let could_start: Vec<(String, &str)> =
            could_start.into_iter().map(|id| (id, "machines have free capacity for it")).collect();
        self.waiting_check.waiting_since = self.check_waits(could_start, &before);
        let before = std::mem::take(&mut self.waiting_check.stuck_since);
        self.waiting_check.stuck_since = self.check_waits(stuck, &before);
    }

    fn find_leader(&self) -> Option<(usize, &Leader)> {
        let slots = self.controllers.iter().enumerate();
        slots.filter_map(|(index, slot)| Some((index, slot.controller.as_ref()?.leader()?))).next()
    }

    /// Returns the jobs that, by the leader's answer, wait for nothing but its next step, with what that is.
    fn stuck_jobs(&self, index: usize, leader: &Leader) -> Vec<(String, &'static str)> {
        let clock = self.controller_clock(index);
        let jobs = leader.workload.jobs.iter();
        jobs.filter_map(|(ix, job)| match leader.outlook(*ix, clock) {
            Outlook::Room => {
                Some((job.spec.id.to_string(), "the leader counts on machines with room for it"))
            }
            Outlook::Rental => Some((job.spec.id.to_string(), "the leader could rent a machine for it")),
            _ => None,
        })
        .collect()
    }

    /// Reports the jobs that have been waiting for too long although they should not, for the reason that is given.
    /// `before` holds the time since which each job has been waiting; returns the same for these jobs.
    fn check_waits(
        &mut self,
        waiting: Vec<(String, &str)>,
        before: &BTreeMap<String, u64>,
    ) -> BTreeMap<String, u64> {
        let mut waiting_since = BTreeMap::new();
        for (id, reason) in waiting {
            // A job that has started a task since then makes progress.
            let started = self.last_start.get(&id).copied().unwrap_or(0);
            let since = before.get(&id).copied().filter(|since| *since > started).unwrap_or(self.now);
            if self.now - since > MAX_WAIT_MS {
                self.violations
                    .push(format!("waits: {id} has been waiting since {since} ms although {reason}"));
            }
            waiting_since.insert(id, since);
        }
        waiting_since
    }

    fn could_start(&self, spec: &Value, tasks: usize) -> bool {
        let request: FreeCapacity =
            ["vcpus", "memory_gb"].map(|name| to_thousandths(spec[name].as_f64().unwrap_or(0.0)));
        if !self.is_under_limit(spec, request[0] * tasks as i64) {
            return false;
        }
        let mut fitting_by_zone: BTreeMap<&str, i64> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| self.accepts_job(worker, spec)) {
            let free = self.free_capacity(worker);
            let requested = (0..request.len()).filter(|resource| request[*resource] > 0);
            let fitting = requested.map(|resource| free[resource] / request[resource]).min().unwrap_or(0);
            *fitting_by_zone.entry(worker.machine.zone.as_str()).or_default() += fitting.max(0);
        }
        let fitting = if spec["together"] == json!(true) {
            fitting_by_zone.values().copied().max().unwrap_or(0)
        } else {
            fitting_by_zone.values().sum()
        };
        // Jobs whose tasks must be spread over zones are not checked.
        spec["scatter"] != json!(true) && fitting >= tasks as i64
    }

    fn accepts_job(&self, worker: &Worker, spec: &Value) -> bool {
        let machine = &worker.machine;
        let kinds = spec["boxkinds"].as_array();
        self.cloud.machines.iter().any(|known| known.name == machine.name)
            && !worker.fails_tasks
            && kinds.is_none_or(|kinds| kinds.contains(&json!(machine.machine_type)))
            && spec["hall"].as_str().is_none_or(|zone| zone == machine.zone)
            && (!machine.spot || spec["loaners"] == json!(true))
    }

    fn free_capacity(&self, worker: &Worker) -> FreeCapacity {
        let kind = self.cloud.machine_types.iter().find(|kind| kind.name == worker.machine.machine_type);
        let mut free =
            kind.map_or([0, 0], |kind| [to_thousandths(kind.cpus), to_thousandths(kind.memory_gb)]);
        let live = worker.attempts.iter().filter(|attempt| !attempt.is_ended());
        for job in live.filter_map(|attempt| self.jobs.get(attempt.job_name())) {
            free[0] -= to_thousandths(job.cpus);
            free[1] -= to_thousandths(job.memory_gb);
        }
        free
    }

    fn is_under_limit(&self, spec: &Value, requested_cpus: i64) -> bool {
        let teams = self.config["cluster"]["teams"].as_array();
        let team = teams.and_then(|teams| teams.iter().find(|team| team["name"] == spec["owner"]));
        let limit = team.and_then(|team| team["cpus_max"].as_f64()).unwrap_or(0.0);
        let of_team =
            |id: &str| self.submissions.get(id).is_some_and(|other| other["owner"] == spec["owner"]);
        let attempts = self.workers.iter().flat_map(|worker| &worker.attempts);
        let used: i64 = attempts
            .filter(|attempt| !attempt.is_ended() && of_team(attempt.job_name()))
            .filter_map(|attempt| self.jobs.get(attempt.job_name()).map(|job| to_thousandths(job.cpus)))
            .sum();
        limit == 0.0 || used + requested_cpus <= to_thousandths(limit)
    }
}
