//! Jobs as their users submit them, with what their tasks really do.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

/// A job: its submission, and the true run time of its tasks.
#[derive(Clone)]
pub struct Job {
    pub body: Value,
    /// `None` for a service, whose tasks run until they are stopped.
    pub run: Option<Duration>,
}

impl Job {
    /// A job of one task, without a checkpoint and without restrictions.
    pub fn new(uid: &str, class: &str, owner: &str, shape: &str, vcpus: f64, run_s: f64) -> Job {
        let body = json!({"uid": uid, "jobclass": class, "owner": owner, "shape": shape, "urgency": "normal",
            "pieces": 1, "vcpus": vcpus, "accelerators": 0.0, "memory_gb": 1.0, "bundle": format!("img-{class}"),
            "size_gb": 0.2, "boxkinds": null, "hall": null, "together": false, "scatter": false, "loaners": true,
            "guess_s": run_s, "snapshot_s": 0.0, "flush_s": 0.0, "due_s": null});
        Job { body, run: Some(Duration::from_secs_f64(run_s)) }
    }

    pub fn with(mut self, field: &str, value: Value) -> Job {
        self.body[field] = value;
        self
    }

    /// Makes the job a service.
    pub fn endless(mut self) -> Job {
        self.run = None;
        self.with("shape", json!("daemon")).with("guess_s", json!(0.0))
    }

    pub fn uid(&self) -> &str {
        self.body["uid"].as_str().unwrap_or("")
    }

    pub fn number(&self, field: &str) -> f64 {
        self.body[field].as_f64().unwrap_or(0.0)
    }
}

/// The descriptions that users have uploaded; clones share them.
#[derive(Clone, Default)]
pub struct Jobs(Arc<Mutex<BTreeMap<String, Job>>>);

impl Jobs {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Job>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn add(&self, job: &Job) {
        self.lock().insert(job.uid().into(), job.clone());
    }

    /// Returns the job of a task such as `job-000412/3`.
    pub fn of_task(&self, task: &str) -> Option<Job> {
        let (uid, number) = task.split_once('/')?;
        let job = self.lock().get(uid)?.clone();
        (number.parse::<f64>().ok()? < job.number("pieces")).then_some(job)
    }
}
