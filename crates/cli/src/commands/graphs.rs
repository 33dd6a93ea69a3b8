//! `olivelatchctl graph`: commands about runs of graphs.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;

use anstream::println;
use olivelatch::protocol::graphs::{DagNodeState, DagRunDetail, DagRunState, DagRunSummary};
use olivelatch_client::{Client, ClientError};
use olivelatch_dag_files::{DagFile, PreparedRun, Rerun, RunView};
use serde_json::json;

use super::wait::{POLL_INTERVAL, WaitDeadline};
use crate::args::{GlobalArgs, GraphCommand};
use crate::exit::{CommandError, NOT_SUCCESSFUL, WAIT_TIMEOUT};
use crate::output::{print_value, progress_bar};
use crate::render;

/// How many times a rerun is attempted: another client may change the run between the read and the write.
const MAX_RERUN_ATTEMPTS: usize = 3;

pub(super) fn run(
    global_args: &GlobalArgs,
    client: &mut Client,
    command: &GraphCommand,
) -> Result<ExitCode, CommandError> {
    let mut run_to_wait_for = None;
    match command {
        GraphCommand::Submit { file, run, vars, wait } => {
            let dag = DagFile::load(file, &parse_vars(vars)?)?;
            let prepared = dag.prepare(&file.display().to_string(), run.as_deref())?;
            submit(global_args, client, &prepared)?;
            run_to_wait_for = wait.then_some(prepared.run);
        }
        GraphCommand::Show { run, dot, svg } => {
            show(global_args, &client.run_detail(run)?, ShowFormat::of(*dot, *svg))?;
        }
        GraphCommand::List { graph } => list(global_args, client, graph.as_deref())?,
        GraphCommand::Cancel { run } => {
            let state = client.cancel_run(run)?;
            print_value(global_args, &json!({"run": run, "state": state}), || format!("{run}  {state}"))?;
        }
        GraphCommand::Retry { run, wait } => {
            rerun(global_args, client, run, &|detail| Ok(unsuccessful_nodes(detail)))?;
            run_to_wait_for = wait.then(|| run.clone());
        }
        GraphCommand::Clear { run, nodes, wait } => {
            rerun(global_args, client, run, &|detail| nodes_by_name(run, detail, nodes))?;
            run_to_wait_for = wait.then(|| run.clone());
        }
        GraphCommand::Wait { run, timeout } => return wait_for_run(global_args, client, run, *timeout),
        GraphCommand::Check { files, vars } => {
            for file in files {
                println!("{}", check(file, &parse_vars(vars)?)?);
            }
        }
    }
    match run_to_wait_for {
        Some(run) => wait_for_run(global_args, client, &run, None),
        None => Ok(ExitCode::SUCCESS),
    }
}

fn parse_vars(pairs: &[String]) -> Result<BTreeMap<String, String>, CommandError> {
    let parse = |pair: &String| {
        let invalid = || CommandError::Usage(format!("--var: expected NAME=VALUE, not {pair:?}"));
        pair.split_once('=').map(|(name, value)| (name.into(), value.into())).ok_or_else(invalid)
    };
    pairs.iter().map(parse).collect()
}

fn check(file: &Path, vars: &BTreeMap<String, String>) -> Result<String, CommandError> {
    let path = file.display().to_string();
    let dag = DagFile::load(file, vars)?;
    let run = dag.prepare(&path, None)?;
    Ok(format!(
        "{path}: valid, graph {} with {} nodes in {} parts",
        dag.graph,
        run.header.nodes,
        run.parts.len()
    ))
}

/// Uploads the descriptions first, so that workers have one for every job of the run, then uploads and
/// commits the parts.
fn submit(global_args: &GlobalArgs, client: &mut Client, prepared: &PreparedRun) -> Result<(), CommandError> {
    // A repeated submission ends here. `DagFile::prepare` generates new job ids each time, so committing the run again
    // with these ids would be rejected.
    match client.run_summary(&prepared.run) {
        Ok(row) => return print_run(global_args, &row),
        Err(error) if error.status() == Some(404) => {}
        Err(error) => return Err(error.into()),
    }
    let progress = progress_bar(global_args, prepared.descriptions.len(), "uploading descriptions");
    for (job, description) in &prepared.descriptions {
        client.upload_description(job, description)?;
        progress.inc(1);
    }
    progress.finish_and_clear();
    let state = client.submit_run(&prepared.run, &prepared.header, &prepared.parts)?;
    let (run, nodes) = (&prepared.run, prepared.header.nodes);
    print_value(
        global_args,
        &json!({"run": run, "graph": prepared.header.graph, "state": state, "nodes": nodes}),
        || format!("{run}  {state}  {nodes} nodes"),
    )
}

fn print_run(global_args: &GlobalArgs, row: &DagRunSummary) -> Result<(), CommandError> {
    print_value(global_args, row, || format!("{}  {}  {} nodes", row.run, row.state.as_str(), row.nodes))
}

/// The format in which a run is shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShowFormat {
    /// Text for people, or JSON with `--json`.
    Text,
    /// The DOT format of Graphviz.
    Dot,
    Svg,
}

impl ShowFormat {
    /// Selects the format from the flags, which exclude each other.
    fn of(dot: bool, svg: bool) -> ShowFormat {
        match (dot, svg) {
            (true, _) => ShowFormat::Dot,
            (_, true) => ShowFormat::Svg,
            _ => ShowFormat::Text,
        }
    }
}

