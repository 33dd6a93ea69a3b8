//! Parses the description of a job in a scenario line: `NUMBER name=value flag ...`. Times are in seconds, memory and
//! image sizes in GB; `run` is the run time of each task, `estimate` what its user expects (by default the same).

use std::collections::BTreeMap;
use std::str::FromStr;

use olivelatch_worker::{JobDescription, TaskWork};
use serde_json::{Value, json};

use super::SimulatedCluster;
use super::users::ResponseCheck;

/// Run time of a service's tasks, which do not finish by themselves.
const ENDLESS_MS: u64 = u64::MAX / 4;

/// The names of `name=value` arguments of a job, followed by those that only nodes of a graph have.
const ARGUMENT_NAMES: [&str; 27] = [
    "class",
    "team",
    "urgency",
    "tasks",
    "cpus",
    "gpus",
    "memory",
    "image",
    "size",
    "machine_types",
    "zone",
    "run",
    "estimate",
    "checkpoint",
    "save",
    "due",
    "expect",
    "list_len",
    "after",
    "map",
    "rule",
    "tries",
    "wait",
    "max_wait",
    "limit",
    "pool",
    "output",
];
const FLAGS: [&str; 6] = ["gang", "service", "together", "scatter", "spot", "fails"];

/// Panics if an argument is unknown, which would otherwise be ignored.
fn check_arguments(words: &[&str]) {
    for word in words {
        let known = match word.split_once('=') {
            Some((name, _)) => ARGUMENT_NAMES.contains(&name),
            None => FLAGS.contains(word),
        };
        assert!(known, "expected an argument of a job, found {word}");
    }
}

/// Returns the value of `name=value` among the words.
pub(super) fn named_argument<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

pub(super) fn numeric_argument(words: &[&str], name: &str, default: f64) -> f64 {
    parsed_argument(words, name, "a number").unwrap_or(default)
}

/// Returns the value of `name=value` among the words, if there is one. Panics unless it is what is `expected`.
fn parsed_argument<T: FromStr>(words: &[&str], name: &str, expected: &str) -> Option<T> {
    let text = named_argument(words, name)?;
    Some(text.parse().unwrap_or_else(|_| panic!("expected {expected}, found {name}={text}")))
}

/// A job that a scenario describes.
pub(super) struct JobArguments {
    pub(super) id: String,
    /// The submission, as on the wire.
    pub(super) spec: Value,
    /// How the response to the submission is checked.
    pub(super) check: ResponseCheck,
}

/// Returns the job's shape, as on the wire.
fn shape(words: &[&str]) -> &'static str {
    if words.contains(&"gang") {
        "gang"
    } else if words.contains(&"service") {
        "daemon"
    } else {
        "array"
    }
}

fn submission(id: &str, words: &[&str]) -> Value {
    let text = |name, default| named_argument(words, name).unwrap_or(default);
    let number = |name, default| numeric_argument(words, name, default);
    let flag = |name| words.contains(&name);
    json!({"uid": id, "jobclass": text("class", "work"), "owner": text("team", "core"), "shape": shape(words),
        "urgency": text("urgency", "normal"), "pieces": number("tasks", 1.0) as u64,
        "vcpus": number("cpus", 1.0), "accelerators": number("gpus", 0.0), "memory_gb": number("memory", 1.0),
        "bundle": text("image", "img-1"), "size_gb": number("size", 0.1),
        "boxkinds": named_argument(words, "machine_types").map(|types| types.split(',').collect::<Vec<_>>()),
        "hall": named_argument(words, "zone"), "together": flag("together"), "scatter": flag("scatter"),
        "loaners": flag("spot"), "guess_s": number("estimate", number("run", 5.0)),
        "snapshot_s": number("checkpoint", 0.0), "flush_s": number("save", 1.0),
        "due_s": parsed_argument::<f64>(words, "due", "a number of seconds")})
}

/// Returns what the workers know about the job, and how its simulated tasks behave.
fn job_description(words: &[&str]) -> JobDescription {
    let number = |name, default| numeric_argument(words, name, default);
    let shape = shape(words);
    JobDescription {
        cpus: number("cpus", 1.0),
        gpus: number("gpus", 0.0),
        memory_gb: number("memory", 1.0),
        image: named_argument(words, "image").unwrap_or("img-1").into(),
        image_gb: number("size", 0.1),
        gang: shape == "gang",
        tasks: number("tasks", 1.0) as u32,
        can_checkpoint: number("checkpoint", 0.0) > 0.0,
        checkpoint_save_ms: (number("save", 1.0) * 1000.0) as u64,
        work: TaskWork::Simulated {
            run_ms: if shape == "daemon" { ENDLESS_MS } else { (number("run", 5.0) * 1000.0) as u64 },
            fails: words.contains(&"fails"),
            list_len: parsed_argument(words, "list_len", "a number of elements"),
        },
        inputs: BTreeMap::new(),
        map_source: None,
    }
}

impl SimulatedCluster {
    /// Parses a job. Unless its submission is expected to be rejected, registers the job with the workers and the
    /// invariant checks.
    pub(super) fn describe_job(&mut self, words: &[&str]) -> JobArguments {
        check_arguments(&words[1..]);
        let number: u64 =
            words[0].parse().unwrap_or_else(|_| panic!("expected the number of a job, found {}", words[0]));
        let id = format!("job-{number:06}");
        let spec = submission(&id, words);
        let expected: Option<u16> = parsed_argument(words, "expect", "a status code");
        if expected.is_none_or(|status| status < 300) {
            self.jobs.insert(id.clone(), job_description(words));
            self.submissions.insert(id.clone(), spec.clone());
        }
        let check = expected.map_or(ResponseCheck::Rules, ResponseCheck::RulesAndStatus);
        JobArguments { id, spec, check }
    }
}
