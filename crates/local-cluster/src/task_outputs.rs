//! Task outputs. Each attempt writes into its own folder. The output of a graph node is published atomically after the
//! node's terminal record is stored. Which attempt counts is decided by the stored results and records, not here.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};

use olivelatch_worker::{JobDescription, JobDescriptions, TaskResult};
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::Value;

/// Name of the file into which a task writes its list, as a JSON array.
pub const LIST_FILE: &str = "list.json";
/// A list file that is larger than this is ignored.
const MAX_LIST_BYTES: u64 = 16 * 1024 * 1024;
/// Name of the folder that has links to the outputs of all tasks of a job.
const COMPLETE_FOLDER: &str = "whole";

/// Task results, by task name.
pub type TaskResults = BTreeMap<String, TaskResult>;

/// The task outputs in the folder of a local cluster.
pub struct TaskOutputs {
    folder: PathBuf,
}

/// The fields of a terminal record that decide whether an output is published.
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
    /// Returns the task outputs in this folder.
    pub fn new(folder: &Path) -> TaskOutputs {
        TaskOutputs { folder: folder.into() }
    }

    fn job_folder(&self, job: &str) -> PathBuf {
        self.folder.join("out").join(job)
    }

    /// Returns the folder into which an attempt writes.
    pub fn attempt_folder(&self, job: &str, task: &str, attempt: u64) -> PathBuf {
        self.job_folder(job).join(format!("{task}.{attempt}"))
    }

    /// Returns the output folder of a finished job: the folder of the winning attempt if the job has one task,
    /// otherwise the folder with a link to the winning attempt of each task.
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

    /// Returns the length of the list that an attempt wrote, if it wrote one.
    pub fn list_length(&self, task: &str, attempt: u64) -> Option<u32> {
        let (job, task) = task.split_once('/')?;
        let list: Vec<IgnoredAny> = read_list(&self.attempt_folder(job, task, attempt))?;
        u32::try_from(list.len()).ok()
    }

    /// Syncs the files that an attempt wrote to disk, which must happen before its result is stored.
    pub fn sync(&self, task: &str, attempt: u64) -> io::Result<()> {
        let Some((job, task)) = task.split_once('/') else { return Ok(()) };
        let folder = self.attempt_folder(job, task, attempt);
        let Ok(files) = fs::read_dir(&folder) else { return Ok(()) };
        for file in files.flatten().filter(|file| file.path().is_file()) {
            File::open(file.path())?.sync_all()?;
        }
        File::open(&folder)?.sync_all()
    }

    /// Creates the folder of an attempt and returns its environment variables: `OLIVELATCH_OUT`,
    /// `OLIVELATCH_IN_<NAME>` for each input, and in a mapped node `OLIVELATCH_ITEM` and `OLIVELATCH_TASKS`, the
    /// number of items.
    pub fn prepare_attempt(
        &self,
        task: &str,
        attempt: u64,
        jobs: &JobDescriptions,
        results: &TaskResults,
    ) -> io::Result<Vec<(String, String)>> {
        let (job, index) = task.split_once('/').unwrap_or((task, "0"));
        let folder = self.attempt_folder(job, index, attempt);
        fs::create_dir_all(&folder)?;
        let mut variables = vec![("OLIVELATCH_OUT".into(), folder.display().to_string())];
        let Some(description) = jobs.get(job) else { return Ok(variables) };
        for (name, input) in &description.inputs {
            let Some(folder) = self.input_folder(input, jobs, results)? else { continue };
            variables.push((input_variable(name), folder.display().to_string()));
        }
        let map_folder = match &description.map_source {
            Some(source) => self.input_folder(source, jobs, results)?,
            None => None,
        };
        if let Some(items) = map_folder.and_then(|folder| read_list::<Value>(&folder)) {
            let item = index.parse::<usize>().ok().and_then(|index| items.get(index));
            let text = |item: &Value| item.as_str().map_or_else(|| item.to_string(), String::from);
            variables.push(("OLIVELATCH_ITEM".into(), item.map_or(String::new(), text)));
            variables.push(("OLIVELATCH_TASKS".into(), items.len().to_string()));
        }
        Ok(variables)
    }

    /// Returns the output folder of a job, or `None` if it has none yet. Creates the links to the outputs of its
    /// tasks if they do not exist.
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

    /// Creates the folder with a link to the winning attempt of each task. It is built under a temporary name and
    /// renamed once it is complete.
    fn link_winning_attempts(&self, job: &str, results: &TaskResults) -> io::Result<()> {
        let complete = self.job_folder(job).join(COMPLETE_FOLDER);
        if complete.exists() {
            return Ok(());
        }
        let partial = self.job_folder(job).join(format!("{COMPLETE_FOLDER}.half"));
        let _ = fs::remove_dir_all(&partial);
        fs::create_dir_all(&partial)?;
        for (task, result) in results_of(job, results) {
            symlink(Path::new("..").join(format!("{task}.{}", result.attempt)), partial.join(task))?;
        }
        fs::rename(partial, complete)
    }

    /// Publishes the output of a node if the record is the terminal record of a node that succeeded. This is atomic and
    /// replaces an earlier output of the node. Afterwards the outputs of other attempts are removed.
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
        // A name that could point outside the folder is not published.
        let is_safe_name = |name: &str| !name.is_empty() && !name.contains('/') && !name.starts_with('.');
        if node.outcome != "success" || !is_safe_name(&node.run) || !is_safe_name(&node.name) {
            return Ok(());
        }
        let Some(output) = self.input_folder(job, jobs, results)? else { return Ok(()) };
        let run_folder = self.folder.join("published").join(&node.run);
        fs::create_dir_all(&run_folder)?;
        let target = Path::new("../..").join(output.strip_prefix(&self.folder).unwrap_or(&output));
        let link = run_folder.join(&node.name);
        if fs::read_link(&link).is_ok_and(|known| known == target) {
            return Ok(());
        }
        let new_link = run_folder.join(format!(".{}", node.name));
        let _ = fs::remove_file(&new_link);
        symlink(target, &new_link)?;
        fs::rename(new_link, link)?;
        self.remove_other_attempts(job, results)
    }

    fn remove_other_attempts(&self, job: &str, results: &TaskResults) -> io::Result<()> {
        let winners: Vec<String> =
            results_of(job, results).map(|(task, result)| format!("{task}.{}", result.attempt)).collect();
        for entry in fs::read_dir(self.job_folder(job))?.flatten() {
            let name = entry.file_name().to_string_lossy().into_owned();
            if name != COMPLETE_FOLDER && !winners.contains(&name) {
                fs::remove_dir_all(entry.path())?;
            }
        }
        Ok(())
    }
}

/// Returns the name of the environment variable that holds the folder of an input.
fn input_variable(node: &str) -> String {
    let upper = |c: char| if c.is_ascii_alphanumeric() { c.to_ascii_uppercase() } else { '_' };
    format!("OLIVELATCH_IN_{}", node.chars().map(upper).collect::<String>())
}

/// Returns the results of a job's tasks, each with the index of the task.
fn results_of<'a>(job: &'a str, results: &'a TaskResults) -> impl Iterator<Item = (&'a str, &'a TaskResult)> {
    let prefix = format!("{job}/");
    let of_job = results.range(prefix.clone()..).take_while(move |(task, _)| task.starts_with(&prefix));
    of_job.filter_map(|(task, result)| Some((task.split_once('/')?.1, result)))
}

fn read_list<T: for<'a> Deserialize<'a>>(folder: &Path) -> Option<Vec<T>> {
    let path = folder.join(LIST_FILE);
    let is_within_limit = fs::metadata(&path).is_ok_and(|metadata| metadata.len() <= MAX_LIST_BYTES);
    if is_within_limit { serde_json::from_slice(&fs::read(path).ok()?).ok() } else { None }
}

#[cfg(test)]
#[path = "tests/task_outputs.rs"]
mod tests;
