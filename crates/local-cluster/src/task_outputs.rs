//! What tasks write. Each attempt has a place of its own; the output of a node of a graph is published by its end at the
//! state service, and shown in one step after it. Nothing here decides which attempt won: kept results and ends do.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};

use olivelatch_worker::{JobDescription, JobDescriptions, TaskResult};
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::Value;

/// The file in which a task gives its list: a JSON array.
pub const LIST_FILE: &str = "list.json";
/// A longer one is taken for none.
const MAX_LIST_BYTES: u64 = 16 * 1024 * 1024;
const COMPLETE_FOLDER: &str = "whole";

/// Results of tasks by their names.
pub type TaskResults = BTreeMap<String, TaskResult>;

pub struct TaskOutputs {
    folder: PathBuf,
}

/// How the end of a node is recorded, as far as files are concerned.
#[derive(Deserialize)]
struct TerminalRecord {
    node: Option<NodeResult>,
}

#[derive(Deserialize)]
struct NodeResult {
    run: String,
    #[serde(rename = "n")]
    name: String,
    #[serde(rename = "o")]
    outcome: String,
}

fn has_several_tasks(description: &JobDescription) -> bool {
    description.tasks > 1 || description.map_source.is_some()
}

impl TaskOutputs {
    pub fn new(folder: &Path) -> TaskOutputs {
        TaskOutputs { folder: folder.into() }
    }

    fn job_folder(&self, job: &str) -> PathBuf {
        self.folder.join("out").join(job)
    }

    /// Where an attempt writes.
    pub fn attempt_folder(&self, job: &str, task: &str, attempt: u64) -> PathBuf {
        self.job_folder(job).join(format!("{task}.{attempt}"))
    }

    /// Where the output of a job is that is done: of one task its winning attempt, of several a folder that names each
    /// one's.
    fn winning_output(
        &self,
        job: &str,
        description: &JobDescription,
        results: &TaskResults,
    ) -> Option<PathBuf> {
        if has_several_tasks(description) {
            return Some(self.job_folder(job).join(COMPLETE_FOLDER));
        }
        Some(self.attempt_folder(job, "0", results.get(&format!("{job}/0"))?.attempt))
    }

    /// The length of the list that an attempt gave, if it gave one.
    pub fn list_length(&self, task: &str, attempt: u64) -> Option<u32> {
        let (job, task) = task.split_once('/')?;
        let list: Vec<IgnoredAny> = read_list(&self.attempt_folder(job, task, attempt))?;
        u32::try_from(list.len()).ok()
    }

    /// What an attempt wrote is on disk before its result is.
    pub fn sync(&self, task: &str, attempt: u64) -> io::Result<()> {
        let Some((job, task)) = task.split_once('/') else { return Ok(()) };
        let place = self.attempt_folder(job, task, attempt);
        let Ok(files) = fs::read_dir(&place) else { return Ok(()) };
        for file in files.flatten().filter(|file| file.path().is_file()) {
            File::open(file.path())?.sync_all()?;
        }
        File::open(&place)?.sync_all()
    }

    /// Makes an attempt's place, and the variables that tell it what it reads: `OLIVELATCH_OUT`, for each input
    /// `OLIVELATCH_IN_<NAME>`, of a mapped node `OLIVELATCH_ITEM` and how many there are.
    pub fn prepare_attempt(
        &self,
        task: &str,
        attempt: u64,
        jobs: &JobDescriptions,
        results: &TaskResults,
    ) -> io::Result<Vec<(String, String)>> {
        let (job, number) = task.split_once('/').unwrap_or((task, "0"));
        let place = self.attempt_folder(job, number, attempt);
        fs::create_dir_all(&place)?;
        let mut variables = vec![("OLIVELATCH_OUT".into(), place.display().to_string())];
        let Some(description) = jobs.get(job) else { return Ok(variables) };
        for (name, input) in &description.inputs {
            let Some(place) = self.input_folder(input, jobs, results)? else { continue };
            let upper = |c: char| if c.is_ascii_alphanumeric() { c.to_ascii_uppercase() } else { '_' };
            let name: String = name.chars().map(upper).collect();
            variables.push((format!("OLIVELATCH_IN_{name}"), place.display().to_string()));
        }
        let list = description
            .map_source
            .as_ref()
            .map(|map| self.input_folder(map, jobs, results))
            .transpose()?
            .flatten();
        if let Some(items) = list.and_then(|place| read_list::<Value>(&place)) {
            let item = number.parse::<usize>().ok().and_then(|at| items.get(at));
            let text = |item: &Value| item.as_str().map_or_else(|| item.to_string(), String::from);
            variables.push(("OLIVELATCH_ITEM".into(), item.map_or(String::new(), text)));
            variables.push(("OLIVELATCH_TASKS".into(), items.len().to_string()));
        }
        Ok(variables)
    }

