//! Builds the nodes of a graph: blocks are expanded over their elements, templates are filled in, and names of nodes become
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

/// The nodes that were read so far.
pub(crate) struct DagBuilder<'a> {
    source: SourceText<'a>,
    vars: Map<String, Value>,
    defaults: Map<String, Value>,
    nodes: Vec<DagFileNode>,
    /// Nodes by the label of their block: one, or one for each element.
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

    /// Reads one block. `blocks_by_label` counts the blocks of each label, which may not be repeated.
    pub(crate) fn read_block(
        &mut self,
        block: &Block,
        blocks_by_label: &mut HashMap<String, usize>,
    ) -> Result<(), DagFileError> {
        let labels = block.labels();
        let [label] = labels else {
            return Err(self.source.file_error("expected node \"NAME\" { ... }"));
        };
        let label = label.as_str().to_string();
        let nth = blocks_by_label.entry(label.clone()).or_default();
        let line = self.source.line_of_block(&label, *nth);
        *nth += 1;
        if *nth > 1 {
            return Err(self.source.node_error(line, &label, "another node has that name"));
        }
        let own =
            read_attributes(block.body()).map_err(|problem| self.source.node_error(line, &label, problem))?;
        let mut attributes = self.defaults.clone();
        attributes.extend(own);
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

    /// The elements that a node is repeated for: a list, or the name of a variable that is one.
    fn read_elements(&self, each: &Value) -> Result<Vec<Option<Value>>, String> {
        let list = each.as_str().map_or(Some(each), |name| self.vars.get(name)).and_then(Value::as_array);
        let list = list.ok_or_else(|| {
            format!("each: expected a list or the name of a variable that is one, not {each}")
        })?;
        Ok(list.iter().cloned().map(Some).collect())
    }

    /// Adds a node of a block: the only one, or that of an element.
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
            return Err(self.source.node_error(line, &name, "another node has that name"));
        }
        self.nodes_by_block.entry(label.into()).or_default().push(self.nodes.len() as u32);
        self.nodes.push(DagFileNode { name, line, job, attributes, rule, after: Vec::new(), map: None });
        Ok(())
    }

    /// Fills in the templates, and divides the attributes into the job's and the node's own.
    fn read_node(
        &self,
        name: &str,
        line: usize,
        attributes: &Map<String, Value>,
        context: Map<String, Value>,
    ) -> Result<(JobEntry, NodeAttributes), DagFileError> {
        let node_error = |problem: String| {
            let line = quoted_name(&problem).map_or(line, |word| self.source.line_of(line, word));
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
            rendered.into_iter().partition(|(word, _)| NODE_ATTRIBUTES.contains(&word.as_str()));
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
                format!("rule: expected one of {known}, not {:?}", attributes.trigger_rule),
            )
        })
    }

    /// All nodes, with the names of other nodes as positions.
    pub(crate) fn finish(mut self) -> Result<Vec<DagFileNode>, DagFileError> {
        if self.nodes.is_empty() {
            return Err(self.source.file_error("no nodes"));
        }
        let edges = self.resolve_edges()?;
        match DagTopology::new(self.nodes.len() as u32, &edges) {
            Ok(_) => Ok(self.nodes),
            Err(TopologyError::Cycle(cycle)) => Err(self.cycle_error(&cycle)),
            Err(error) => Err(self.source.file_error(error.to_string())),
        }
    }

    /// Sets the positions of upstream nodes, and returns the edges.
    fn resolve_edges(&mut self) -> Result<Vec<(u32, u32)>, DagFileError> {
        let by_name: HashMap<String, u32> =
            self.nodes.iter().enumerate().map(|(index, node)| (node.name.clone(), index as u32)).collect();
        let mut edges = Vec::new();
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let mut after = Vec::new();
            for name in &node.attributes.after {
                after.extend(self.find_nodes(&by_name, node, "after", name)?);
            }
            let map = match &node.attributes.map_over {
                None => None,
                Some(name) => Some(self.find_nodes(&by_name, node, "map", name)?[0]),
            };
            // A node also comes after the one over whose list it runs.
            after.extend(map);
            after.sort_unstable();
            after.dedup();
            edges.extend(after.iter().map(|upstream| (*upstream, index as u32)));
            self.nodes[index].after = after;
            self.nodes[index].map = map;
        }
        Ok(edges)
    }

    /// The node of a name, or all nodes of the block of that label.
    fn find_nodes(
        &self,
        by_name: &HashMap<String, u32>,
        node: &DagFileNode,
        attribute: &str,
        name: &str,
    ) -> Result<Vec<u32>, DagFileError> {
        let single = by_name.get(name).map(|index| vec![*index]);
        single.or_else(|| self.nodes_by_block.get(name).cloned()).ok_or_else(|| {
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
        let problem = format!("nodes wait for one another in a circle: {}", names.join(" -> "));
        self.source.node_error(first.line, &first.name, problem)
    }
}
