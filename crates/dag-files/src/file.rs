//! Graph files: their contents and how they are parsed.

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

/// An error in a graph file.
#[derive(Debug, Error)]
pub enum DagFileError {
    /// The file cannot be read.
    #[error("{file}: {error}")]
    Read {
        /// Path of the file.
        file: String,
        /// Error from reading the file.
        error: std::io::Error,
    },
    /// The file as a whole, or a part of it outside the node blocks, is invalid.
    #[error("{file}: {problem}")]
    File {
        /// Path of the file.
        file: String,
        /// Description of the problem, with the line if it is known.
        problem: String,
    },
    /// A node is invalid.
    #[error("{file}: line {line}: node {node:?}: {problem}")]
    Node {
        /// Path of the file.
        file: String,
        /// Line of the node's block, or of the attribute concerned if it is known; counted from 1.
        line: usize,
        /// Name of the node.
        node: String,
        /// Description of the problem.
        problem: String,
    },
}

/// The attributes of a node block that are not attributes of a job.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeAttributes {
    /// Names of the upstream nodes, or labels of blocks that stand for all nodes expanded from them.
    pub after: Vec<String>,
    /// Name of the trigger rule, which decides by the upstream outcomes whether the node runs.
    #[serde(rename = "rule")]
    pub trigger_rule: String,
    /// Maximum number of attempts of each task, including the first.
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// Backoff after the first failure, in seconds.
    #[serde(rename = "wait_s")]
    pub retry_backoff_s: f64,
    /// Upper bound of the backoff, in seconds.
    #[serde(rename = "most_wait_s")]
    pub max_retry_backoff_s: f64,
    /// Time-out of an attempt, in seconds; a task that runs longer counts as failed.
    #[serde(rename = "limit_s")]
    pub timeout_s: Option<f64>,
    /// Name of the pool whose slots the node's tasks occupy.
    pub pool: Option<String>,
    /// Size of the node's output, in GB.
    pub output_gb: f64,
    /// Name of the upstream node whose list this node runs over, with one task for each element. A block label stands
    /// for the first node expanded from the block.
    #[serde(rename = "map")]
    pub map_over: Option<String>,
}

impl Default for NodeAttributes {
    fn default() -> Self {
        NodeAttributes {
            after: Vec::new(),
            trigger_rule: "all_success".into(),
            max_attempts: 1,
            retry_backoff_s: 1.0,
            max_retry_backoff_s: 60.0,
            timeout_s: None,
            pool: None,
            output_gb: 0.0,
            map_over: None,
        }
    }
}

/// The names of [`NodeAttributes`] in files; every other attribute of a node block belongs to its job.
pub(crate) const NODE_ATTRIBUTES: [&str; 9] =
    ["after", "rule", "tries", "wait_s", "most_wait_s", "limit_s", "pool", "output_gb", "map"];

/// A node of the graph. A block with `each` is expanded to one node for each element.
#[derive(Debug, Clone)]
pub struct DagFileNode {
    /// Name of the node: the label of its block, followed by the element if the block has `each`.
    pub name: String,
    /// Line of the node's block, counted from 1.
    pub line: usize,
    /// The job that runs the node.
    pub job: JobEntry,
    /// The node's other attributes as written in the file, with templates rendered.
    pub attributes: NodeAttributes,
    /// The parsed trigger rule.
    pub rule: TriggerRule,
    /// Positions of the upstream nodes, sorted.
    pub upstream: Vec<u32>,
    /// Position of the upstream node whose list the node runs over.
    pub map_source: Option<u32>,
}

/// A parsed and checked graph file.
#[derive(Debug)]
pub struct DagFile {
    /// Name of the graph.
    pub graph: String,
    /// Name of the run, if the file sets one.
    pub run: Option<String>,
    /// Maximum number of runs of the graph that are active at the same time.
    pub max_active_runs: u32,
    /// The nodes in file order.
    pub nodes: Vec<DagFileNode>,
}

