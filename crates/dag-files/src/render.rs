//! Renders a run as text for a terminal, as DOT for other tools, or as SVG for a browser. DOT and SVG use templates.

use minijinja::{Environment, context};
use olivelatch::protocol::graphs::{DagNodeState, DagNodeView, DagRunDetail};
use olivelatch_dag::{DagTopology, NodeIx, TopologyError};
use serde::Serialize;
use thiserror::Error;

use crate::prepare::topology_from_views;

/// Maximum number of nodes drawn in DOT and SVG output.
const MAX_DRAWN_NODES: usize = 2_000;
/// Maximum number of nodes listed in text output.
const MAX_LISTED_NODES: usize = 200;

const DOT: &str = r##"digraph "{{ run }}" {
  rankdir = LR
  node [shape = box, style = filled, fontname = "sans-serif"]
{%- for node in nodes %}
  n{{ node.at }} [label = "{{ node.name }}\n{{ node.state }}", fillcolor = "{{ node.colour }}"{% if node.critical %}, penwidth = 3{% endif %}]
{%- endfor %}
{%- for edge in edges %}
  n{{ edge[0] }} -> n{{ edge[1] }}
{%- endfor %}
}
"##;

const SVG: &str = r##"<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {{ width }} {{ height }}" font-family="sans-serif" font-size="12">
<title>{{ run | e }}: {{ state }}</title>
{%- for line in lines %}
<path d="M {{ line[0] }} {{ line[1] }} C {{ line[0] + 30 }} {{ line[1] }} {{ line[2] - 30 }} {{ line[3] }} {{ line[2] }} {{ line[3] }}" fill="none" stroke="#888"/>
{%- endfor %}
{%- for node in nodes %}
<g><title>{{ node.name | e }}: {{ node.state }}, {{ node.tasks }}</title>
<rect x="{{ node.x }}" y="{{ node.y }}" width="{{ box_width }}" height="{{ box_height }}" rx="4" fill="{{ node.colour }}" stroke="{% if node.critical %}#000{% else %}#888{% endif %}" stroke-width="{% if node.critical %}2{% else %}1{% endif %}"/>
<text x="{{ node.x + 8 }}" y="{{ node.y + 15 }}">{{ node.short | e }}</text>
<text x="{{ node.x + 8 }}" y="{{ node.y + 30 }}" fill="#444">{{ node.state }}</text></g>
{%- endfor %}
</svg>
"##;

// Lengths in SVG output, in SVG user units.
const BOX_WIDTH: usize = 150;
const BOX_HEIGHT: usize = 38;
const GAP_X: usize = 60;
const GAP_Y: usize = 12;
const MARGIN: usize = 10;
/// Maximum number of characters of a name that fit into a box.
const MAX_NAME_CHARS: usize = 20;

/// An error in rendering a DOT or SVG template.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct RenderError(#[from] minijinja::Error);

/// A run with all its nodes, arranged in layers.
pub struct RunView<'a> {
    detail: &'a DagRunDetail,
    topology: DagTopology,
    layers: Vec<u32>,
    /// Positions of the nodes on the critical path, first to last.
    critical_path: Vec<u32>,
}

#[derive(Serialize)]
struct DrawnNode<'a> {
    #[serde(rename = "at")]
    index: usize,
    name: &'a str,
    short: String,
    state: &'static str,
    tasks: String,
    colour: &'static str,
    critical: bool,
    x: usize,
    y: usize,
}

fn state_colour(state: DagNodeState) -> &'static str {
    match state {
        DagNodeState::Waiting => "#f2f2f2",
        DagNodeState::Ready => "#fff3c4",
        DagNodeState::Running => "#bfe3ff",
        DagNodeState::UpForRetry => "#ffd9a0",
        DagNodeState::Success => "#c8ecc8",
        DagNodeState::Failed => "#f5b5b5",
        DagNodeState::UpstreamFailed => "#f3d0c0",
        DagNodeState::Skipped => "#e3d5ee",
        DagNodeState::Cancelled => "#d0d0d0",
    }
}

fn state_symbol(state: DagNodeState) -> char {
    match state {
        DagNodeState::Waiting => '.',
        DagNodeState::Ready => 'o',
        DagNodeState::Running => '>',
        DagNodeState::UpForRetry => '~',
        DagNodeState::Success => '+',
        DagNodeState::Failed => 'x',
        DagNodeState::UpstreamFailed => '!',
        DagNodeState::Skipped => '-',
        DagNodeState::Cancelled => '/',
    }
}

