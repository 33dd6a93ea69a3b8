//! Renders lists of graph runs.

use anstyle::AnsiColor;
use comfy_table::{Cell, CellAlignment};
use olivelatch::protocol::graphs::{DagRunState, DagRunSummary};

use super::{age_text, new_table, paint};

fn run_colour(state: DagRunState) -> AnsiColor {
    match state {
        DagRunState::Success => AnsiColor::Green,
        DagRunState::Failed | DagRunState::Cancelled => AnsiColor::Red,
        DagRunState::Running => AnsiColor::Cyan,
        DagRunState::Waiting | DagRunState::Cancelling => AnsiColor::Yellow,
    }
}

/// Renders a list of runs, one per line.
pub fn runs_table(rows: &[DagRunSummary]) -> String {
    let mut table = new_table(&["RUN", "GRAPH", "STATE", "NODES", "OF THEM", "ACCEPTED"]);
    for row in rows {
        let states: Vec<String> =
            row.node_states.iter().map(|(state, count)| format!("{count} {state}")).collect();
        table.add_row(vec![
            Cell::new(&row.run),
            Cell::new(&row.graph),
            Cell::new(row.state.as_str()),
            Cell::new(row.nodes).set_alignment(CellAlignment::Right),
            Cell::new(states.join(", ")),
            Cell::new(age_text(Some(row.accepted_ms))),
        ]);
    }
    let text = table.to_string();
    let (header, body) = text.split_once('\n').unwrap_or((&text, ""));
    let mut lines = vec![header.to_string()];
    lines.extend(body.lines().zip(rows).map(|(line, row)| paint_state(line, row.state)));
    lines.join("\n")
}

/// Colours the state after the table is laid out, as colour codes in a cell would widen its column.
fn paint_state(line: &str, state: DagRunState) -> String {
    let word = state.as_str();
    line.replacen(&format!(" {word} "), &format!(" {} ", paint(word, run_colour(state))), 1)
}
