//! Runs of graphs.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anstream::println;
use olivelatch::protocol::graphs::{NodeWord, RunDetail, RunRow, RunState};
use olivelatch_client::{Client, ClientError};
use olivelatch_flow::{FlowFile, Picture, PreparedRun, Redo};
use serde_json::json;

use crate::args::{Common, Graph};
use crate::commands::{bar, show};
use crate::exit::{Failure, NOT_YET, WITHDRAWN};

const POLL: Duration = Duration::from_millis(250);
/// Somebody else may have changed the run since it was looked at.
const TRIES: usize = 3;

pub fn run(common: &Common, client: &mut Client, command: &Graph) -> Result<ExitCode, Failure> {
    match command {
        Graph::Submit { file, run, vars, wait: waits } => {
            let flow = FlowFile::load(file, &given(vars)?)?;
            let prepared = flow.prepare(&file.display().to_string(), run.as_deref())?;
            submit(common, client, &prepared)?;
            if *waits {
                return wait(common, client, &prepared.run, None);
            }
        }
        Graph::Show { run, dot, svg } => {
            let detail = client.run_detail(run)?;
            picture(common, &detail, *dot, *svg)?;
        }
        Graph::List { graph } => list(common, client, graph.as_deref())?,
        Graph::Cancel { run } => {
            let state = client.cancel_run(run)?;
            show(common, &json!({"run": run, "state": state}), || format!("{run}  {state}"))?;
        }
        Graph::Retry { run, wait: waits } => {
            let again = |node: NodeWord| {
                matches!(node, NodeWord::Failed | NodeWord::UpstreamFailed | NodeWord::Cancelled)
            };
            do_over(common, client, run, &|detail| {
                let at = detail.nodes.iter().enumerate().filter(|(_, node)| again(node.state));
                Ok(at.map(|(at, _)| at as u32).collect())
            })?;
            if *waits {
                return wait(common, client, run, None);
            }
        }
        Graph::Clear { run, nodes, wait: waits } => {
            do_over(common, client, run, &|detail| {
                let find = |name: &String| {
                    let at = detail.nodes.iter().position(|node| node.name == *name);
                    at.map(|at| at as u32)
                        .ok_or_else(|| Failure::Usage(format!("{run} has no node {name:?}")))
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
                println!("{}", check(file, &given(vars)?)?);
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn given(pairs: &[String]) -> Result<BTreeMap<String, String>, Failure> {
    let read = |pair: &String| {
        let wrong = || Failure::Usage(format!("--var: expected NAME=VALUE, not {pair:?}"));
        pair.split_once('=').map(|(name, value)| (name.into(), value.into())).ok_or_else(wrong)
    };
    pairs.iter().map(read).collect()
}

fn check(file: &Path, vars: &BTreeMap<String, String>) -> Result<String, Failure> {
    let shown = file.display().to_string();
    let flow = FlowFile::load(file, vars)?;
    let run = flow.prepare(&shown, None)?;
    Ok(format!(
        "{shown}: fine, graph {} with {} nodes in {} parts",
        flow.graph,
        run.header.nodes,
        run.parts.len()
    ))
}

/// Descriptions first, so that workers know them; then the parts, and the commit.
pub fn submit(common: &Common, client: &mut Client, prepared: &PreparedRun) -> Result<(), Failure> {
    // The same run again: its jobs are known under other names, and the commit would be refused.
    match client.run_row(&prepared.run) {
        Ok(row) => return told(common, &row),
        Err(error) if error.status() == Some(404) => {}
        Err(error) => return Err(error.into()),
    }
    let progress = bar(common, prepared.descriptions.len(), "describing");
    for (job, description) in &prepared.descriptions {
        client.describe(job, description)?;
        progress.inc(1);
    }
    progress.finish_and_clear();
    let state = client.send_run(&prepared.run, &prepared.header, &prepared.parts)?;
    let (run, nodes) = (&prepared.run, prepared.header.nodes);
    show(common, &json!({"run": run, "graph": prepared.header.graph, "state": state, "nodes": nodes}), || {
        format!("{run}  {state}  {nodes} nodes")
    })
}

fn told(common: &Common, row: &RunRow) -> Result<(), Failure> {
    show(common, row, || format!("{}  {}  {} nodes", row.run, row.state.word(), row.nodes))
}

fn picture(common: &Common, detail: &RunDetail, dot: bool, svg: bool) -> Result<(), Failure> {
    let picture = Picture::new(detail).map_err(Failure::Other)?;
    if dot || svg {
        let drawn = if dot { picture.dot() } else { picture.svg() };
        // Written as it is: it goes into a file.
        std::println!("{}", drawn.map_err(Failure::Other)?.trim_end());
        return Ok(());
    }
    show(common, detail, || picture.text().trim_end().to_string())
}

fn list(common: &Common, client: &mut Client, graph: Option<&str>) -> Result<(), Failure> {
    let (mut rows, mut after) = (Vec::new(), None);
    loop {
        let page = client.runs(graph, after.as_deref())?;
        rows.extend(page.runs);
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    show(common, &json!({"runs": rows}), || crate::render::runs(&rows))
}

/// Nodes and all behind them anew, under new jobs. `which`: positions in the run as it is shown.
fn do_over(
    common: &Common,
    client: &mut Client,
    run: &str,
    which: &dyn Fn(&RunDetail) -> Result<Vec<u32>, Failure>,
) -> Result<(), Failure> {
    for left in (0..TRIES).rev() {
        let detail = client.run_detail(run)?;
        let from = which(&detail)?;
        if from.is_empty() {
            return Err(Failure::Other(format!(
                "{run}: nothing to be done over, it is {}",
                detail.row.state.word()
            )));
        }
        let redo = Redo::new(&detail.nodes, &from).map_err(Failure::Other)?;
        for (old, new) in &redo.jobs {
            let description = client.description(old)?;
            client.describe(new, &redo.description(&description, new))?;
        }
        match client.do_over(run, detail.row.next_part, &redo.parts) {
            Ok(()) => {
                let count = redo.jobs.len();
                return show(common, &json!({"run": run, "nodes": count}), || {
                    format!("{run}  {count} {} done over", if count == 1 { "node is" } else { "nodes are" })
                });
            }
            Err(ClientError::Refused { status: 409, .. }) if left > 0 => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

fn wait(common: &Common, client: &mut Client, run: &str, timeout: Option<f64>) -> Result<ExitCode, Failure> {
    let end = timeout.map(|seconds| Instant::now() + Duration::from_secs_f64(seconds.clamp(0.0, 1e9)));
    let mut progress = None;
    loop {
        match client.run_row(run) {
            Ok(row) => {
                let progress = progress.get_or_insert_with(|| bar(common, row.nodes as usize, run));
                let open = |word: &str| ["waiting", "ready"].contains(&word);
                let over = row
                    .states
                    .iter()
                    .filter(|(word, _)| !open(word))
                    .map(|(_, count)| u64::from(*count))
                    .sum();
                progress.set_position(over);
                if row.state.ended() {
                    progress.finish_and_clear();
                    told(common, &row)?;
                    let well = row.state == RunState::Success;
                    return Ok(if well { ExitCode::SUCCESS } else { ExitCode::from(WITHDRAWN) });
                }
            }
            // Nobody can tell now; whoever waits wants to know later.
            Err(ClientError::NoAnswer { .. }) => {}
            Err(error) if error.status() == Some(503) => {}
            Err(error) => return Err(error.into()),
        }
        if end.is_some_and(|end| Instant::now() >= end) {
            eprintln!("latch: not over in time: {run}");
            return Ok(ExitCode::from(NOT_YET));
        }
        std::thread::sleep(POLL);
    }
}
