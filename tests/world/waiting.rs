//! Nobody waits for no reason: once the troubles are over, no job has a task waiting for 90 s while a machine that fits has
//! room for it and its team is under its limit.

use std::collections::BTreeMap;

use olivelatch_worker::Worker;
use serde_json::{Value, json};

use super::verbs::{Done, wrong};
use super::{Slot, World};

const MOST_MS: u64 = 90_000;
const LOOK_EVERY_MS: u64 = 1_000;

#[derive(Default)]
pub struct Waiting {
    /// Since when there are no troubles.
    calm: bool,
    /// Since when each job waits although it need not.
    since: BTreeMap<String, u64>,
}

/// What a machine has, in thousandths: CPUs and memory.
type Room = [i64; 2];

fn thousandths(value: f64) -> i64 {
    (value * 1000.0).round() as i64
}

impl World {
    pub fn calm(&mut self, words: &[&str]) -> Done {
        if !words.is_empty() {
            return wrong("nothing after calm");
        }
        self.waiting.calm = true;
        Ok(())
    }

    pub fn judge_waiting(&mut self) {
        if !self.waiting.calm || self.now % LOOK_EVERY_MS != 0 {
            return;
        }
        let Some(leader) = self.nodes.iter().find_map(|slot: &Slot| slot.node.as_ref()?.leader()) else {
            self.waiting.since.clear();
            return;
        };
        let mut could_start = Vec::new();
        for work in leader.work.values().filter(|work| work.waiting() > 0 && !work.ending) {
            let id = work.info.id.to_string();
            // What fails wherever it is tried waits for longer and longer.
            let fails = work.trial.is_some() || work.forgiven > 0;
            let Some(spec) = self.specs.get(&id).filter(|_| !fails) else { continue };
            let gang = spec["shape"] == json!("gang");
            let tasks = if gang { work.info.tasks as usize } else { 1 };
            if self.could_start(spec, tasks) {
                could_start.push(id);
            }
        }
        let now = self.now;
        let before = std::mem::take(&mut self.waiting.since);
        for id in could_start {
            // A job that has started something since does not stand still.
            let started = self.last_start.get(&id).copied().unwrap_or(0);
            let since = before.get(&id).copied().filter(|since| *since > started).unwrap_or(now);
            if now - since > MOST_MS {
                self.broken.push(format!("waits: {id} since {since} ms with room for it"));
            }
            self.waiting.since.insert(id, since);
        }
    }

    fn could_start(&self, spec: &Value, tasks: usize) -> bool {
        let need: Room = ["vcpus", "memory_gb"].map(|name| thousandths(spec[name].as_f64().unwrap_or(0.0)));
        if !self.under_limit(spec, need[0] * tasks as i64) {
            return false;
        }
        let mut fit: BTreeMap<&str, i64> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| self.may_take(worker, spec)) {
            let free = self.free(worker);
            let most = (0..2).filter(|at| need[*at] > 0).map(|at| free[at] / need[at]).min().unwrap_or(0);
            *fit.entry(worker.machine.zone.as_str()).or_default() += most.max(0);
        }
        let room = if spec["together"] == json!(true) {
            fit.values().copied().max().unwrap_or(0)
        } else {
            fit.values().sum()
        };
        // How the halves of a scattered job fall is not looked at.
        spec["scatter"] != json!(true) && room >= tasks as i64
    }

    fn may_take(&self, worker: &Worker, spec: &Value) -> bool {
        let machine = &worker.machine;
        let kinds = spec["boxkinds"].as_array();
        self.cloud.machines.iter().any(|there| there.name == machine.name)
            && !worker.sick
            && kinds.is_none_or(|kinds| kinds.contains(&json!(machine.kind)))
            && spec["hall"].as_str().is_none_or(|zone| zone == machine.zone)
            && (!machine.spot || spec["loaners"] == json!(true))
    }

    fn free(&self, worker: &Worker) -> Room {
        let kind = self.cloud.kinds.iter().find(|kind| kind.name == worker.machine.kind);
        let mut free = kind.map_or([0, 0], |kind| [thousandths(kind.cpus), thousandths(kind.memory)]);
        for job in worker.attempts.iter().filter(|p| !p.ended()).filter_map(|p| self.jobs.get(p.job())) {
            free[0] -= thousandths(job.cpus);
            free[1] -= thousandths(job.memory_gb);
        }
        free
    }

    fn under_limit(&self, spec: &Value, more: i64) -> bool {
        let teams = self.config["cluster"]["teams"].as_array();
        let team = teams.and_then(|teams| teams.iter().find(|team| team["name"] == spec["owner"]));
        let limit = team.and_then(|team| team["cpus_max"].as_f64()).unwrap_or(0.0);
        let of_team = |id: &str| self.specs.get(id).is_some_and(|other| other["owner"] == spec["owner"]);
        let pieces = self.workers.iter().flat_map(|worker| &worker.attempts);
        let used: i64 = pieces
            .filter(|piece| !piece.ended() && of_team(piece.job()))
            .filter_map(|piece| self.jobs.get(piece.job()).map(|job| thousandths(job.cpus)))
            .sum();
        limit == 0.0 || used + more <= thousandths(limit)
    }
}
