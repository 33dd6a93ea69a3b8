//! Graph files, read and filled in.

use std::collections::{BTreeMap, HashMap};
use std::path::Path;

use hcl::structure::{Block, Body};
use minijinja::{Environment, UndefinedBehavior};
use olivelatch::protocol::graphs::DagRunName;
use olivelatch::source_location::{collapse_whitespace, find_line, quoted_name};
use olivelatch_client::JobEntry;
use olivelatch_dag::{DagTopology, TopologyError, TriggerRule};
use serde::Deserialize;
use serde_json::{Map, Value, json};
use thiserror::Error;

#[derive(Debug, Error)]
pub enum DagFileError {
    #[error("{file}: {error}")]
    Read { file: String, error: std::io::Error },
    #[error("{file}: {problem}")]
    Form { file: String, problem: String },
    #[error("{file}: line {line}: node {node:?}: {problem}")]
    Node { file: String, line: usize, node: String, problem: String },
}

/// What a node is besides a job.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeAttributes {
    pub after: Vec<String>,
    #[serde(rename = "rule")]
    pub trigger_rule: String,
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    #[serde(rename = "wait_s")]
    pub retry_delay_s: f64,
    #[serde(rename = "most_wait_s")]
    pub max_retry_delay_s: f64,
    #[serde(rename = "limit_s")]
    pub timeout_s: Option<f64>,
    pub pool: Option<String>,
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

const NODE_ATTRIBUTES: [&str; 9] =
    ["after", "rule", "tries", "wait_s", "most_wait_s", "limit_s", "pool", "output_gb", "map"];

/// A node of the file, filled in.
#[derive(Debug, Clone)]
pub struct DagFileNode {
    pub name: String,
    pub line: usize,
    pub job: JobEntry,
    pub attributes: NodeAttributes,
    pub rule: TriggerRule,
    /// Positions of the nodes that it comes after.
    pub after: Vec<u32>,
    pub map: Option<u32>,
}

/// A graph as a person wrote it, checked.
#[derive(Debug)]
pub struct DagFile {
    pub graph: String,
    /// The run's name, if the file gives one.
    pub run: Option<String>,
    pub max_concurrent_runs: u32,
    pub nodes: Vec<DagFileNode>,
}

/// The text, to tell places in it.
struct SourceText<'a> {
    file: &'a str,
    text: &'a str,
}

impl SourceText<'_> {
    fn file_error(&self, problem: impl ToString) -> DagFileError {
        DagFileError::Form { file: self.file.into(), problem: problem.to_string() }
    }

    /// Where the block of a name begins, the `nth` of them.
    fn line_of_block(&self, label: &str, nth: usize) -> usize {
        let begins = |line: &str| {
            let mut words = line.split_whitespace();
            words.next() == Some("node") && words.next().is_some_and(|word| word.trim_matches('"') == label)
        };
        let lines = self.text.lines().enumerate().filter(|(_, line)| begins(line));
        lines.map(|(at, _)| at + 1).nth(nth).unwrap_or(1)
    }

    /// The line within a block that begins with a word; the block's own if there is none.
    fn line_of(&self, from: usize, word: &str) -> usize {
        find_line(self.text, from, word).unwrap_or(from)
    }

    fn node_error(&self, line: usize, node: &str, problem: impl ToString) -> DagFileError {
        DagFileError::Node { file: self.file.into(), line, node: node.into(), problem: problem.to_string() }
    }
}

/// Fills in the templates in every string.
fn render_value(environment: &Environment<'_>, value: &Value, context: &Value) -> Result<Value, String> {
    Ok(match value {
        Value::String(text) if text.contains("{{") || text.contains("{%") => {
            let filled = environment.render_str(text, context);
            // The name of the template is one that the library made up.
            Value::String(filled.map_err(|error| error.to_string().replace(" (in <string>:1)", ""))?)
        }
        Value::Array(all) => Value::Array(
            all.iter().map(|one| render_value(environment, one, context)).collect::<Result<_, _>>()?,
        ),
        Value::Object(all) => {
            let one =
                |(name, one): (&String, &Value)| Ok((name.clone(), render_value(environment, one, context)?));
            Value::Object(all.iter().map(one).collect::<Result<_, String>>()?)
        }
        other => other.clone(),
    })
}

fn template_environment() -> Environment<'static> {
    let mut environment = Environment::new();
    environment.set_undefined_behavior(UndefinedBehavior::Strict);
    environment
}

