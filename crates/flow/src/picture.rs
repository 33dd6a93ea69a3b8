//! A run as a picture: text for a terminal, DOT for other tools, SVG for a browser. The last two are templates.

use minijinja::{Environment, context};
use olivelatch::protocol::graphs::{NodeView, NodeWord, RunDetail};
use olivelatch_graph::{NodeIx, Shape};
use serde::Serialize;

use crate::prepare::shape_of;

/// Nodes drawn in a picture, and listed as text.
const MOST_DRAWN: usize = 2_000;
const MOST_LISTED: usize = 200;

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
pub struct Picture<'a> {
    detail: &'a RunDetail,
    shape: Shape,
    layers: Vec<u32>,
    critical: Vec<u32>,
}

#[derive(Serialize)]
struct Drawn<'a> {
    at: usize,
    name: &'a str,
    short: String,
    state: &'static str,
    tasks: String,
    colour: &'static str,
    critical: bool,
    x: usize,
    y: usize,
}

fn colour(state: NodeWord) -> &'static str {
    match state {
        NodeWord::Waiting => "#f2f2f2",
        NodeWord::Ready => "#fff3c4",
        NodeWord::Running => "#bfe3ff",
        NodeWord::UpForRetry => "#ffd9a0",
        NodeWord::Success => "#c8ecc8",
        NodeWord::Failed => "#f5b5b5",
        NodeWord::UpstreamFailed => "#f3d0c0",
        NodeWord::Skipped => "#e3d5ee",
        NodeWord::Cancelled => "#d0d0d0",
    }
}

fn mark(state: NodeWord) -> char {
    match state {
        NodeWord::Waiting => '.',
        NodeWord::Ready => 'o',
        NodeWord::Running => '>',
        NodeWord::UpForRetry => '~',
        NodeWord::Success => '+',
        NodeWord::Failed => 'x',
        NodeWord::UpstreamFailed => '!',
        NodeWord::Skipped => '-',
        NodeWord::Cancelled => '/',
    }
}

fn tasks(node: &NodeView) -> String {
    match node.tasks {
        Some(tasks) => format!("{} of {tasks} done", node.done),
        None => "as many as its list has".into(),
    }
}

/// The longest way through the graph by estimated run times: positions, first to last.
pub fn critical_path(nodes: &[NodeView], shape: &Shape) -> Vec<u32> {
    let total = |at: usize| nodes[at].guess_s + nodes[at].ahead_s;
    let longest = |of: &mut dyn Iterator<Item = usize>| of.max_by(|a, b| total(*a).total_cmp(&total(*b)));
    let mut first = (0..nodes.len()).filter(|at| shape.upstream(NodeIx(*at as u32)) == 0);
    let mut path = Vec::new();
    let mut next = longest(&mut first);
    while let Some(at) = next {
        path.push(at as u32);
        next = longest(&mut shape.down(NodeIx(at as u32)).map(NodeIx::at));
    }
    path
}

