//! A run as a picture: text for a terminal, DOT for other tools, SVG for a browser. The last two are templates.

use minijinja::{Environment, context};
use olivelatch::protocol::graphs::{DagNodeState, DagNodeView, DagRunDetail};
use olivelatch_dag::{DagTopology, NodeIx};
use serde::Serialize;

use crate::prepare::graph_shape;

/// Nodes drawn in a picture, and listed as text.
const MAX_DRAWN_NODES: usize = 2_000;
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

const BOX_WIDTH: usize = 150;
const BOX_HEIGHT: usize = 38;
const GAP_X: usize = 60;
const GAP_Y: usize = 12;

/// All nodes of a run as they were shown.
pub struct RunView<'a> {
    detail: &'a DagRunDetail,
    shape: DagTopology,
    layers: Vec<u32>,
    critical: Vec<u32>,
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

fn tasks(node: &DagNodeView) -> String {
    match node.tasks {
        Some(tasks) => format!("{} of {tasks} done", node.done),
        None => "as many as its list has".into(),
    }
}

/// The longest way through the graph by estimated run times: positions, first to last.
pub fn critical_path(nodes: &[DagNodeView], shape: &DagTopology) -> Vec<u32> {
    let total = |at: usize| nodes[at].estimated_run_s + nodes[at].downstream_path_s;
    let longest = |of: &mut dyn Iterator<Item = usize>| of.max_by(|a, b| total(*a).total_cmp(&total(*b)));
    let mut first = (0..nodes.len()).filter(|at| shape.in_degree(NodeIx(*at as u32)) == 0);
    let mut path = Vec::new();
    let mut next = longest(&mut first);
    while let Some(at) = next {
        path.push(at as u32);
        next = longest(&mut shape.downstream(NodeIx(at as u32)).map(NodeIx::index));
    }
    path
}

