//! Job files: HCL or JSON, with words for people. What is wrong is named with file and job.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use olivelatch::places::locate;
use olivelatch::protocol::users::{JobSpec, Shape, Urgency, read_submission};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use thiserror::Error;

#[derive(Debug, Error)]
pub enum JobFileError {
    #[error("{file}: {error}")]
    Read { file: String, error: std::io::Error },
    #[error("{file}: {problem}")]
    Form { file: String, problem: String },
    #[error("{file}: job {job:?}: {problem}")]
    Job { file: String, job: String, problem: String },
    #[error("{file}: no jobs")]
    Empty { file: String },
}

/// A job as a person writes it. Amounts are of one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobEntry {
    /// Chosen by the client if not given.
    pub id: Option<String>,
    pub team: String,
    pub class: String,
    pub shape: String,
    pub urgency: String,
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub image_gb: f64,
    pub kinds: Option<Vec<String>>,
    pub zone: Option<String>,
    pub together: bool,
    pub scatter: bool,
    pub spot: bool,
    pub guess_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub due_s: Option<f64>,
    /// Program and arguments; no shell.
    pub command: Vec<String>,
    pub env: BTreeMap<String, String>,
    pub dir: Option<String>,
}

impl Default for JobEntry {
    fn default() -> Self {
        JobEntry {
            id: None,
            team: "default".into(),
            class: "work".into(),
            shape: "array".into(),
            urgency: "normal".into(),
            tasks: 1,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 0.1,
            image: "none".into(),
            image_gb: 0.0,
            kinds: None,
            zone: None,
            together: false,
            scatter: false,
            spot: false,
            guess_s: 10.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            due_s: None,
            command: Vec::new(),
            env: BTreeMap::new(),
            dir: None,
        }
    }
}

