//! Graph files: what they hold, and reading them.

use std::collections::{BTreeMap, HashMap};
use std::path::Path;

use hcl::structure::{Block, Body};
use olivelatch::protocol::graphs::DagRunName;
use olivelatch::source_location::{collapse_whitespace, quoted_name};
use olivelatch_client::JobEntry;
use olivelatch_dag::TriggerRule;
use serde::Deserialize;
use serde_json::{Map, Value};
use thiserror::Error;

use crate::builder::DagBuilder;
use crate::source::SourceText;
use crate::template::{read_attributes, render_value, template_environment};

/// What is wrong with a graph file.
#[derive(Debug, Error)]
pub enum DagFileError {
    /// It cannot be read.
    #[error("{file}: {error}")]
    Read {
        /// Its path.
        file: String,
        /// Why not.
        error: std::io::Error,
    },
    /// It is wrong as a whole, or outside its nodes.
    #[error("{file}: {problem}")]
    Form {
        /// Its path.
        file: String,
        /// With the line, where it is known.
        problem: String,
    },
    /// A node is wrong.
    #[error("{file}: line {line}: node {node:?}: {problem}")]
    Node {
        /// Its path.
        file: String,
        /// Counted from 1.
        line: usize,
        /// The node's name.
        node: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// The attributes of a node that a job does not have.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeAttributes {
    /// The nodes that it comes after.
    pub after: Vec<String>,
    /// Which outcomes of these nodes it starts after.
    #[serde(rename = "rule")]
    pub trigger_rule: String,
    /// Attempts of each task.
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// The backoff after the first failure, in seconds.
    #[serde(rename = "wait_s")]
    pub retry_delay_s: f64,
    /// The longest backoff, in seconds.
    #[serde(rename = "most_wait_s")]
    pub max_retry_delay_s: f64,
    /// The longest run of an attempt, in seconds.
    #[serde(rename = "limit_s")]
    pub timeout_s: Option<f64>,
    /// The pool whose slots its tasks take.
    pub pool: Option<String>,
    /// The size of its output in GB.
    pub output_gb: f64,
    /// The node over whose list it runs: a task for each element.
    #[serde(rename = "map")]
    pub map_over: Option<String>,
}

impl Default for NodeAttributes {
    fn default() -> Self {
        NodeAttributes {
            after: Vec::new(),
            trigger_rule: "all_success".into(),
            max_attempts: 1,
            retry_delay_s: 1.0,
            max_retry_delay_s: 60.0,
            timeout_s: None,
            pool: None,
            output_gb: 0.0,
            map_over: None,
        }
    }
}

/// The names of [`NodeAttributes`] in files; every other attribute of a node is a job's.
pub(crate) const NODE_ATTRIBUTES: [&str; 9] =
    ["after", "rule", "tries", "wait_s", "most_wait_s", "limit_s", "pool", "output_gb", "map"];

/// A node of the file, after expansion.
#[derive(Debug, Clone)]
pub struct DagFileNode {
    /// Its name, with that of its element.
    pub name: String,
    /// The line of its block, counted from 1.
    pub line: usize,
    /// The job that it runs as.
    pub job: JobEntry,
    /// Its other attributes as they are written.
    pub attributes: NodeAttributes,
    /// Its trigger rule.
    pub rule: TriggerRule,
    /// Positions of the nodes that it comes after.
    pub after: Vec<u32>,
    /// Position of the node over whose list it runs.
    pub map: Option<u32>,
}

/// A graph file that was read and checked.
#[derive(Debug)]
pub struct DagFile {
    /// The graph's name.
    pub graph: String,
    /// The run's name, if the file gives one.
    pub run: Option<String>,
    /// Runs of the graph at a time.
    pub max_concurrent_runs: u32,
    /// The nodes in the order of the file.
    pub nodes: Vec<DagFileNode>,
}

impl DagFile {
    /// Reads a file; `given` are variables that override the file's.
    ///
    /// # Errors
    /// It cannot be read, or is wrong.
    pub fn load(path: &Path, given: &BTreeMap<String, String>) -> Result<DagFile, DagFileError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| DagFileError::Read { file: file.clone(), error })?;
        DagFile::parse(&file, &text, given)
    }

    /// Reads the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    /// It has another form, unknown names, or a cycle.
    pub fn parse(file: &str, text: &str, given: &BTreeMap<String, String>) -> Result<DagFile, DagFileError> {
        let source = SourceText { file, text };
        let body =
            hcl::parse(text).map_err(|error| source.file_error(collapse_whitespace(&error.to_string())))?;
        let vars = read_vars(&source, &body, given)?;
        let header = read_header(&source, &body, &vars)?;
        let defaults = match body.blocks().find(|block| block.identifier() == "defaults") {
            Some(block) => read_attributes(block.body())
                .map_err(|problem| source.file_error(format!("defaults: {problem}")))?,
            None => Map::new(),
        };
        let mut builder = DagBuilder::new(source, vars, defaults);
        let mut blocks_by_label: HashMap<String, usize> = HashMap::new();
        for block in body.blocks().filter(|block| block.identifier() == "node") {
            builder.read_block(block, &mut blocks_by_label)?;
        }
        let nodes = builder.finish()?;
        Ok(DagFile {
            graph: header.graph,
            run: header.run,
            max_concurrent_runs: header.most_runs.unwrap_or(1),
            nodes,
        })
    }
}

fn read_vars(
    source: &SourceText<'_>,
    body: &Body,
    given: &BTreeMap<String, String>,
) -> Result<Map<String, Value>, DagFileError> {
    let block = body.blocks().find(|block| block.identifier() == "vars");
    let mut vars = match block {
        Some(block) => {
            read_attributes(block.body()).map_err(|problem| source.file_error(format!("vars: {problem}")))?
        }
        None => Map::new(),
    };
    for (name, value) in given {
        if !vars.contains_key(name) {
            return Err(source.file_error(format!(
                "there is no variable {name:?}; it has {:?}",
                vars.keys().collect::<Vec<_>>()
            )));
        }
        // A list or a number may be given as JSON.
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.clone()));
        vars.insert(name.clone(), value);
    }
    Ok(vars)
}

/// The attributes outside of all blocks.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    graph: String,
    run: Option<String>,
    most_runs: Option<u32>,
}

fn read_header(
    source: &SourceText<'_>,
    body: &Body,
    vars: &Map<String, Value>,
) -> Result<Header, DagFileError> {
    let is_known = |block: &&Block| ["node", "vars", "defaults"].contains(&block.identifier());
    if let Some(block) = body.blocks().find(|block| !is_known(block)) {
        let word = block.identifier();
        let line = source.line_of(1, word);
        return Err(source.file_error(format!("line {line}: expected node, vars or defaults, not {word:?}")));
    }
    let attributes: Body = body.attributes().cloned().collect();
    let value = read_attributes(&attributes).map_err(|problem| source.file_error(problem))?;
    let value = render_value(&template_environment(), &Value::Object(value), &Value::Object(vars.clone()))
        .map_err(|problem| source.file_error(problem))?;
    let header: Header = serde_json::from_value(value).map_err(|error| {
        let problem = error.to_string();
        let line = quoted_name(&problem).map_or(1, |word| source.line_of(1, word));
        source.file_error(format!("line {line}: {problem}"))
    })?;
    if DagRunName::parse(&header.graph).is_none() {
        return Err(source.file_error(format!("graph: expected a name like nightly, not {:?}", header.graph)));
    }
    Ok(header)
}

#[cfg(test)]
#[path = "tests/file.rs"]
mod tests;