impl DagFile {
    /// Reads and parses a file; `overrides` replaces values of variables that the file defines.
    ///
    /// # Errors
    /// The file cannot be read, or is invalid.
    pub fn load(path: &Path, overrides: &BTreeMap<String, String>) -> Result<DagFile, DagFileError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| DagFileError::Read { file: file.clone(), error })?;
        DagFile::parse(&file, &text, overrides)
    }

    /// Parses the text of a file; `file` is the name shown in errors. `overrides` replaces values of variables that the
    /// file defines.
    ///
    /// # Errors
    /// The text has invalid syntax, missing, invalid or unknown names, or a dependency cycle.
    pub fn parse(
        file: &str,
        text: &str,
        overrides: &BTreeMap<String, String>,
    ) -> Result<DagFile, DagFileError> {
        let source = SourceText { file, text };
        let body =
            hcl::parse(text).map_err(|error| source.file_error(collapse_whitespace(&error.to_string())))?;
        let vars = read_vars(&source, &body, overrides)?;
        let header = read_header(&source, &body, &vars)?;
        let defaults = match body.blocks().find(|block| block.identifier() == "defaults") {
            Some(block) => read_attributes(block.body())
                .map_err(|problem| source.file_error(format!("defaults: {problem}")))?,
            None => Map::new(),
        };
        let mut builder = DagBuilder::new(source, vars, defaults);
        let mut block_counts: HashMap<String, usize> = HashMap::new();
        for block in body.blocks().filter(|block| block.identifier() == "node") {
            builder.read_block(block, &mut block_counts)?;
        }
        let nodes = builder.finish()?;
        Ok(DagFile {
            graph: header.graph,
            run: header.run,
            max_active_runs: header.max_active_runs.unwrap_or(1),
            nodes,
        })
    }
}

fn read_vars(
    source: &SourceText<'_>,
    body: &Body,
    overrides: &BTreeMap<String, String>,
) -> Result<Map<String, Value>, DagFileError> {
    let block = body.blocks().find(|block| block.identifier() == "vars");
    let mut vars = match block {
        Some(block) => {
            read_attributes(block.body()).map_err(|problem| source.file_error(format!("vars: {problem}")))?
        }
        None => Map::new(),
    };
    for (name, value) in overrides {
        if !vars.contains_key(name) {
            return Err(source.file_error(format!(
                "unknown variable {name:?}: the file defines {:?}",
                vars.keys().collect::<Vec<_>>()
            )));
        }
        // A value that is valid JSON, such as a list or a number, is used as such; any other value is a string.
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.clone()));
        vars.insert(name.clone(), value);
    }
    Ok(vars)
}

/// The attributes outside all blocks.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    graph: String,
    run: Option<String>,
    #[serde(rename = "most_runs")]
    max_active_runs: Option<u32>,
}

fn read_header(
    source: &SourceText<'_>,
    body: &Body,
    vars: &Map<String, Value>,
) -> Result<Header, DagFileError> {
    let is_known = |block: &&Block| ["node", "vars", "defaults"].contains(&block.identifier());
    if let Some(block) = body.blocks().find(|block| !is_known(block)) {
        let name = block.identifier();
        let line = source.line_of(1, name);
        return Err(source
            .file_error(format!("line {line}: expected a node, vars or defaults block, found {name:?}")));
    }
    let attributes: Body = body.attributes().cloned().collect();
    let value = read_attributes(&attributes).map_err(|problem| source.file_error(problem))?;
    let value = render_value(&template_environment(), &Value::Object(value), &Value::Object(vars.clone()))
        .map_err(|problem| source.file_error(problem))?;
    let header: Header = serde_json::from_value(value).map_err(|error| {
        let problem = error.to_string();
        let line = quoted_name(&problem).map_or(1, |name| source.line_of(1, name));
        source.file_error(format!("line {line}: {problem}"))
    })?;
    if DagRunName::parse(&header.graph).is_none() {
        return Err(source.file_error(format!(
            "graph: expected a name of letters, digits, dots, dashes and underscores, found {:?}",
            header.graph
        )));
    }
    Ok(header)
}

#[cfg(test)]
#[path = "tests/file.rs"]
mod tests;