/// A job ready to be sent: what the controllers get, and what the workers do.
#[derive(Debug, Clone, PartialEq)]
pub struct Prepared {
    pub name: String,
    pub id: String,
    pub spec: Value,
    /// None: the job's description comes to the workers by another way.
    pub description: Option<Value>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Form {
    #[serde(default)]
    job: BTreeMap<String, JobEntry>,
}

#[derive(Debug)]
pub struct JobFile {
    file: String,
    jobs: BTreeMap<String, JobEntry>,
}

fn shape_of(word: &str) -> Result<Shape, String> {
    match word {
        "array" => Ok(Shape::Array),
        "gang" => Ok(Shape::Gang),
        "service" => Ok(Shape::Service),
        _ => Err(format!("shape: expected array, gang or service, not {word:?}")),
    }
}

fn urgency_of(word: &str) -> Result<Urgency, String> {
    match word {
        "critical" => Ok(Urgency::Critical),
        "high" => Ok(Urgency::High),
        "normal" => Ok(Urgency::Normal),
        "low" => Ok(Urgency::Low),
        _ => Err(format!("urgency: expected critical, high, normal or low, not {word:?}")),
    }
}

/// An id that nobody has chosen before: the time of day, and chance. The n-th of several at once.
pub fn new_id(n: u64) -> String {
    let ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let chance: u64 = rand::rng().random_range(0..10_000);
    // At most 18 digits, and never two of one call alike.
    format!("job-{}", (ms * 10_000 + chance + n * 10_000) % 1_000_000_000_000_000_000)
}

impl JobEntry {
    /// The submission and the description, or what is wrong.
    pub fn prepare(&self, name: &str, n: u64) -> Result<Prepared, String> {
        let id = self.id.clone().unwrap_or_else(|| new_id(n));
        let spec = JobSpec {
            uid: id.clone(),
            jobclass: self.class.clone(),
            owner: self.team.clone(),
            shape: shape_of(&self.shape)?,
            urgency: urgency_of(&self.urgency)?,
            pieces: self.tasks,
            vcpus: self.cpus,
            accelerators: self.gpus,
            memory_gb: self.memory_gb,
            bundle: self.image.clone(),
            size_gb: self.image_gb,
            boxkinds: self.kinds.clone(),
            hall: self.zone.clone(),
            together: self.together,
            scatter: self.scatter,
            loaners: self.spot,
            guess_s: if self.shape == "service" { 0.0 } else { self.guess_s },
            snapshot_s: self.checkpoint_s,
            flush_s: self.save_s,
            due_s: self.due_s,
        };
        let spec = serde_json::to_value(&spec).map_err(|error| error.to_string())?;
        // What the controllers would say is said before anything is sent.
        let read = read_submission(spec.to_string().as_bytes());
        match read {
            Ok(olivelatch::protocol::users::UserRequest::Submit { spec: Err(problem), .. }) => {
                return Err(problem);
            }
            Err(_) => return Err(format!("id: expected one like job-000412, not {id:?}")),
            Ok(_) => {}
        }
        let description = (!self.command.is_empty()).then(|| {
            let mut description = spec.clone();
            description["run"] = json!({"command": self.command, "env": self.env, "dir": self.dir});
            description
        });
        Ok(Prepared { name: name.into(), id, spec, description })
    }
}

impl JobFile {
    pub fn load(path: &Path) -> Result<JobFile, JobFileError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| JobFileError::Read { file: file.clone(), error })?;
        let json = path.extension().is_some_and(|extension| extension == "json");
        JobFile::parse(&file, &text, json)
    }

    pub fn parse(file: &str, text: &str, json: bool) -> Result<JobFile, JobFileError> {
        let read: Result<Form, String> = if json {
            serde_json::from_str(text).map_err(|error| error.to_string())
        } else {
            hcl::from_str(text).map_err(|error| locate(text, &error.to_string()))
        };
        let form = read.map_err(|problem| JobFileError::Form { file: file.into(), problem })?;
        if form.job.is_empty() {
            return Err(JobFileError::Empty { file: file.into() });
        }
        Ok(JobFile { file: file.into(), jobs: form.job })
    }

    /// All jobs ready to be sent, or the first that cannot be.
    pub fn prepare(&self) -> Result<Vec<Prepared>, JobFileError> {
        let one = |(n, (name, entry)): (usize, (&String, &JobEntry))| {
            let wrong = |problem| JobFileError::Job { file: self.file.clone(), job: name.clone(), problem };
            entry.prepare(name, n as u64).map_err(wrong)
        };
        self.jobs.iter().enumerate().map(one).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn files_of_both_forms_say_the_same() {
        let hcl = "job \"a\" {\n  tasks = 3\n  command = [\"echo\", \"hi\"]\n  env = { X = \"1\" }\n}\n";
        let json = r#"{"job": {"a": {"tasks": 3, "command": ["echo", "hi"], "env": {"X": "1"}}}}"#;
        let read = |text, json| JobFile::parse("f", text, json).expect("a file").jobs;
        assert_eq!(read(hcl, false), read(json, true));
        let prepared = JobFile::parse("f", hcl, false).expect("a file").prepare().expect("jobs");
        assert_eq!(prepared[0].spec["pieces"], 3);
        assert_eq!(prepared[0].description.as_ref().map(|d| d["run"]["env"]["X"].clone()), Some(json!("1")));
    }

    #[test]
    fn the_examples_are_good() {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        // Graph files are another form: olivelatch-flow checks them.
        let graph = |path: &Path| std::fs::read_to_string(path).is_ok_and(|text| text.contains("\ngraph "));
        let files =
            std::fs::read_dir(folder).expect("the examples").flatten().filter(|file| !graph(&file.path()));
        let checked = files
            .map(|file| JobFile::load(&file.path()).and_then(|f| f.prepare()).expect("a good file").len());
        assert!(checked.sum::<usize>() > 0);
    }

    /// Each mistake is named with its place and what was expected, before anything is sent.
    #[test]
    fn mistakes_are_named() {
        let problem = |text: &str| {
            let file = JobFile::parse("f.hcl", text, false);
            file.and_then(|file| file.prepare().map(drop)).expect_err("a problem").to_string()
        };
        assert!(problem("job \"a\" {\n  task = 3\n}\n").contains("line 2"));
        assert!(problem("job \"a\" {\n  shape = \"ring\"\n}\n").contains("expected array, gang or service"));
        assert!(problem("job \"a\" {\n  tasks = 0\n}\n").contains("job \"a\": pieces must be 1"));
        assert!(problem("job \"a\" {\n  id = \"a\"\n}\n").contains("job-000412"));
        assert!(problem("").contains("no jobs"));
    }

    #[test]
    fn ids_are_new_and_of_the_protocols_form() {
        let ids: std::collections::BTreeSet<String> = (0..1000).map(new_id).collect();
        assert_eq!(ids.len(), 1000);
        assert!(ids.iter().all(|id| olivelatch::ids::JobId::parse(id).is_some()));
    }
}
