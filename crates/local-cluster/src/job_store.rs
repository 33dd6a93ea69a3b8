//! The job store: job descriptions, which users upload and workers read, task results, and task logs.

use std::collections::BTreeMap;
use std::fs::{DirEntry, File};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::Path;

use olivelatch_kv_store::AuxiliaryRecord;
use olivelatch_worker::processes::Processes;
use olivelatch_worker::{JobDescription, JobDescriptions, TaskResult};
use serde_json::{Value, json};

use crate::task_outputs::TaskResults;

const DESCRIPTION_PREFIX: &str = "description/";
const RESULT_PREFIX: &str = "result/";
/// Only the last part of this size is returned of a longer log.
const MAX_LOG_BYTES: u64 = 48 * 1024;

/// Job descriptions and task results. Both are saved in the state file and survive a restart.
#[derive(Default)]
pub struct JobStore {
    pub descriptions: JobDescriptions,
    uploads: BTreeMap<String, Vec<u8>>,
    pub results: TaskResults,
    unsaved: Vec<AuxiliaryRecord>,
}

fn is_job_name(name: &str) -> bool {
    name.strip_prefix("job-").is_some_and(|rest| rest.len() >= 6 && rest.bytes().all(|b| b.is_ascii_digit()))
}

impl JobStore {
    /// Restores a saved record. Returns false if the record does not belong to the job store.
    pub fn restore(&mut self, saved: &AuxiliaryRecord) -> bool {
        if let Some(task) = saved.name.strip_prefix(RESULT_PREFIX) {
            // Versions without graphs stored no attempt; such a record gets the default result, with attempt 0.
            let result = saved.bytes.as_deref().and_then(|bytes| serde_json::from_slice(bytes).ok());
            self.results.insert(task.into(), result.unwrap_or_default());
            return true;
        }
        let (Some(job), Some(bytes)) = (saved.name.strip_prefix(DESCRIPTION_PREFIX), &saved.bytes) else {
            return false;
        };
        if let Ok(description) = JobDescription::parse(bytes) {
            self.descriptions.insert(job.into(), description);
            self.uploads.insert(job.into(), bytes.clone());
        }
        true
    }

    /// Stores the description of a job. A repeated upload is idempotent; a different description for the same job is a
    /// conflict.
    fn store_description(&mut self, job: &str, bytes: &[u8]) -> (u16, Value) {
        if !is_job_name(job) {
            return (400, json!({"error": format!("expected a name like job-000412, not {job:?}")}));
        }
        match (self.uploads.get(job), JobDescription::parse(bytes)) {
            (Some(known), _) if known == bytes => (200, json!({"uid": job})),
            (Some(_), _) => (409, json!({"error": format!("{job} already has a different description")})),
            (None, Err(problem)) => (400, json!({"error": problem.to_string()})),
            (None, Ok(description)) => {
                self.descriptions.insert(job.into(), description);
                self.uploads.insert(job.into(), bytes.to_vec());
                self.unsaved.push(AuxiliaryRecord {
                    name: format!("{DESCRIPTION_PREFIX}{job}"),
                    bytes: Some(bytes.to_vec()),
                });
                (201, json!({"uid": job}))
            }
        }
    }

    /// Records the result of a task. The result must be on disk before a heartbeat reports it.
    pub fn record_result(&mut self, task: &str, result: TaskResult) {
        // The first result is kept: the output of another attempt must never replace it.
        if self.results.contains_key(task) {
            return;
        }
        self.results.insert(task.into(), result);
        let bytes = serde_json::to_vec(&result).unwrap_or_default();
        self.unsaved.push(AuxiliaryRecord { name: format!("{RESULT_PREFIX}{task}"), bytes: Some(bytes) });
    }

    /// Returns the records that the next commit must write.
    pub fn take_unsaved(&mut self) -> Vec<AuxiliaryRecord> {
        std::mem::take(&mut self.unsaved)
    }

    /// Handles a request. Returns `None` if the path does not belong to the job store. `folder` is the folder of the
    /// local cluster.
    pub fn handle_request(
        &mut self,
        folder: &Path,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Value)> {
        let path = path.split('?').next().unwrap_or("");
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        Some(match (method, segments.as_slice()) {
            ("PUT", ["descriptions", job]) => self.store_description(job, body),
            ("GET", ["descriptions", job]) => match self.uploads.get(*job) {
                Some(bytes) => (200, serde_json::from_slice(bytes).unwrap_or(Value::Null)),
                None => (404, json!({"error": format!("no description was uploaded for {job}")})),
            },
            ("GET", ["logs", job, task]) if is_job_name(job) && task.parse::<u32>().is_ok() => {
                read_logs(folder, job, task)
            }
            _ => return None,
        })
    }
}

/// Returns the log of each attempt of a task.
fn read_logs(folder: &Path, job: &str, task: &str) -> (u16, Value) {
    let prefix = format!("{task}.");
    let files = std::fs::read_dir(folder.join("logs").join(job)).into_iter().flatten().flatten();
    let attempt = |file: DirEntry| -> Option<u64> {
        file.file_name().to_str()?.strip_prefix(&prefix)?.strip_suffix(".log")?.parse().ok()
    };
    let mut attempts: Vec<u64> = files.filter_map(attempt).collect();
    attempts.sort_unstable();
    if attempts.is_empty() {
        return (404, json!({"error": "no output: the task has not started in this cluster"}));
    }
    let logs: Vec<Value> = attempts
        .iter()
        .map(|attempt| {
            let path = Processes::log_path(folder, &format!("{job}/{task}"), *attempt);
            let LogTail { text, truncated } = read_tail(&path);
            json!({"attempt": attempt, "text": text, "cut": truncated})
        })
        .collect();
    (200, json!({"task": format!("{job}/{task}"), "attempts": logs}))
}

/// The last part of a log, or all of it if it is short.
struct LogTail {
    text: String,
    truncated: bool,
}

fn read_tail(path: &Path) -> LogTail {
    let read = || -> io::Result<LogTail> {
        let mut file = File::open(path)?;
        let length = file.metadata()?.len();
        let truncated = length > MAX_LOG_BYTES;
        if truncated {
            file.seek(SeekFrom::Start(length - MAX_LOG_BYTES))?;
        }
        let mut bytes = Vec::new();
        file.take(MAX_LOG_BYTES).read_to_end(&mut bytes)?;
        Ok(LogTail { text: String::from_utf8_lossy(&bytes).into_owned(), truncated })
    };
    read()
        .unwrap_or_else(|error| LogTail { text: format!("(cannot read the log: {error})"), truncated: false })
}
