//! A run's graph put together from its parts, and checked.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use olivelatch_dag::{DagProgress, DagTopology, NodeIx, TopologyError, TriggerRule};

use crate::ids::{JobId, from_milli};
use crate::protocol::graphs::{DagNodeRecord, GraphPart, NodeTemplate};

/// A node, as far as it never changes but for its job when it is done over.
#[derive(Debug, Clone)]
pub struct DagNode {
    pub name: Box<str>,
    pub job: JobId,
    pub template: u32,
    pub map_source: Option<NodeIx>,
    /// Rows of nodes that it comes after: the first, and how many.
    pub upstream_ranges: Box<[(u32, u32)]>,
}

#[derive(Debug, Clone)]
pub struct Dag {
    pub nodes: Vec<DagNode>,
    pub templates: Vec<NodeTemplate>,
    /// Work on the longest path behind each node, in milliseconds.
    pub downstream_path_ms: Vec<u64>,
    pub progress: DagProgress,
}

/// Names of nodes in a message that shows a cycle.
const MAX_CYCLE_NAMES_SHOWN: usize = 12;

impl Dag {
    /// From all parts in their order; Err says what is wrong with them.
    pub fn from_parts<'a>(parts: impl Iterator<Item = &'a GraphPart>) -> Result<Dag, String> {
        let (mut templates, mut rows, mut edges) = (Vec::new(), Vec::new(), Vec::new());
        for part in parts {
            templates.extend(part.templates.iter().cloned());
            rows.extend(part.nodes.iter().cloned());
            edges.extend(part.edges.iter().copied());
        }
        check_nodes(&rows, templates.len())?;
        let after = group_edges(&edges, rows.len() as u32)?;
        let pairs = expand_edges(&edges, rows.len() as u32)?;
        let shape =
            DagTopology::new(rows.len() as u32, &pairs).map_err(|error| describe_error(&error, &rows))?;
        check_maps(&rows, &after)?;
        let nodes: Vec<DagNode> = rows
            .into_iter()
            .zip(after)
            .map(|(row, after)| DagNode {
                name: row.name.into(),
                job: JobId(row.job),
                template: row.template,
                map_source: row.mapped_from.map(NodeIx),
                upstream_ranges: after.into(),
            })
            .collect();
        Ok(Dag::new(nodes, templates, Arc::new(shape)))
    }

    fn new(nodes: Vec<DagNode>, templates: Vec<NodeTemplate>, shape: Arc<DagTopology>) -> Dag {
        let weight =
            |node: NodeIx| templates[nodes[node.index()].template as usize].manifest.estimated_run_ms();
        let downstream_path_ms = shape.downstream_path_weights(weight);
        let progress = new_progress(&nodes, &templates, shape);
        Dag { nodes, templates, downstream_path_ms, progress }
    }

    /// The same graph with nothing ended.
    pub fn reset_progress(&mut self) {
        self.progress = new_progress(&self.nodes, &self.templates, self.progress.topology().clone());
    }

    pub fn node(&self, node: NodeIx) -> &DagNode {
        &self.nodes[node.index()]
    }

    pub fn template(&self, node: NodeIx) -> &NodeTemplate {
        &self.templates[self.nodes[node.index()].template as usize]
    }

    /// All nodes that one comes after.
    pub fn upstream(&self, node: NodeIx) -> impl Iterator<Item = NodeIx> + '_ {
        self.nodes[node.index()]
            .upstream_ranges
            .iter()
            .flat_map(|(first, count)| *first..first + count)
            .map(NodeIx)
    }

    /// Nodes done over get new jobs. Err: what is wrong with the rows.
    pub fn rerun_jobs(&self, rows: &[(u32, u32, u64)]) -> Result<BTreeMap<NodeIx, JobId>, String> {
        let mut jobs = BTreeMap::new();
        for (first, count, job) in rows {
            let last = first.checked_add(*count).filter(|end| *end as usize <= self.nodes.len());
            let last = last.ok_or_else(|| format!("redo: there are no nodes {first} and {count} on"))?;
            for node in *first..last {
                let job = job.saturating_add(u64::from(node - first));
                if jobs.insert(NodeIx(node), checked_job(job)?).is_some() {
                    return Err(format!("redo: node {node} is there twice"));
                }
            }
        }
        let distinct: HashSet<JobId> = jobs.values().copied().collect();
        if jobs.is_empty() || distinct.len() < jobs.len() {
            return Err("redo: expected at least one node, and each with a job of its own".into());
        }
        let behind = self.progress.topology().downstream_closure(jobs.keys().copied());
        match behind.into_iter().find(|node| !jobs.contains_key(node)) {
            Some(node) => {
                Err(format!("redo: {} comes after what is done over and is not", self.node(node).name))
            }
            None => Ok(jobs),
        }
    }
}