/// Attributes of a body as JSON; blocks in it are none of a graph file's.
fn read_attributes(body: &Body) -> Result<Map<String, Value>, String> {
    if let Some(block) = body.blocks().next() {
        return Err(format!("a block {:?} is not expected here", block.identifier()));
    }
    let value: Value = hcl::from_body(body.clone()).map_err(|error| error.to_string())?;
    value.as_object().cloned().ok_or_else(|| "expected name = value".into())
}

impl DagFile {
    /// `given`: variables that override the file's.
    pub fn load(path: &Path, given: &BTreeMap<String, String>) -> Result<DagFile, DagFileError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| DagFileError::Read { file: file.clone(), error })?;
        DagFile::parse(&file, &text, given)
    }

    pub fn parse(file: &str, text: &str, given: &BTreeMap<String, String>) -> Result<DagFile, DagFileError> {
        let source = SourceText { file, text };
        let body =
            hcl::parse(text).map_err(|error| source.file_error(collapse_whitespace(&error.to_string())))?;
        let vars = read_vars(&source, &body, given)?;
        let top = read_header(&source, &body, &vars)?;
        let defaults = match body.blocks().find(|block| block.identifier() == "defaults") {
            Some(block) => read_attributes(block.body())
                .map_err(|problem| source.file_error(format!("defaults: {problem}")))?,
            None => Map::new(),
        };
        let mut draft =
            DagBuilder { source, vars, defaults, nodes: Vec::new(), nodes_by_block: HashMap::new() };
        let mut seen: HashMap<String, usize> = HashMap::new();
        for block in body.blocks().filter(|block| block.identifier() == "node") {
            draft.read_block(block, &mut seen)?;
        }
        if draft.nodes.is_empty() {
            return Err(draft.source.file_error("no nodes"));
        }
        draft.resolve_edges()?;
        let (graph, run, most_runs) = top;
        Ok(DagFile { graph, run, max_concurrent_runs: most_runs, nodes: draft.nodes })
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
        // A list or a number may be given as such.
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.clone()));
        vars.insert(name.clone(), value);
    }
    Ok(vars)
}

/// Name of the graph, name of the run, runs at a time.
fn read_header(
    source: &SourceText<'_>,
    body: &Body,
    vars: &Map<String, Value>,
) -> Result<(String, Option<String>, u32), DagFileError> {
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Header {
        graph: String,
        run: Option<String>,
        most_runs: Option<u32>,
    }
    if let Some(block) = body.blocks().find(|b| !["node", "vars", "defaults"].contains(&b.identifier())) {
        let word = block.identifier();
        let line = source.line_of(1, word);
        return Err(source.file_error(format!("line {line}: expected node, vars or defaults, not {word:?}")));
    }
    let top: Body = body.attributes().cloned().collect();
    let value = read_attributes(&top).map_err(|problem| source.file_error(problem))?;
    let value = render_value(&template_environment(), &Value::Object(value), &Value::Object(vars.clone()))
        .map_err(|problem| source.file_error(problem))?;
    let top: Header = serde_json::from_value(value).map_err(|error| {
        let problem = error.to_string();
        let line = quoted_name(&problem).map_or(1, |word| source.line_of(1, word));
        source.file_error(format!("line {line}: {problem}"))
    })?;
    if DagRunName::parse(&top.graph).is_none() {
        return Err(source.file_error(format!("graph: expected a name like nightly, not {:?}", top.graph)));
    }
    Ok((top.graph, top.run, top.most_runs.unwrap_or(1)))
}

struct DagBuilder<'a> {
    source: SourceText<'a>,
    vars: Map<String, Value>,
    defaults: Map<String, Value>,
    nodes: Vec<DagFileNode>,
    /// Nodes by the name of their block: one, or one for each element.
    nodes_by_block: HashMap<String, Vec<u32>>,
}