fn tasks_text(node: &DagNodeView) -> String {
    match node.tasks {
        Some(tasks) => format!("{} of {tasks} done", node.done),
        None => "one task per list element".into(),
    }
}

/// Returns the longest path through the graph by estimated run time, as node positions from first to last.
pub fn critical_path(nodes: &[DagNodeView], topology: &DagTopology) -> Vec<u32> {
    let path_s = |index: usize| nodes[index].estimated_run_s + nodes[index].downstream_path_s;
    let longest =
        |nodes: &mut dyn Iterator<Item = usize>| nodes.max_by(|a, b| path_s(*a).total_cmp(&path_s(*b)));
    let mut roots = (0..nodes.len()).filter(|index| topology.in_degree(NodeIx(*index as u32)) == 0);
    let mut path = Vec::new();
    let mut next = longest(&mut roots);
    while let Some(index) = next {
        path.push(index as u32);
        next = longest(&mut topology.downstream(NodeIx(index as u32)).map(NodeIx::index));
    }
    path
}

fn short_name(name: &str) -> String {
    if name.chars().count() > MAX_NAME_CHARS {
        name.chars().take(MAX_NAME_CHARS - 1).chain(['…']).collect()
    } else {
        name.into()
    }
}

impl<'a> RunView<'a> {
    /// Creates a view of a run; `detail` has to hold every node of the run.
    ///
    /// # Errors
    /// The edges of the nodes do not form a valid graph.
    pub fn new(detail: &'a DagRunDetail) -> Result<RunView<'a>, TopologyError> {
        let topology = topology_from_views(&detail.nodes)?;
        let layers = topology.layers();
        let critical_path = critical_path(&detail.nodes, &topology);
        Ok(RunView { detail, topology, layers, critical_path })
    }

    /// Renders the run as text, layer by layer. If there are too many nodes, those that need attention take precedence.
    pub fn render_text(&self) -> String {
        let mut text = self.summary_line();
        let listed = self.listed_nodes();
        let name_width = listed.iter().map(|index| self.detail.nodes[*index].name.len()).max().unwrap_or(0);
        let mut layer = None;
        for index in listed {
            if layer != Some(self.layers[index]) {
                layer = Some(self.layers[index]);
                text.push_str(&format!("layer {}\n", self.layers[index]));
            }
            self.write_node_line(&mut text, index, name_width);
        }
        let omitted = self.detail.nodes.len().saturating_sub(MAX_LISTED_NODES);
        if omitted > 0 {
            text.push_str(&format!("{omitted} more nodes are not shown: use --json to list all nodes\n"));
        }
        text.push_str(&self.critical_path_text());
        text
    }

    fn summary_line(&self) -> String {
        let summary = &self.detail.summary;
        let counts: Vec<String> =
            summary.node_states.iter().map(|(state, count)| format!("{count} {state}")).collect();
        format!(
            "{}  of graph {}: {}  ({} nodes: {})\n",
            summary.run,
            summary.graph,
            summary.state.as_str(),
            summary.nodes,
            counts.join(", ")
        )
    }

    /// Returns the nodes to list as text, ordered by layer.
    fn listed_nodes(&self) -> Vec<usize> {
        let mut listed: Vec<usize> = (0..self.detail.nodes.len()).collect();
        if listed.len() > MAX_LISTED_NODES {
            listed.sort_by_key(|index| (self.is_unremarkable(*index), *index));
            listed.truncate(MAX_LISTED_NODES);
        }
        listed.sort_by_key(|index| (self.layers[*index], *index));
        listed
    }

    /// Returns whether the node is among the first to be omitted when there are too many nodes to list.
    fn is_unremarkable(&self, index: usize) -> bool {
        matches!(
            self.detail.nodes[index].state,
            DagNodeState::Success | DagNodeState::Waiting | DagNodeState::Ready
        ) && !self.is_critical(index)
    }

    fn is_critical(&self, index: usize) -> bool {
        self.critical_path.contains(&(index as u32))
    }

    fn write_node_line(&self, text: &mut String, index: usize, name_width: usize) {
        let node = &self.detail.nodes[index];
        let rule = if node.upstream.is_empty() {
            String::new()
        } else {
            format!("  {}", node.trigger_rule.as_str())
        };
        let attempt =
            node.published_attempt.map_or(String::new(), |attempt| format!("  output of attempt {attempt}"));
        text.push_str(&format!(
            "  {} {:name_width$}  {:15}  {}  {}{rule}{attempt}\n",
            state_symbol(node.state),
            node.name,
            node.state.as_str(),
            node.job,
            tasks_text(node),
        ));
        for attempt in &node.failed_attempts {
            let failure = &attempt.failure;
            text.push_str(&format!(
                "      task {} attempt {} on {}: {}\n",
                attempt.task, failure.attempt, failure.machine, failure.cause
            ));
        }
    }

    fn critical_path_text(&self) -> String {
        if self.critical_path.is_empty() {
            return String::new();
        }
        let nodes = self.critical_path.iter().map(|index| &self.detail.nodes[*index as usize]);
        let total_s: f64 = nodes.clone().map(|node| node.estimated_run_s).sum();
        let names: Vec<String> =
            nodes.map(|node| format!("{} {} s", node.name, node.estimated_run_s)).collect();
        format!("critical path: {} ({total_s} s)\n", names.join(" -> "))
    }

    fn layout_nodes(&self) -> Vec<DrawnNode<'a>> {
        let mut row_counts = vec![0; self.layers.iter().max().map_or(0, |last| *last as usize + 1)];
        let draw = |(index, node): (usize, &'a DagNodeView)| {
            let layer = self.layers[index] as usize;
            let row: usize = row_counts[layer];
            row_counts[layer] += 1;
            DrawnNode {
                index,
                name: &node.name,
                short: short_name(&node.name),
                state: node.state.as_str(),
                tasks: tasks_text(node),
                colour: state_colour(node.state),
                critical: self.is_critical(index),
                x: MARGIN + layer * (BOX_WIDTH + GAP_X),
                y: MARGIN + row * (BOX_HEIGHT + GAP_Y),
            }
        };
        self.detail.nodes.iter().take(MAX_DRAWN_NODES).enumerate().map(draw).collect()
    }

