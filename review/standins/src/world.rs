//! What the test knows of jobs, and the watch over the rules: which tasks are on which machines, and what users were
//! told.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use crate::json::{Json, num, obj, string};
use crate::rec;

#[derive(Debug, Clone)]
pub struct Job {
    pub uid: String,
    pub class: String,
    pub owner: String,
    pub shape: String,
    pub urgency: String,
    pub pieces: u32,
    pub vcpus: f64,
    pub memory_gb: f64,
    pub bundle: String,
    pub size_gb: f64,
    pub boxkinds: Option<Vec<String>>,
    pub hall: Option<String>,
    pub together: bool,
    pub scatter: bool,
    pub loaners: bool,
    pub guess_s: f64,
    pub due_s: Option<f64>,
    /// How long a task really runs.
    pub run_s: f64,
}

impl Job {
    pub fn array(number: u64, owner: &str, pieces: u32, vcpus: f64, run_s: f64) -> Job {
        Job {
            uid: format!("job-{number:06}"),
            class: "batch".into(),
            owner: owner.into(),
            shape: "array".into(),
            urgency: "normal".into(),
            pieces,
            vcpus,
            memory_gb: vcpus,
            bundle: "img-01".into(),
            size_gb: 0.2,
            boxkinds: None,
            hall: None,
            together: false,
            scatter: false,
            loaners: true,
            guess_s: run_s,
            due_s: None,
            run_s,
        }
    }

    pub fn body(&self) -> String {
        let kinds = |kinds: &Vec<String>| Json::Arr(kinds.iter().map(|kind| string(kind.clone())).collect());
        obj(vec![
            ("uid", string(self.uid.clone())),
            ("jobclass", string(self.class.clone())),
            ("owner", string(self.owner.clone())),
            ("shape", string(self.shape.clone())),
            ("urgency", string(self.urgency.clone())),
            ("pieces", num(self.pieces)),
            ("vcpus", num(self.vcpus)),
            ("accelerators", num("0.0")),
            ("memory_gb", num(self.memory_gb)),
            ("bundle", string(self.bundle.clone())),
            ("size_gb", num(self.size_gb)),
            ("boxkinds", self.boxkinds.as_ref().map_or(Json::Null, kinds)),
            ("hall", self.hall.clone().map_or(Json::Null, string)),
            ("together", Json::Bool(self.together)),
            ("scatter", Json::Bool(self.scatter)),
            ("loaners", Json::Bool(self.loaners)),
            ("guess_s", num(self.guess_s)),
            ("snapshot_s", num("0.0")),
            ("flush_s", num("0.0")),
            ("due_s", self.due_s.map_or(Json::Null, num)),
        ])
        .text()
    }
}

/// Where a machine is and what kind it is.
#[derive(Debug, Clone)]
pub struct Place {
    pub machine: String,
    pub boxkind: String,
    pub hall: String,
    pub loaners: bool,
}

#[derive(Default)]
pub struct Facts {
    pub jobs: BTreeMap<String, Job>,
    /// The machines on which each task is, from the moment it has its image.
    pub present: BTreeMap<(String, u32), BTreeMap<String, Place>>,
    pub done: BTreeMap<String, BTreeSet<u32>>,
    pub starts: u64,
    pub violations: Vec<String>,
    pub limits: BTreeMap<String, f64>,
}

#[derive(Clone, Default)]
pub struct World(pub Arc<Mutex<Facts>>);

impl World {
    pub fn facts(&self) -> std::sync::MutexGuard<'_, Facts> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn violation(&self, rule: &str, text: &str) {
        rec!("RULE BROKEN {rule}: {text}");
        self.facts().violations.push(format!("{rule}: {text}"));
    }

    /// A task has its image: it starts.
    pub fn starts(&self, job: &str, task: u32, attempt: u64, place: &Place) {
        let mut facts = self.facts();
        facts.starts += 1;
        rec!(
            "start {job}/{task} try {attempt} on {} ({} {} loaner {})",
            place.machine,
            place.boxkind,
            place.hall,
            place.loaners
        );
        let mut broken = Vec::new();
        let elsewhere: Vec<String> = facts
            .present
            .get(&(job.to_string(), task))
            .map(|on| on.keys().filter(|machine| **machine != place.machine).cloned().collect())
            .unwrap_or_default();
        if !elsewhere.is_empty() {
            broken.push(format!(
                "ran_twice: {job}/{task} starts on {} while it is on {elsewhere:?}",
                place.machine
            ));
        }
        if let Some(spec) = facts.jobs.get(job).cloned() {
            let others: Vec<Place> = facts
                .present
                .iter()
                .filter(|((other, number), _)| other == job && *number != task)
                .flat_map(|(_, on)| on.values().cloned())
                .collect();
            let in_zone = others.iter().filter(|other| other.hall == place.hall).count() as u32;
            let wrong = spec.boxkinds.as_ref().is_some_and(|kinds| !kinds.contains(&place.boxkind))
                || spec.hall.as_ref().is_some_and(|hall| *hall != place.hall)
                || (place.loaners && !spec.loaners)
                || (spec.together && others.iter().any(|other| other.hall != place.hall))
                || (spec.scatter && in_zone + 1 > spec.pieces.div_ceil(2));
            if wrong {
                broken.push(format!(
                    "wrong_place: {job}/{task} starts on {} ({} {} loaner {}), allowed: kinds {:?} hall {:?} loaners {} together {} scatter {}, others {others:?}",
                    place.machine, place.boxkind, place.hall, place.loaners, spec.boxkinds, spec.hall, spec.loaners, spec.together, spec.scatter
                ));
            }
        }
        facts
            .present
            .entry((job.to_string(), task))
            .or_default()
            .insert(place.machine.clone(), place.clone());
        if let Some(owner) = facts.jobs.get(job).map(|spec| spec.owner.clone()) {
            let used: f64 = facts
                .present
                .iter()
                .filter_map(|((other, _), on)| Some((facts.jobs.get(other)?, on.len())))
                .filter(|(spec, _)| spec.owner == owner)
                .map(|(spec, count)| spec.vcpus * count as f64)
                .sum();
            if facts.limits.get(&owner).is_some_and(|limit| used > limit + 1e-6) {
                broken.push(format!("quota: {owner} uses {used} CPUs"));
            }
        }
        for text in broken {
            rec!("RULE BROKEN {text}");
            facts.violations.push(text);
        }
    }

    /// A task is no longer on its machine.
    pub fn leaves(&self, job: &str, task: u32, machine: &str, why: &str) {
        let mut facts = self.facts();
        if let Some(on) = facts.present.get_mut(&(job.to_string(), task))
            && on.remove(machine).is_some()
        {
            rec!("end {job}/{task} on {machine}: {why}");
            if on.is_empty() {
                facts.present.remove(&(job.to_string(), task));
            }
        }
        if why == "done" {
            facts.done.entry(job.to_string()).or_default().insert(task);
        }
    }

    pub fn is_done(&self, job: &str) -> bool {
        let facts = self.facts();
        let pieces = facts.jobs.get(job).map_or(u32::MAX, |spec| spec.pieces);
        facts.done.get(job).map_or(0, |done| done.len() as u32) >= pieces
    }
}