impl DagBuilder<'_> {
    fn read_block(&mut self, block: &Block, seen: &mut HashMap<String, usize>) -> Result<(), DagFileError> {
        let labels = block.labels();
        let [label] = labels else {
            return Err(self.source.file_error("expected node \"NAME\" { ... }"));
        };
        let label = label.as_str().to_string();
        let nth = seen.entry(label.clone()).or_default();
        let line = self.source.line_of_block(&label, *nth);
        *nth += 1;
        if *nth > 1 {
            return Err(self.source.node_error(line, &label, "another node has that name"));
        }
        let own =
            read_attributes(block.body()).map_err(|problem| self.source.node_error(line, &label, problem))?;
        let mut all = self.defaults.clone();
        all.extend(own);
        let elements = match all.remove("each") {
            None => vec![None],
            Some(each) => {
                self.read_elements(&each).map_err(|problem| self.source.node_error(line, &label, problem))?
            }
        };
        for (index, item) in elements.into_iter().enumerate() {
            self.add_node(&label, line, &all, index, item)?;
        }
        Ok(())
    }

    /// A list, or the name of a variable that is one.
    fn read_elements(&self, each: &Value) -> Result<Vec<Option<Value>>, String> {
        let list = each.as_str().map_or(Some(each), |name| self.vars.get(name)).and_then(Value::as_array);
        let list = list.ok_or_else(|| {
            format!("each: expected a list or the name of a variable that is one, not {each}")
        })?;
        Ok(list.iter().cloned().map(Some).collect())
    }

    fn add_node(
        &mut self,
        label: &str,
        line: usize,
        all: &Map<String, Value>,
        index: usize,
        item: Option<Value>,
    ) -> Result<(), DagFileError> {
        let mut context = self.vars.clone();
        let name = match &item {
            None => label.to_string(),
            Some(item) => format!("{label}-{}", item.as_str().map_or_else(|| item.to_string(), String::from)),
        };
        if let Some(item) = item {
            context.insert("item".into(), item);
            context.insert("index".into(), json!(index));
        }
        let wrong = |source: &SourceText<'_>, problem: String| {
            let at = quoted_name(&problem).map_or(line, |word| source.line_of(line, word));
            source.node_error(at, &name, problem)
        };
        let filled =
            render_value(&template_environment(), &Value::Object(all.clone()), &Value::Object(context))
                .map_err(|problem| wrong(&self.source, problem))?;
        let filled = filled.as_object().cloned().unwrap_or_default();
        let (words, job): (Map<String, Value>, Map<String, Value>) =
            filled.into_iter().partition(|(word, _)| NODE_ATTRIBUTES.contains(&word.as_str()));
        let read = |error: serde_json::Error| wrong(&self.source, error.to_string());
        let words: NodeAttributes = serde_json::from_value(Value::Object(words)).map_err(read)?;
        let job: JobEntry = serde_json::from_value(Value::Object(job)).map_err(read)?;
        let rule = TriggerRule::parse(&words.trigger_rule).ok_or_else(|| {
            let known: Vec<&str> = TriggerRule::ALL.iter().map(|rule| rule.as_str()).collect();
            let at = self.source.line_of(line, "rule");
            self.source.node_error(
                at,
                &name,
                format!("rule: expected one of {}, not {:?}", known.join(", "), words.trigger_rule),
            )
        })?;
        if self.nodes.iter().any(|node| node.name == name) {
            return Err(self.source.node_error(line, &name, "another node has that name"));
        }
        self.nodes_by_block.entry(label.into()).or_default().push(self.nodes.len() as u32);
        self.nodes.push(DagFileNode {
            name,
            line,
            job,
            attributes: words,
            rule,
            after: Vec::new(),
            map: None,
        });
        Ok(())
    }

    /// Names become positions; circles are named.
    fn resolve_edges(&mut self) -> Result<(), DagFileError> {
        let by_name: HashMap<String, u32> =
            self.nodes.iter().enumerate().map(|(at, node)| (node.name.clone(), at as u32)).collect();
        let mut edges = Vec::new();
        for at in 0..self.nodes.len() {
            let node = &self.nodes[at];
            let find = |name: &String, word: &str| {
                let own = by_name.get(name).map(|at| vec![*at]);
                own.or_else(|| self.nodes_by_block.get(name).cloned()).ok_or_else(|| {
                    let line = self.source.line_of(node.line, word);
                    self.source.node_error(line, &node.name, format!("{word}: there is no node {name:?}"))
                })
            };
            let mut after = Vec::new();
            for name in &node.attributes.after {
                after.extend(find(name, "after")?);
            }
            let map = match &node.attributes.map_over {
                None => None,
                Some(name) => Some(find(name, "map")?[0]),
            };
            // Whose list it runs over, it comes after.
            after.extend(map);
            after.sort_unstable();
            after.dedup();
            edges.extend(after.iter().map(|from| (*from, at as u32)));
            self.nodes[at].after = after;
            self.nodes[at].map = map;
        }
        match DagTopology::new(self.nodes.len() as u32, &edges) {
            Ok(_) => Ok(()),
            Err(TopologyError::Cycle(circle)) => {
                let first = &self.nodes[circle[0] as usize];
                let names: Vec<&str> = circle
                    .iter()
                    .chain(circle.first())
                    .map(|at| self.nodes[*at as usize].name.as_str())
                    .collect();
                let problem = format!("nodes wait for one another in a circle: {}", names.join(" -> "));
                Err(self.source.node_error(first.line, &first.name, problem))
            }
            Err(error) => Err(self.source.file_error(error)),
        }
    }
}

#[cfg(test)]
#[path = "tests/file.rs"]
mod tests;