impl<'a> Picture<'a> {
    /// `detail` holds every node of the run.
    pub fn new(detail: &'a RunDetail) -> Result<Picture<'a>, String> {
        let shape = shape_of(&detail.nodes)?;
        let layers = shape.layers();
        let critical = critical_path(&detail.nodes, &shape);
        Ok(Picture { detail, shape, layers, critical })
    }

    /// Layer by layer, what did not go well first where there are many.
    pub fn text(&self) -> String {
        let row = &self.detail.row;
        let counts: Vec<String> =
            row.states.iter().map(|(state, count)| format!("{count} {state}")).collect();
        let mut text = format!(
            "{}  of graph {}: {}  ({} nodes: {})\n",
            row.run,
            row.graph,
            row.state.word(),
            row.nodes,
            counts.join(", ")
        );
        let mut order: Vec<usize> = (0..self.detail.nodes.len()).collect();
        if order.len() > MOST_LISTED {
            order.sort_by_key(|at| (self.plain(*at), *at));
            order.truncate(MOST_LISTED);
        }
        order.sort_by_key(|at| (self.layers[*at], *at));
        let widest = order.iter().map(|at| self.detail.nodes[*at].name.len()).max().unwrap_or(0);
        let mut layer = None;
        for at in order {
            if layer != Some(self.layers[at]) {
                layer = Some(self.layers[at]);
                text.push_str(&format!("layer {}\n", self.layers[at]));
            }
            self.line(&mut text, at, widest);
        }
        let left = self.detail.nodes.len().saturating_sub(MOST_LISTED);
        if left > 0 {
            text.push_str(&format!("and {left} more, all alike: --json lists them\n"));
        }
        text.push_str(&self.path());
        text
    }

    /// Nodes that are listed last when there are too many.
    fn plain(&self, at: usize) -> bool {
        matches!(self.detail.nodes[at].state, NodeWord::Success | NodeWord::Waiting | NodeWord::Ready)
            && !self.critical.contains(&(at as u32))
    }

    fn line(&self, text: &mut String, at: usize, widest: usize) {
        let node = &self.detail.nodes[at];
        let rule = if node.after.is_empty() { String::new() } else { format!("  {}", node.rule.word()) };
        let attempt = node.attempt.map_or(String::new(), |attempt| format!("  output of attempt {attempt}"));
        text.push_str(&format!(
            "  {} {:widest$}  {:15}  {}  {}{rule}{attempt}\n",
            mark(node.state),
            node.name,
            node.state.word(),
            node.job,
            tasks(node),
        ));
        for one in &node.evidence {
            let failure = &one.failure;
            text.push_str(&format!(
                "      task {} attempt {} on {}: {}\n",
                one.task, failure.attempt, failure.machine, failure.cause
            ));
        }
    }

    fn path(&self) -> String {
        let names: Vec<String> = self
            .critical
            .iter()
            .map(|at| &self.detail.nodes[*at as usize])
            .map(|node| format!("{} {} s", node.name, node.guess_s))
            .collect();
        let all: f64 = self.critical.iter().map(|at| self.detail.nodes[*at as usize].guess_s).sum();
        if names.is_empty() {
            String::new()
        } else {
            format!("critical path: {} ({all} s)\n", names.join(" -> "))
        }
    }

    fn drawn(&self) -> Vec<Drawn<'a>> {
        let mut rows = vec![0; self.layers.iter().max().map_or(0, |most| *most as usize + 1)];
        let one = |(at, node): (usize, &'a NodeView)| {
            let layer = self.layers[at] as usize;
            let row: &mut usize = &mut rows[layer];
            *row += 1;
            Drawn {
                at,
                name: &node.name,
                short: if node.name.chars().count() > 20 {
                    node.name.chars().take(19).chain(['…']).collect()
                } else {
                    node.name.clone()
                },
                state: node.state.word(),
                tasks: tasks(node),
                colour: colour(node.state),
                critical: self.critical.contains(&(at as u32)),
                x: 10 + layer * (BOX_WIDTH + GAP_X),
                y: 10 + (*row - 1) * (BOX_HEIGHT + GAP_Y),
            }
        };
        self.detail.nodes.iter().take(MOST_DRAWN).enumerate().map(one).collect()
    }

    fn edges(&self, drawn: usize) -> Vec<(usize, usize)> {
        let all =
            (0..drawn).flat_map(|at| self.shape.down(NodeIx(at as u32)).map(move |next| (at, next.at())));
        all.filter(|(_, next)| *next < drawn).collect()
    }

    pub fn dot(&self) -> Result<String, String> {
        let nodes = self.drawn();
        let edges = self.edges(nodes.len());
        let run = &self.detail.row.run;
        let environment = Environment::new();
        environment.render_str(DOT, context! { run, nodes, edges }).map_err(|error| error.to_string())
    }

    pub fn svg(&self) -> Result<String, String> {
        let nodes = self.drawn();
        let line = |(from, to): (usize, usize)| {
            let (from, to) = (&nodes[from], &nodes[to]);
            let half = BOX_HEIGHT / 2;
            [from.x + BOX_WIDTH, from.y + half, to.x, to.y + half]
        };
        let lines: Vec<[usize; 4]> = self.edges(nodes.len()).into_iter().map(line).collect();
        let width = nodes.iter().map(|node| node.x).max().unwrap_or(0) + BOX_WIDTH + 10;
        let height = nodes.iter().map(|node| node.y).max().unwrap_or(0) + BOX_HEIGHT + 10;
        let (run, state) = (&self.detail.row.run, self.detail.row.state.word());
        let environment = Environment::new();
        let (box_width, box_height) = (BOX_WIDTH, BOX_HEIGHT);
        let all = context! { run, state, nodes, lines, width, height, box_width, box_height };
        environment.render_str(SVG, all).map_err(|error| error.to_string())
    }
}

#[cfg(test)]
#[path = "tests/picture.rs"]
mod tests;