fn show(global_args: &GlobalArgs, detail: &DagRunDetail, format: ShowFormat) -> Result<(), CommandError> {
    let view = RunView::new(detail).map_err(|error| CommandError::Other(error.to_string()))?;
    let picture = match format {
        ShowFormat::Text => {
            return print_value(global_args, detail, || view.render_text().trim_end().to_string());
        }
        ShowFormat::Dot => view.render_dot(),
        ShowFormat::Svg => view.render_svg(),
    };
    // Not printed through `anstream`, which would strip escape sequences: the picture must stay unchanged.
    std::println!("{}", picture.map_err(|error| CommandError::Other(error.to_string()))?.trim_end());
    Ok(())
}

fn list(global_args: &GlobalArgs, client: &mut Client, graph: Option<&str>) -> Result<(), CommandError> {
    let (mut rows, mut after) = (Vec::new(), None);
    loop {
        let page = client.runs(graph, after.as_deref())?;
        rows.extend(page.runs);
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    print_value(global_args, &json!({"runs": rows}), || render::runs_table(&rows))
}

/// Returns the indices of the nodes that failed, did not run because an upstream node failed, or were cancelled.
fn unsuccessful_nodes(detail: &DagRunDetail) -> Vec<u32> {
    let unsuccessful = |state: DagNodeState| {
        matches!(state, DagNodeState::Failed | DagNodeState::UpstreamFailed | DagNodeState::Cancelled)
    };
    let nodes = detail.nodes.iter().enumerate().filter(|(_, node)| unsuccessful(node.state));
    nodes.map(|(index, _)| index as u32).collect()
}

/// Returns the indices of the named nodes.
fn nodes_by_name(run: &str, detail: &DagRunDetail, names: &[String]) -> Result<Vec<u32>, CommandError> {
    let find = |name: &String| {
        let index = detail.nodes.iter().position(|node| node.name == *name);
        index
            .map(|index| index as u32)
            .ok_or_else(|| CommandError::Usage(format!("{run} has no node {name:?}")))
    };
    names.iter().map(find).collect()
}

/// Runs the selected nodes and all nodes downstream of them again, as new jobs. Each attempt reads the run again,
/// and then selects the nodes.
fn rerun(
    global_args: &GlobalArgs,
    client: &mut Client,
    run: &str,
    select_nodes: &dyn Fn(&DagRunDetail) -> Result<Vec<u32>, CommandError>,
) -> Result<(), CommandError> {
    for attempts_left in (0..MAX_RERUN_ATTEMPTS).rev() {
        let detail = client.run_detail(run)?;
        let nodes = select_nodes(&detail)?;
        if nodes.is_empty() {
            return Err(CommandError::Other(format!(
                "{run}: no nodes to run again; the run is {}",
                detail.summary.state.as_str()
            )));
        }
        let rerun =
            Rerun::new(&detail.nodes, &nodes).map_err(|error| CommandError::Other(error.to_string()))?;
        for (old_job, new_job) in &rerun.jobs {
            let description = client.description(old_job)?;
            client.upload_description(new_job, &rerun.description(&description, new_job))?;
        }
        match client.rerun_nodes(run, detail.summary.next_part, &rerun.parts) {
            Ok(()) => return print_rerun(global_args, run, rerun.jobs.len()),
            Err(ClientError::Refused { status: 409, .. }) if attempts_left > 0 => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

fn print_rerun(global_args: &GlobalArgs, run: &str, nodes: usize) -> Result<(), CommandError> {
    print_value(global_args, &json!({"run": run, "nodes": nodes}), || {
        format!("{run}  running {nodes} {} again", if nodes == 1 { "node" } else { "nodes" })
    })
}

/// Polls the run until it is in a terminal state or the timeout, in seconds, has passed.
fn wait_for_run(
    global_args: &GlobalArgs,
    client: &mut Client,
    run: &str,
    timeout_s: Option<f64>,
) -> Result<ExitCode, CommandError> {
    let deadline = WaitDeadline::after(timeout_s);
    let mut progress = None;
    loop {
        match client.run_summary(run) {
            Ok(row) => {
                let progress =
                    progress.get_or_insert_with(|| progress_bar(global_args, row.nodes as usize, run));
                progress.set_position(started_nodes(&row));
                if row.state.is_terminal() {
                    progress.finish_and_clear();
                    print_run(global_args, &row)?;
                    let successful = row.state == DagRunState::Success;
                    return Ok(if successful { ExitCode::SUCCESS } else { ExitCode::from(NOT_SUCCESSFUL) });
                }
            }
            // No controller can respond at the moment; the state of the run is unknown.
            Err(error) if error.is_unavailable() => {}
            Err(error) => return Err(error.into()),
        }
        if deadline.has_passed() {
            eprintln!("olivelatchctl: not finished within the timeout: {run}");
            return Ok(ExitCode::from(WAIT_TIMEOUT));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Counts the nodes that are no longer waiting.
fn started_nodes(row: &DagRunSummary) -> u64 {
    let waiting = |state: &str| ["waiting", "ready"].contains(&state);
    let started = row.node_states.iter().filter(|(state, _)| !waiting(state));
    started.map(|(_, count)| u64::from(*count)).sum()
}
