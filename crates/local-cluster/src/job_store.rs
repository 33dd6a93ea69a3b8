//! The desk: what users upload and look up beside the controllers. Descriptions, logs, the region itself.

use std::collections::BTreeMap;
use std::path::Path;

use olivelatch_kv_store::AuxiliaryRecord;
use olivelatch_worker::processes::Processes;
use olivelatch_worker::{JobDescription, JobDescriptions, TaskResult};
use serde_json::{Value, json};

use crate::task_outputs::TaskResults;

const DESCRIPTION_PREFIX: &str = "description/";
const RESULT_PREFIX: &str = "result/";
/// The end of a log that is shown.
const LOG_TAIL: u64 = 48 * 1024;

/// Descriptions of jobs, and the results of their tasks: both outlive the region's process.
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
    /// Takes what a file kept; false if it is none of the desk's.
    pub fn restore(&mut self, saved: &AuxiliaryRecord) -> bool {
        if let Some(task) = saved.name.strip_prefix(RESULT_PREFIX) {
            // Kept without a word on its attempt by versions before graphs.
            let made = saved.bytes.as_deref().and_then(|bytes| serde_json::from_slice(bytes).ok());
            self.results.insert(task.into(), made.unwrap_or_default());
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

    /// A description; the same again is fine, another one under the name is not.
    fn store_description(&mut self, job: &str, bytes: &[u8]) -> (u16, Value) {
        if !is_job_name(job) {
            return (400, json!({"error": format!("expected a name like job-000412, not {job:?}")}));
        }
        match (self.uploads.get(job), JobDescription::parse(bytes)) {
            (Some(known), _) if known == bytes => (200, json!({"uid": job})),
            (Some(_), _) => (409, json!({"error": "another description has that name"})),
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

    /// A task is done: that must be on disk before a report says so.
    pub fn record_result(&mut self, task: &str, made: TaskResult) {
        // The first result counts: another attempt's output must never take its place.
        if self.results.contains_key(task) {
            return;
        }
        self.results.insert(task.into(), made);
        let bytes = serde_json::to_vec(&made).unwrap_or_default();
        self.unsaved.push(AuxiliaryRecord { name: format!("{RESULT_PREFIX}{task}"), bytes: Some(bytes) });
    }

    pub fn take_unsaved(&mut self) -> Vec<AuxiliaryRecord> {
        std::mem::take(&mut self.unsaved)
    }

    pub fn handle_request(
        &mut self,
        folder: &Path,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Value)> {
        let bare = path.split('?').next().unwrap_or("");
        let parts: Vec<&str> = bare.split('/').skip(1).collect();
        Some(match (method, parts.as_slice()) {
            ("PUT", ["descriptions", job]) => self.store_description(job, body),
            ("GET", ["descriptions", job]) => match self.uploads.get(*job) {
                Some(bytes) => (200, serde_json::from_slice(bytes).unwrap_or(Value::Null)),
                None => (404, json!({"error": "no such description"})),
            },
            ("GET", ["logs", job, task]) if is_job_name(job) && task.parse::<u32>().is_ok() => {
                read_logs(folder, job, task)
            }
            _ => return None,
        })
    }
}

/// The output of each attempt of a task, its end if it is long.
fn read_logs(folder: &Path, job: &str, task: &str) -> (u16, Value) {
    let mut attempts = Vec::new();
    let prefix = format!("{task}.");
    let files = std::fs::read_dir(folder.join("logs").join(job)).into_iter().flatten().flatten();
    for file in files {
        let name = file.file_name();
        let attempt =
            name.to_str().and_then(|n| n.strip_prefix(&prefix)?.strip_suffix(".log")?.parse::<u64>().ok());
        if let Some(attempt) = attempt {
            attempts.push(attempt);
        }
    }
    attempts.sort_unstable();
    if attempts.is_empty() {
        return (404, json!({"error": "no output: the task has not started, or not in this region"}));
    }
    let shown: Vec<Value> = attempts
        .iter()
        .map(|attempt| {
            let path = Processes::log_path(folder, &format!("{job}/{task}"), *attempt);
            let (text, cut) = read_tail(&path);
            json!({"attempt": attempt, "text": text, "cut": cut})
        })
        .collect();
    (200, json!({"task": format!("{job}/{task}"), "attempts": shown}))
}

fn read_tail(path: &Path) -> (String, bool) {
    use std::io::{Read, Seek, SeekFrom};
    let read = || -> std::io::Result<(Vec<u8>, bool)> {
        let mut file = std::fs::File::open(path)?;
        let length = file.metadata()?.len();
        let cut = length > LOG_TAIL;
        if cut {
            file.seek(SeekFrom::Start(length - LOG_TAIL))?;
        }
        let mut bytes = Vec::new();
        file.take(LOG_TAIL).read_to_end(&mut bytes)?;
        Ok((bytes, cut))
    };
    match read() {
        Ok((bytes, cut)) => (String::from_utf8_lossy(&bytes).into_owned(), cut),
        Err(error) => (format!("(unreadable: {error})"), false),
    }
}