    /// Returns the edges between the first `drawn` nodes.
    fn visible_edges(&self, drawn: usize) -> Vec<(usize, usize)> {
        let edges = (0..drawn)
            .flat_map(|from| self.topology.downstream(NodeIx(from as u32)).map(move |to| (from, to.index())));
        edges.filter(|(_, to)| *to < drawn).collect()
    }

    /// Renders the run in DOT, the language of Graphviz.
    ///
    /// # Errors
    /// The template cannot be rendered, which is a bug in this crate.
    pub fn render_dot(&self) -> Result<String, RenderError> {
        let nodes = self.layout_nodes();
        let edges = self.visible_edges(nodes.len());
        let run = &self.detail.summary.run;
        let environment = Environment::new();
        Ok(environment.render_str(DOT, context! { run, nodes, edges })?)
    }

    /// Renders the run as SVG.
    ///
    /// # Errors
    /// The template cannot be rendered, which is a bug in this crate.
    pub fn render_svg(&self) -> Result<String, RenderError> {
        let nodes = self.layout_nodes();
        let line = |(from, to): (usize, usize)| {
            let (from, to) = (&nodes[from], &nodes[to]);
            let half = BOX_HEIGHT / 2;
            [from.x + BOX_WIDTH, from.y + half, to.x, to.y + half]
        };
        let lines: Vec<[usize; 4]> = self.visible_edges(nodes.len()).into_iter().map(line).collect();
        let width = nodes.iter().map(|node| node.x).max().unwrap_or(0) + BOX_WIDTH + MARGIN;
        let height = nodes.iter().map(|node| node.y).max().unwrap_or(0) + BOX_HEIGHT + MARGIN;
        let (run, state) = (&self.detail.summary.run, self.detail.summary.state.as_str());
        let environment = Environment::new();
        let (box_width, box_height) = (BOX_WIDTH, BOX_HEIGHT);
        let context = context! { run, state, nodes, lines, width, height, box_width, box_height };
        Ok(environment.render_str(SVG, context)?)
    }
}

#[cfg(test)]
#[path = "tests/render.rs"]
mod tests;
