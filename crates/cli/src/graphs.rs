//! Runs of graphs.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anstream::println;
use olivelatch::protocol::graphs::{DagNodeState, DagRunDetail, DagRunState, DagRunSummary};
use olivelatch_client::{Client, ClientError};
use olivelatch_dag_files::{DagFile, PreparedRun, Rerun, RunView};
use serde_json::json;

use crate::args::{Common, Graph};
use crate::commands::{print_value, progress_bar};
use crate::exit::{CommandError, NOT_SUCCESSFUL, WAIT_TIMEOUT};

const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Somebody else may have changed the run since it was looked at.
const MAX_ATTEMPTS: usize = 3;

pub fn run(common: &Common, client: &mut Client, command: &Graph) -> Result<ExitCode, CommandError> {
    match command {
        Graph::Submit { file, run, vars, wait: waits } => {
            let flow = DagFile::load(file, &parse_vars(vars)?)?;
            let prepared = flow.prepare(&file.display().to_string(), run.as_deref())?;
            submit(common, client, &prepared)?;
            if *waits {
                return wait(common, client, &prepared.run, None);
            }
        }
        Graph::Show { run, dot, svg } => {
            let detail = client.run_detail(run)?;
            print_graph(common, &detail, *dot, *svg)?;
        }
        Graph::List { graph } => list(common, client, graph.as_deref())?,
        Graph::Cancel { run } => {
            let state = client.cancel_run(run)?;
            print_value(common, &json!({"run": run, "state": state}), || format!("{run}  {state}"))?;
        }
        Graph::Retry { run, wait: waits } => {
            let again = |node: DagNodeState| {
                matches!(node, DagNodeState::Failed | DagNodeState::UpstreamFailed | DagNodeState::Cancelled)
            };
            rerun(common, client, run, &|detail| {
                let at = detail.nodes.iter().enumerate().filter(|(_, node)| again(node.state));
                Ok(at.map(|(at, _)| at as u32).collect())
            })?;
            if *waits {
                return wait(common, client, run, None);
            }
        }
        Graph::Clear { run, nodes, wait: waits } => {
            rerun(common, client, run, &|detail| {
                let find = |name: &String| {
                    let at = detail.nodes.iter().position(|node| node.name == *name);
                    at.map(|at| at as u32)
                        .ok_or_else(|| CommandError::Usage(format!("{run} has no node {name:?}")))
                };
                nodes.iter().map(find).collect()
            })?;
            if *waits {
                return wait(common, client, run, None);
            }
        }
        Graph::Wait { run, timeout } => return wait(common, client, run, *timeout),
        Graph::Check { files, vars } => {
            for file in files {
                println!("{}", check(file, &parse_vars(vars)?)?);
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn parse_vars(pairs: &[String]) -> Result<BTreeMap<String, String>, CommandError> {
    let read = |pair: &String| {
        let wrong = || CommandError::Usage(format!("--var: expected NAME=VALUE, not {pair:?}"));
        pair.split_once('=').map(|(name, value)| (name.into(), value.into())).ok_or_else(wrong)
    };
    pairs.iter().map(read).collect()
}

fn check(file: &Path, vars: &BTreeMap<String, String>) -> Result<String, CommandError> {
    let shown = file.display().to_string();
    let flow = DagFile::load(file, vars)?;
    let run = flow.prepare(&shown, None)?;
    Ok(format!(
        "{shown}: fine, graph {} with {} nodes in {} parts",
        flow.graph,
        run.header.nodes,
        run.parts.len()
    ))
}

/// Descriptions first, so that workers know them; then the parts, and the commit.
pub fn submit(common: &Common, client: &mut Client, prepared: &PreparedRun) -> Result<(), CommandError> {
    // The same run again: its jobs are known under other names, and the commit would be refused.
    match client.run_row(&prepared.run) {
        Ok(row) => return print_row(common, &row),
        Err(error) if error.status() == Some(404) => {}
        Err(error) => return Err(error.into()),
    }
    let progress = progress_bar(common, prepared.descriptions.len(), "describing");
    for (job, description) in &prepared.descriptions {
        client.upload_description(job, description)?;
        progress.inc(1);
    }
    progress.finish_and_clear();
    let state = client.submit_run(&prepared.run, &prepared.header, &prepared.parts)?;
    let (run, nodes) = (&prepared.run, prepared.header.nodes);
    print_value(
        common,
        &json!({"run": run, "graph": prepared.header.graph, "state": state, "nodes": nodes}),
        || format!("{run}  {state}  {nodes} nodes"),
    )
}

fn print_row(common: &Common, row: &DagRunSummary) -> Result<(), CommandError> {
    print_value(common, row, || format!("{}  {}  {} nodes", row.run, row.state.as_str(), row.nodes))
}

fn print_graph(common: &Common, detail: &DagRunDetail, dot: bool, svg: bool) -> Result<(), CommandError> {
    let picture = RunView::new(detail).map_err(CommandError::Other)?;
    if dot || svg {
        let drawn = if dot { picture.render_dot() } else { picture.render_svg() };
        // Written as it is: it goes into a file.
        std::println!("{}", drawn.map_err(CommandError::Other)?.trim_end());
        return Ok(());
    }
    print_value(common, detail, || picture.render_text().trim_end().to_string())
}

fn list(common: &Common, client: &mut Client, graph: Option<&str>) -> Result<(), CommandError> {
    let (mut rows, mut after) = (Vec::new(), None);
    loop {
        let page = client.runs(graph, after.as_deref())?;
        rows.extend(page.runs);
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    print_value(common, &json!({"runs": rows}), || crate::render::runs_table(&rows))
}

/// Nodes and all behind them anew, under new jobs. `which`: positions in the run as it is shown.
fn rerun(
    common: &Common,
    client: &mut Client,
    run: &str,
    which: &dyn Fn(&DagRunDetail) -> Result<Vec<u32>, CommandError>,
) -> Result<(), CommandError> {
    for left in (0..MAX_ATTEMPTS).rev() {
        let detail = client.run_detail(run)?;
        let from = which(&detail)?;
        if from.is_empty() {
            return Err(CommandError::Other(format!(
                "{run}: nothing to be done over, it is {}",
                detail.summary.state.as_str()
            )));
        }
        let redo = Rerun::new(&detail.nodes, &from).map_err(CommandError::Other)?;
        for (old, new) in &redo.jobs {
            let description = client.description(old)?;
            client.upload_description(new, &redo.description(&description, new))?;
        }
        match client.rerun_nodes(run, detail.summary.next_part, &redo.parts) {
            Ok(()) => {
                let count = redo.jobs.len();
                return print_value(common, &json!({"run": run, "nodes": count}), || {
                    format!("{run}  {count} {} done over", if count == 1 { "node is" } else { "nodes are" })
                });
            }
            Err(ClientError::Refused { status: 409, .. }) if left > 0 => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

fn wait(
    common: &Common,
    client: &mut Client,
    run: &str,
    timeout: Option<f64>,
) -> Result<ExitCode, CommandError> {
    let end = timeout.map(|seconds| Instant::now() + Duration::from_secs_f64(seconds.clamp(0.0, 1e9)));
    let mut progress = None;
    loop {
        match client.run_row(run) {
            Ok(row) => {
                let progress = progress.get_or_insert_with(|| progress_bar(common, row.nodes as usize, run));
                let open = |word: &str| ["waiting", "ready"].contains(&word);
                let over = row
                    .node_states
                    .iter()
                    .filter(|(word, _)| !open(word))
                    .map(|(_, count)| u64::from(*count))
                    .sum();
                progress.set_position(over);
                if row.state.is_terminal() {
                    progress.finish_and_clear();
                    print_row(common, &row)?;
                    let well = row.state == DagRunState::Success;
                    return Ok(if well { ExitCode::SUCCESS } else { ExitCode::from(NOT_SUCCESSFUL) });
                }
            }
            // Nobody can tell now; whoever waits wants to know later.
            Err(ClientError::NoResponse { .. }) => {}
            Err(error) if error.status() == Some(503) => {}
            Err(error) => return Err(error.into()),
        }
        if end.is_some_and(|end| Instant::now() >= end) {
            eprintln!("olivelatchctl: not over in time: {run}");
            return Ok(ExitCode::from(WAIT_TIMEOUT));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