    /// The place of a job's output; made whole if that was not done yet.
    fn input_folder(
        &self,
        job: &str,
        jobs: &JobDescriptions,
        results: &TaskResults,
    ) -> io::Result<Option<PathBuf>> {
        let Some(description) = jobs.get(job) else { return Ok(None) };
        if has_several_tasks(description) {
            self.link_winning_attempts(job, results)?;
        }
        Ok(self.winning_output(job, description, results))
    }

    /// One folder with a link to the winning attempt of each task, complete before it has its name.
    fn link_winning_attempts(&self, job: &str, results: &TaskResults) -> io::Result<()> {
        let whole = self.job_folder(job).join(COMPLETE_FOLDER);
        if whole.exists() {
            return Ok(());
        }
        let half = self.job_folder(job).join(format!("{COMPLETE_FOLDER}.half"));
        let _ = fs::remove_dir_all(&half);
        fs::create_dir_all(&half)?;
        for (task, made) in tasks_of(job, results) {
            symlink(Path::new("..").join(format!("{task}.{}", made.attempt)), half.join(task))?;
        }
        fs::rename(half, whole)
    }

    /// A record changed. If it is the end of a node that went well, its output is shown: in one step, in place of what
    /// was shown of the node before. Leftovers of other attempts go after that.
    pub fn publish_on_success(
        &self,
        key: &str,
        value: &Value,
        jobs: &JobDescriptions,
        results: &TaskResults,
    ) -> io::Result<()> {
        let Some(job) = key.strip_prefix("olivelatch/end/") else { return Ok(()) };
        let Ok(TerminalRecord { node: Some(node) }) = TerminalRecord::deserialize(value) else {
            return Ok(());
        };
        // A name that leads elsewhere is shown nowhere.
        let plain = |name: &str| !name.is_empty() && !name.contains('/') && !name.starts_with('.');
        if node.outcome != "success" || !plain(&node.run) || !plain(&node.name) {
            return Ok(());
        }
        let Some(place) = self.input_folder(job, jobs, results)? else { return Ok(()) };
        let shown = self.folder.join("published").join(&node.run);
        fs::create_dir_all(&shown)?;
        let target = Path::new("../..").join(place.strip_prefix(&self.folder).unwrap_or(&place));
        let named = shown.join(&node.name);
        if fs::read_link(&named).is_ok_and(|known| known == target) {
            return Ok(());
        }
        let half = shown.join(format!(".{}", node.name));
        let _ = fs::remove_file(&half);
        symlink(target, &half)?;
        fs::rename(half, named)?;
        self.remove_other_attempts(job, results)
    }

    fn remove_other_attempts(&self, job: &str, results: &TaskResults) -> io::Result<()> {
        let won: Vec<String> =
            tasks_of(job, results).map(|(task, made)| format!("{task}.{}", made.attempt)).collect();
        for place in fs::read_dir(self.job_folder(job))?.flatten() {
            let name = place.file_name().to_string_lossy().into_owned();
            if name != COMPLETE_FOLDER && !won.contains(&name) {
                fs::remove_dir_all(place.path())?;
            }
        }
        Ok(())
    }
}

fn tasks_of<'a>(job: &'a str, results: &'a TaskResults) -> impl Iterator<Item = (&'a str, &'a TaskResult)> {
    let from = format!("{job}/");
    let ours = results.range(from.clone()..).take_while(move |(task, _)| task.starts_with(&from));
    ours.filter_map(|(task, made)| Some((task.split_once('/')?.1, made)))
}

fn read_list<T: for<'a> Deserialize<'a>>(place: &Path) -> Option<Vec<T>> {
    let path = place.join(LIST_FILE);
    let short = fs::metadata(&path).is_ok_and(|facts| facts.len() <= MAX_LIST_BYTES);
    if short { serde_json::from_slice(&fs::read(path).ok()?).ok() } else { None }
}

#[cfg(test)]
#[path = "tests/task_outputs.rs"]
mod tests;
