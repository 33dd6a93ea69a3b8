//! Builds the nodes of a graph: expands blocks over their elements, renders templates, and resolves node names to
//! positions.

use std::collections::HashMap;

use hcl::structure::Block;
use olivelatch::source_location::quoted_name;
use olivelatch_client::JobEntry;
use olivelatch_dag::{DagTopology, TopologyError, TriggerRule};
use serde_json::{Map, Value, json};

use crate::file::{DagFileError, DagFileNode, NODE_ATTRIBUTES, NodeAttributes};
use crate::source::SourceText;
use crate::template::{read_attributes, render_value, template_environment};

/// Collects the nodes of a graph from its blocks.
pub(crate) struct DagBuilder<'a> {
    source: SourceText<'a>,
    vars: Map<String, Value>,
    defaults: Map<String, Value>,
    nodes: Vec<DagFileNode>,
    /// Positions of nodes by the label of their block: one, or one for each element of a block with `each`.
    nodes_by_block: HashMap<String, Vec<u32>>,
}

impl<'a> DagBuilder<'a> {
    pub(crate) fn new(
        source: SourceText<'a>,
        vars: Map<String, Value>,
        defaults: Map<String, Value>,
    ) -> DagBuilder<'a> {
        DagBuilder { source, vars, defaults, nodes: Vec::new(), nodes_by_block: HashMap::new() }
    }

    /// Reads a node block. `block_counts` counts the blocks read so far by label; a repeated label is an error.
    pub(crate) fn read_block(
        &mut self,
        block: &Block,
        block_counts: &mut HashMap<String, usize>,
    ) -> Result<(), DagFileError> {
        let labels = block.labels();
        let [label] = labels else {
            return Err(self
                .source
                .file_error("a node block needs exactly one label: expected node \"NAME\" { ... }"));
        };
        let label = label.as_str().to_string();
        let nth = block_counts.entry(label.clone()).or_default();
        let line = self.source.line_of_block(&label, *nth);
        *nth += 1;
        if *nth > 1 {
            return Err(self.source.node_error(line, &label, "another node has the same name"));
        }
        let block_attributes =
            read_attributes(block.body()).map_err(|problem| self.source.node_error(line, &label, problem))?;
        let mut attributes = self.defaults.clone();
        attributes.extend(block_attributes);
        // Without `each`, the block is one node without an element.
        let elements = match attributes.remove("each") {
            None => vec![None],
            Some(each) => {
                self.read_elements(&each).map_err(|problem| self.source.node_error(line, &label, problem))?
            }
        };
        for (index, item) in elements.into_iter().enumerate() {
            self.add_node(&label, line, &attributes, index, item)?;
        }
        Ok(())
    }

    /// Returns the elements that a block is expanded over, given as a list or as the name of a variable that holds one.
    fn read_elements(&self, each: &Value) -> Result<Vec<Option<Value>>, String> {
        let list = each.as_str().map_or(Some(each), |name| self.vars.get(name)).and_then(Value::as_array);
        let list = list.ok_or_else(|| {
            format!("each: expected a list or the name of a variable that holds a list, found {each}")
        })?;
        Ok(list.iter().cloned().map(Some).collect())
    }

    /// Adds a node of a block: the only one, or the one for an element at an index.
    fn add_node(
        &mut self,
        label: &str,
        line: usize,
        attributes: &Map<String, Value>,
        index: usize,
        item: Option<Value>,
    ) -> Result<(), DagFileError> {
        let name = match &item {
            None => label.to_string(),
            Some(item) => format!("{label}-{}", item.as_str().map_or_else(|| item.to_string(), String::from)),
        };
        let mut context = self.vars.clone();
        if let Some(item) = item {
            context.insert("item".into(), item);
            context.insert("index".into(), json!(index));
        }
        let (job, attributes) = self.read_node(&name, line, attributes, context)?;
        let rule = self.read_rule(&name, line, &attributes)?;
        if self.nodes.iter().any(|node| node.name == name) {
            return Err(self.source.node_error(line, &name, "another node has the same name"));
        }
        self.nodes_by_block.entry(label.into()).or_default().push(self.nodes.len() as u32);
        self.nodes.push(DagFileNode {
            name,
            line,
            job,
            attributes,
            rule,
            upstream: Vec::new(),
            map_source: None,
        });
        Ok(())
    }

    /// Renders the templates, and separates the job's attributes from the node's other attributes.
    fn read_node(
        &self,
        name: &str,
        line: usize,
        attributes: &Map<String, Value>,
        context: Map<String, Value>,
    ) -> Result<(JobEntry, NodeAttributes), DagFileError> {
        let node_error = |problem: String| {
            let line = quoted_name(&problem).map_or(line, |attribute| self.source.line_of(line, attribute));
            self.source.node_error(line, name, problem)
        };
        let rendered = render_value(
            &template_environment(),
            &Value::Object(attributes.clone()),
            &Value::Object(context),
        )
        .map_err(node_error)?;
        let rendered = rendered.as_object().cloned().unwrap_or_default();
        let (node_attributes, job): (Map<String, Value>, Map<String, Value>) =
            rendered.into_iter().partition(|(attribute, _)| NODE_ATTRIBUTES.contains(&attribute.as_str()));
        let json_error = |error: serde_json::Error| node_error(error.to_string());
        let node_attributes: NodeAttributes =
            serde_json::from_value(Value::Object(node_attributes)).map_err(json_error)?;
        let job: JobEntry = serde_json::from_value(Value::Object(job)).map_err(json_error)?;
        Ok((job, node_attributes))
    }

    fn read_rule(
        &self,
        name: &str,
        line: usize,
        attributes: &NodeAttributes,
    ) -> Result<TriggerRule, DagFileError> {
        TriggerRule::parse(&attributes.trigger_rule).ok_or_else(|| {
            let known: Vec<&str> = TriggerRule::ALL.iter().map(|rule| rule.as_str()).collect();
            let known = known.join(", ");
            self.source.node_error(
                self.source.line_of(line, "rule"),
                name,
                format!("rule: expected one of {known}, found {:?}", attributes.trigger_rule),
            )
        })
    }

    /// Resolves node names to positions, checks the graph, and returns its nodes.
    pub(crate) fn finish(mut self) -> Result<Vec<DagFileNode>, DagFileError> {
        if self.nodes.is_empty() {
            return Err(self.source.file_error("the graph has no nodes: expected at least one node block"));
        }
        let edges = self.resolve_edges()?;
        match DagTopology::new(self.nodes.len() as u32, &edges) {
            Ok(_) => Ok(self.nodes),
            Err(TopologyError::Cycle(cycle)) => Err(self.cycle_error(&cycle)),
            Err(error) => Err(self.source.file_error(error.to_string())),
        }
    }

    /// Sets the positions of the upstream nodes and map sources, and returns the edges.
    fn resolve_edges(&mut self) -> Result<Vec<(u32, u32)>, DagFileError> {
        let by_name: HashMap<String, u32> =
            self.nodes.iter().enumerate().map(|(index, node)| (node.name.clone(), index as u32)).collect();
        let mut edges = Vec::new();
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let mut upstream = Vec::new();
            for name in &node.attributes.after {
                upstream.extend(self.find_nodes(&by_name, node, "after", name)?);
            }
            let map_source = match &node.attributes.map_over {
                None => None,
                Some(name) => Some(self.find_nodes(&by_name, node, "map", name)?[0]),
            };
            // A mapped node also depends on the node whose list it runs over.
            upstream.extend(map_source);
            upstream.sort_unstable();
            upstream.dedup();
            edges.extend(upstream.iter().map(|from| (*from, index as u32)));
            self.nodes[index].upstream = upstream;
            self.nodes[index].map_source = map_source;
        }
        Ok(edges)
    }

    /// Returns the node with this name or, if there is none, all nodes of the block with this label.
    fn find_nodes(
        &self,
        by_name: &HashMap<String, u32>,
        node: &DagFileNode,
        attribute: &str,
        name: &str,
    ) -> Result<Vec<u32>, DagFileError> {
        let exact_match = by_name.get(name).map(|index| vec![*index]);
        exact_match.or_else(|| self.nodes_by_block.get(name).cloned()).ok_or_else(|| {
            let line = self.source.line_of(node.line, attribute);
            self.source.node_error(line, &node.name, format!("{attribute}: there is no node {name:?}"))
        })
    }

    fn cycle_error(&self, cycle: &[u32]) -> DagFileError {
        let first = &self.nodes[cycle[0] as usize];
        let names: Vec<&str> = cycle
            .iter()
            .chain(cycle.first())
            .map(|index| self.nodes[*index as usize].name.as_str())
            .collect();
        let problem = format!("the graph has a cycle: {}", names.join(" -> "));
        self.source.node_error(first.line, &first.name, problem)
    }
}