fn new_progress(nodes: &[DagNode], templates: &[NodeTemplate], shape: Arc<DagTopology>) -> DagProgress {
    let rules: Arc<[TriggerRule]> =
        nodes.iter().map(|node| templates[node.template as usize].trigger_rule).collect();
    let mapped =
        nodes.iter().enumerate().filter_map(|(at, node)| Some((NodeIx(at as u32), node.map_source?)));
    DagProgress::new(shape, rules, Arc::new(mapped.collect()))
}

fn checked_job(job: u64) -> Result<JobId, String> {
    let id = JobId(job);
    if JobId::parse(&id.to_string()).is_some() { Ok(id) } else { Err(format!("{job} is no number of a job")) }
}

fn check_nodes(rows: &[DagNodeRecord], templates: usize) -> Result<(), String> {
    let mut names = HashSet::new();
    let mut jobs = HashSet::new();
    for row in rows {
        if row.name.is_empty() || row.name.len() > 100 || row.name.contains(char::is_whitespace) {
            return Err(format!("node {:?}: expected a name of 1 to 100 bytes without spaces", row.name));
        }
        if !names.insert(row.name.as_str()) {
            return Err(format!("two nodes are called {}", row.name));
        }
        if !jobs.insert(checked_job(row.job)?) {
            return Err(format!("node {}: another node has the job {}", row.name, row.job));
        }
        if row.template as usize >= templates {
            return Err(format!("node {}: there is no template {}", row.name, row.template));
        }
    }
    Ok(())
}

fn range_end(rows: u32, (to, first, count): (u32, u32, u32)) -> Result<u32, String> {
    let end = first.checked_add(count).filter(|end| *end <= rows && to < rows && count > 0);
    end.ok_or_else(|| format!("edges of node {to}: nodes {first} and {count} on are not all there"))
}

/// Edges by the node that comes after.
fn group_edges(edges: &[(u32, u32, u32)], rows: u32) -> Result<Vec<Vec<(u32, u32)>>, String> {
    let mut after = vec![Vec::new(); rows as usize];
    for edge in edges {
        range_end(rows, *edge)?;
        after[edge.0 as usize].push((edge.1, edge.2));
    }
    Ok(after)
}

/// Edges of one graph at most; a fan-in of all nodes at all nodes would be 400 million.
const MAX_EDGES: usize = 500_000;

fn expand_edges(edges: &[(u32, u32, u32)], rows: u32) -> Result<Vec<(u32, u32)>, String> {
    let all: u64 = edges.iter().map(|(_, _, count)| u64::from(*count)).sum();
    if all > MAX_EDGES as u64 {
        return Err(format!("{all} edges: a graph has {MAX_EDGES} at most"));
    }
    let mut pairs = Vec::with_capacity(all as usize);
    for edge in edges {
        let end = range_end(rows, *edge)?;
        pairs.extend((edge.1..end).map(|from| (from, edge.0)));
    }
    Ok(pairs)
}

/// A mapped node comes after the node whose list it runs over.
fn check_maps(rows: &[DagNodeRecord], after: &[Vec<(u32, u32)>]) -> Result<(), String> {
    for (row, after) in rows.iter().zip(after) {
        let Some(map) = row.mapped_from else { continue };
        if !after.iter().any(|(first, count)| (*first..first + count).contains(&map)) {
            return Err(format!(
                "node {}: it does not come after the node whose list it runs over",
                row.name
            ));
        }
    }
    Ok(())
}

fn describe_error(error: &TopologyError, rows: &[DagNodeRecord]) -> String {
    let name = |node: &u32| rows.get(*node as usize).map_or("?", |row| row.name.as_str());
    match error {
        TopologyError::Cycle(nodes) => {
            let mut names: Vec<&str> = nodes.iter().take(MAX_CYCLE_NAMES_SHOWN).map(name).collect();
            if nodes.len() > MAX_CYCLE_NAMES_SHOWN {
                names.push("...");
            }
            names.extend(nodes.first().map(name));
            format!("nodes wait for one another in a circle: {}", names.join(" -> "))
        }
        TopologyError::DuplicateEdge { from, to } => {
            format!("node {} comes after {} twice", name(to), name(from))
        }
        TopologyError::NoSuchNode { .. } => error.to_string(),
    }
}

/// How far a node's aim is shown: seconds of work behind it.
pub fn downstream_path_s(flow: &Dag, node: NodeIx) -> f64 {
    from_milli(flow.downstream_path_ms[node.index()])
}

/// The pools that nodes name.
pub fn pool_names(flow: &Dag) -> BTreeSet<&str> {
    flow.templates.iter().filter_map(|template| template.pool.as_deref()).collect()
}

#[cfg(test)]
#[path = "tests/dag.rs"]
mod tests;
