//! Graph files, read and filled in.

use std::collections::{BTreeMap, HashMap};
use std::path::Path;

use hcl::structure::{Block, Body};
use minijinja::{Environment, UndefinedBehavior};
use olivelatch::places::{line_of, named, one_line};
use olivelatch::protocol::graphs::RunName;
use olivelatch_client::JobEntry;
use olivelatch_graph::{Rule, Shape, ShapeError};
use serde::Deserialize;
use serde_json::{Map, Value, json};
use thiserror::Error;

#[derive(Debug, Error)]
pub enum FlowFileError {
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
pub struct NodeWords {
    pub after: Vec<String>,
    pub rule: String,
    pub tries: u32,
    pub wait_s: f64,
    pub most_wait_s: f64,
    pub limit_s: Option<f64>,
    pub pool: Option<String>,
    pub output_gb: f64,
    /// The node over whose list it runs: a task for each element.
    pub map: Option<String>,
}

impl Default for NodeWords {
    fn default() -> Self {
        NodeWords {
            after: Vec::new(),
            rule: "all_success".into(),
            tries: 1,
            wait_s: 1.0,
            most_wait_s: 60.0,
            limit_s: None,
            pool: None,
            output_gb: 0.0,
            map: None,
        }
    }
}

const WORDS: [&str; 9] =
    ["after", "rule", "tries", "wait_s", "most_wait_s", "limit_s", "pool", "output_gb", "map"];

/// A node of the file, filled in.
#[derive(Debug, Clone)]
pub struct FlowNode {
    pub name: String,
    pub line: usize,
    pub job: JobEntry,
    pub words: NodeWords,
    pub rule: Rule,
    /// Positions of the nodes that it comes after.
    pub after: Vec<u32>,
    pub map: Option<u32>,
}

/// A graph as a person wrote it, checked.
#[derive(Debug)]
pub struct FlowFile {
    pub graph: String,
    /// The run's name, if the file gives one.
    pub run: Option<String>,
    pub most_runs: u32,
    pub nodes: Vec<FlowNode>,
}

/// The text, to tell places in it.
struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl Source<'_> {
    fn form(&self, problem: impl ToString) -> FlowFileError {
        FlowFileError::Form { file: self.file.into(), problem: problem.to_string() }
    }

    /// Where the block of a name begins, the `nth` of them.
    fn line(&self, label: &str, nth: usize) -> usize {
        let begins = |line: &str| {
            let mut words = line.split_whitespace();
            words.next() == Some("node") && words.next().is_some_and(|word| word.trim_matches('"') == label)
        };
        let lines = self.text.lines().enumerate().filter(|(_, line)| begins(line));
        lines.map(|(at, _)| at + 1).nth(nth).unwrap_or(1)
    }

    /// The line within a block that begins with a word; the block's own if there is none.
    fn line_of(&self, from: usize, word: &str) -> usize {
        line_of(self.text, from, word).unwrap_or(from)
    }

    fn node(&self, line: usize, node: &str, problem: impl ToString) -> FlowFileError {
        FlowFileError::Node { file: self.file.into(), line, node: node.into(), problem: problem.to_string() }
    }
}

/// Fills in the templates in every string.
fn fill(environment: &Environment<'_>, value: &Value, context: &Value) -> Result<Value, String> {
    Ok(match value {
        Value::String(text) if text.contains("{{") || text.contains("{%") => {
            let filled = environment.render_str(text, context);
            // The name of the template is one that the library made up.
            Value::String(filled.map_err(|error| error.to_string().replace(" (in <string>:1)", ""))?)
        }
        Value::Array(all) => {
            Value::Array(all.iter().map(|one| fill(environment, one, context)).collect::<Result<_, _>>()?)
        }
        Value::Object(all) => {
            let one = |(name, one): (&String, &Value)| Ok((name.clone(), fill(environment, one, context)?));
            Value::Object(all.iter().map(one).collect::<Result<_, String>>()?)
        }
        other => other.clone(),
    })
}

fn environment() -> Environment<'static> {
    let mut environment = Environment::new();
    environment.set_undefined_behavior(UndefinedBehavior::Strict);
    environment
}

/// Attributes of a body as JSON; blocks in it are none of a graph file's.
fn attributes(body: &Body) -> Result<Map<String, Value>, String> {
    if let Some(block) = body.blocks().next() {
        return Err(format!("a block {:?} is not expected here", block.identifier()));
    }
    let value: Value = hcl::from_body(body.clone()).map_err(|error| error.to_string())?;
    value.as_object().cloned().ok_or_else(|| "expected name = value".into())
}