impl<'a> RunView<'a> {
    /// `detail` holds every node of the run.
    pub fn new(detail: &'a DagRunDetail) -> Result<RunView<'a>, String> {
        let shape = graph_shape(&detail.nodes)?;
        let layers = shape.layers();
        let critical = critical_path(&detail.nodes, &shape);
        Ok(RunView { detail, shape, layers, critical })
    }

    /// Layer by layer, what did not go well first where there are many.
    pub fn render_text(&self) -> String {
        let row = &self.detail.summary;
        let counts: Vec<String> =
            row.node_states.iter().map(|(state, count)| format!("{count} {state}")).collect();
        let mut text = format!(
            "{}  of graph {}: {}  ({} nodes: {})\n",
            row.run,
            row.graph,
            row.state.as_str(),
            row.nodes,
            counts.join(", ")
        );
        let mut order: Vec<usize> = (0..self.detail.nodes.len()).collect();
        if order.len() > MAX_LISTED_NODES {
            order.sort_by_key(|at| (self.is_unremarkable(*at), *at));
            order.truncate(MAX_LISTED_NODES);
        }
        order.sort_by_key(|at| (self.layers[*at], *at));
        let widest = order.iter().map(|at| self.detail.nodes[*at].name.len()).max().unwrap_or(0);
        let mut layer = None;
        for at in order {
            if layer != Some(self.layers[at]) {
                layer = Some(self.layers[at]);
                text.push_str(&format!("layer {}\n", self.layers[at]));
            }
            self.write_node_line(&mut text, at, widest);
        }
        let left = self.detail.nodes.len().saturating_sub(MAX_LISTED_NODES);
        if left > 0 {
            text.push_str(&format!("and {left} more, all alike: --json lists them\n"));
        }
        text.push_str(&self.critical_path_text());
        text
    }

    /// Nodes that are listed last when there are too many.
    fn is_unremarkable(&self, at: usize) -> bool {
        matches!(
            self.detail.nodes[at].state,
            DagNodeState::Success | DagNodeState::Waiting | DagNodeState::Ready
        ) && !self.critical.contains(&(at as u32))
    }

    fn write_node_line(&self, text: &mut String, at: usize, widest: usize) {
        let node = &self.detail.nodes[at];
        let rule = if node.upstream.is_empty() {
            String::new()
        } else {
            format!("  {}", node.trigger_rule.as_str())
        };
        let attempt =
            node.published_attempt.map_or(String::new(), |attempt| format!("  output of attempt {attempt}"));
        text.push_str(&format!(
            "  {} {:widest$}  {:15}  {}  {}{rule}{attempt}\n",
            state_symbol(node.state),
            node.name,
            node.state.as_str(),
            node.job,
            tasks(node),
        ));
        for one in &node.failed_attempts {
            let failure = &one.failure;
            text.push_str(&format!(
                "      task {} attempt {} on {}: {}\n",
                one.task, failure.attempt, failure.machine, failure.cause
            ));
        }
    }

    fn critical_path_text(&self) -> String {
        let names: Vec<String> = self
            .critical
            .iter()
            .map(|at| &self.detail.nodes[*at as usize])
            .map(|node| format!("{} {} s", node.name, node.estimated_run_s))
            .collect();
        let all: f64 = self.critical.iter().map(|at| self.detail.nodes[*at as usize].estimated_run_s).sum();
        if names.is_empty() {
            String::new()
        } else {
            format!("critical path: {} ({all} s)\n", names.join(" -> "))
        }
    }

    fn layout_nodes(&self) -> Vec<DrawnNode<'a>> {
        let mut rows = vec![0; self.layers.iter().max().map_or(0, |most| *most as usize + 1)];
        let one = |(at, node): (usize, &'a DagNodeView)| {
            let layer = self.layers[at] as usize;
            let row: &mut usize = &mut rows[layer];
            *row += 1;
            DrawnNode {
                index: at,
                name: &node.name,
                short: if node.name.chars().count() > 20 {
                    node.name.chars().take(19).chain(['…']).collect()
                } else {
                    node.name.clone()
                },
                state: node.state.as_str(),
                tasks: tasks(node),
                colour: state_colour(node.state),
                critical: self.critical.contains(&(at as u32)),
                x: 10 + layer * (BOX_WIDTH + GAP_X),
                y: 10 + (*row - 1) * (BOX_HEIGHT + GAP_Y),
            }
        };
        self.detail.nodes.iter().take(MAX_DRAWN_NODES).enumerate().map(one).collect()
    }

    fn visible_edges(&self, drawn: usize) -> Vec<(usize, usize)> {
        let all = (0..drawn)
            .flat_map(|at| self.shape.downstream(NodeIx(at as u32)).map(move |next| (at, next.index())));
        all.filter(|(_, next)| *next < drawn).collect()
    }

    pub fn render_dot(&self) -> Result<String, String> {
        let nodes = self.layout_nodes();
        let edges = self.visible_edges(nodes.len());
        let run = &self.detail.summary.run;
        let environment = Environment::new();
        environment.render_str(DOT, context! { run, nodes, edges }).map_err(|error| error.to_string())
    }

    pub fn render_svg(&self) -> Result<String, String> {
        let nodes = self.layout_nodes();
        let line = |(from, to): (usize, usize)| {
            let (from, to) = (&nodes[from], &nodes[to]);
            let half = BOX_HEIGHT / 2;
            [from.x + BOX_WIDTH, from.y + half, to.x, to.y + half]
        };
        let lines: Vec<[usize; 4]> = self.visible_edges(nodes.len()).into_iter().map(line).collect();
        let width = nodes.iter().map(|node| node.x).max().unwrap_or(0) + BOX_WIDTH + 10;
        let height = nodes.iter().map(|node| node.y).max().unwrap_or(0) + BOX_HEIGHT + 10;
        let (run, state) = (&self.detail.summary.run, self.detail.summary.state.as_str());
        let environment = Environment::new();
        let (box_width, box_height) = (BOX_WIDTH, BOX_HEIGHT);
        let all = context! { run, state, nodes, lines, width, height, box_width, box_height };
        environment.render_str(SVG, all).map_err(|error| error.to_string())
    }
}

#[cfg(test)]
#[path = "tests/render.rs"]
mod tests;