impl FlowFile {
    /// `given`: variables that override the file's.
    pub fn load(path: &Path, given: &BTreeMap<String, String>) -> Result<FlowFile, FlowFileError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| FlowFileError::Read { file: file.clone(), error })?;
        FlowFile::parse(&file, &text, given)
    }

    pub fn parse(
        file: &str,
        text: &str,
        given: &BTreeMap<String, String>,
    ) -> Result<FlowFile, FlowFileError> {
        let source = Source { file, text };
        let body = hcl::parse(text).map_err(|error| source.form(one_line(&error.to_string())))?;
        let vars = read_vars(&source, &body, given)?;
        let top = read_top(&source, &body, &vars)?;
        let defaults = match body.blocks().find(|block| block.identifier() == "defaults") {
            Some(block) => {
                attributes(block.body()).map_err(|problem| source.form(format!("defaults: {problem}")))?
            }
            None => Map::new(),
        };
        let mut draft = Draft { source, vars, defaults, nodes: Vec::new(), groups: HashMap::new() };
        let mut seen: HashMap<String, usize> = HashMap::new();
        for block in body.blocks().filter(|block| block.identifier() == "node") {
            draft.block(block, &mut seen)?;
        }
        if draft.nodes.is_empty() {
            return Err(draft.source.form("no nodes"));
        }
        draft.connect()?;
        let (graph, run, most_runs) = top;
        Ok(FlowFile { graph, run, most_runs, nodes: draft.nodes })
    }
}

fn read_vars(
    source: &Source<'_>,
    body: &Body,
    given: &BTreeMap<String, String>,
) -> Result<Map<String, Value>, FlowFileError> {
    let block = body.blocks().find(|block| block.identifier() == "vars");
    let mut vars = match block {
        Some(block) => attributes(block.body()).map_err(|problem| source.form(format!("vars: {problem}")))?,
        None => Map::new(),
    };
    for (name, value) in given {
        if !vars.contains_key(name) {
            return Err(source.form(format!(
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
fn read_top(
    source: &Source<'_>,
    body: &Body,
    vars: &Map<String, Value>,
) -> Result<(String, Option<String>, u32), FlowFileError> {
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Top {
        graph: String,
        run: Option<String>,
        most_runs: Option<u32>,
    }
    if let Some(block) = body.blocks().find(|b| !["node", "vars", "defaults"].contains(&b.identifier())) {
        let word = block.identifier();
        let line = source.line_of(1, word);
        return Err(source.form(format!("line {line}: expected node, vars or defaults, not {word:?}")));
    }
    let top: Body = body.attributes().cloned().collect();
    let value = attributes(&top).map_err(|problem| source.form(problem))?;
    let value = fill(&environment(), &Value::Object(value), &Value::Object(vars.clone()))
        .map_err(|problem| source.form(problem))?;
    let top: Top = serde_json::from_value(value).map_err(|error| {
        let problem = error.to_string();
        let line = named(&problem).map_or(1, |word| source.line_of(1, word));
        source.form(format!("line {line}: {problem}"))
    })?;
    if RunName::parse(&top.graph).is_none() {
        return Err(source.form(format!("graph: expected a name like nightly, not {:?}", top.graph)));
    }
    Ok((top.graph, top.run, top.most_runs.unwrap_or(1)))
}

struct Draft<'a> {
    source: Source<'a>,
    vars: Map<String, Value>,
    defaults: Map<String, Value>,
    nodes: Vec<FlowNode>,
    /// Nodes by the name of their block: one, or one for each element.
    groups: HashMap<String, Vec<u32>>,
}

impl Draft<'_> {
    fn block(&mut self, block: &Block, seen: &mut HashMap<String, usize>) -> Result<(), FlowFileError> {
        let labels = block.labels();
        let [label] = labels else {
            return Err(self.source.form("expected node \"NAME\" { ... }"));
        };
        let label = label.as_str().to_string();
        let nth = seen.entry(label.clone()).or_default();
        let line = self.source.line(&label, *nth);
        *nth += 1;
        if *nth > 1 {
            return Err(self.source.node(line, &label, "another node has that name"));
        }
        let own = attributes(block.body()).map_err(|problem| self.source.node(line, &label, problem))?;
        let mut all = self.defaults.clone();
        all.extend(own);
        let elements = match all.remove("each") {
            None => vec![None],
            Some(each) => self.elements(&each).map_err(|problem| self.source.node(line, &label, problem))?,
        };
        for (index, item) in elements.into_iter().enumerate() {
            self.one(&label, line, &all, index, item)?;
        }
        Ok(())
    }

    /// A list, or the name of a variable that is one.
    fn elements(&self, each: &Value) -> Result<Vec<Option<Value>>, String> {
        let list = each.as_str().map_or(Some(each), |name| self.vars.get(name)).and_then(Value::as_array);
        let list = list.ok_or_else(|| {
            format!("each: expected a list or the name of a variable that is one, not {each}")
        })?;
        Ok(list.iter().cloned().map(Some).collect())
    }

    fn one(
        &mut self,
        label: &str,
        line: usize,
        all: &Map<String, Value>,
        index: usize,
        item: Option<Value>,
    ) -> Result<(), FlowFileError> {
        let mut context = self.vars.clone();
        let name = match &item {
            None => label.to_string(),
            Some(item) => format!("{label}-{}", item.as_str().map_or_else(|| item.to_string(), String::from)),
        };
        if let Some(item) = item {
            context.insert("item".into(), item);
            context.insert("index".into(), json!(index));
        }
        let wrong = |source: &Source<'_>, problem: String| {
            let at = named(&problem).map_or(line, |word| source.line_of(line, word));
            source.node(at, &name, problem)
        };
        let filled = fill(&environment(), &Value::Object(all.clone()), &Value::Object(context))
            .map_err(|problem| wrong(&self.source, problem))?;
        let filled = filled.as_object().cloned().unwrap_or_default();
        let (words, job): (Map<String, Value>, Map<String, Value>) =
            filled.into_iter().partition(|(word, _)| WORDS.contains(&word.as_str()));
        let read = |error: serde_json::Error| wrong(&self.source, error.to_string());
        let words: NodeWords = serde_json::from_value(Value::Object(words)).map_err(read)?;
        let job: JobEntry = serde_json::from_value(Value::Object(job)).map_err(read)?;
        let rule = Rule::parse(&words.rule).ok_or_else(|| {
            let known: Vec<&str> = Rule::ALL.iter().map(|rule| rule.word()).collect();
            let at = self.source.line_of(line, "rule");
            self.source.node(
                at,
                &name,
                format!("rule: expected one of {}, not {:?}", known.join(", "), words.rule),
            )
        })?;
        if self.nodes.iter().any(|node| node.name == name) {
            return Err(self.source.node(line, &name, "another node has that name"));
        }
        self.groups.entry(label.into()).or_default().push(self.nodes.len() as u32);
        self.nodes.push(FlowNode { name, line, job, words, rule, after: Vec::new(), map: None });
        Ok(())
    }

    /// Names become positions; circles are named.
    fn connect(&mut self) -> Result<(), FlowFileError> {
        let by_name: HashMap<String, u32> =
            self.nodes.iter().enumerate().map(|(at, node)| (node.name.clone(), at as u32)).collect();
        let mut edges = Vec::new();
        for at in 0..self.nodes.len() {
            let node = &self.nodes[at];
            let find = |name: &String, word: &str| {
                let own = by_name.get(name).map(|at| vec![*at]);
                own.or_else(|| self.groups.get(name).cloned()).ok_or_else(|| {
                    let line = self.source.line_of(node.line, word);
                    self.source.node(line, &node.name, format!("{word}: there is no node {name:?}"))
                })
            };
            let mut after = Vec::new();
            for name in &node.words.after {
                after.extend(find(name, "after")?);
            }
            let map = match &node.words.map {
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
        match Shape::new(self.nodes.len() as u32, &edges) {
            Ok(_) => Ok(()),
            Err(ShapeError::Cycle(circle)) => {
                let first = &self.nodes[circle[0] as usize];
                let names: Vec<&str> = circle
                    .iter()
                    .chain(circle.first())
                    .map(|at| self.nodes[*at as usize].name.as_str())
                    .collect();
                let problem = format!("nodes wait for one another in a circle: {}", names.join(" -> "));
                Err(self.source.node(first.line, &first.name, problem))
            }
            Err(error) => Err(self.source.form(error)),
        }
    }
}

#[cfg(test)]
#[path = "tests/file.rs"]
mod tests;
