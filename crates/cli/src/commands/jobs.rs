//! Commands about single jobs: `show`, `explain`, `cancel`, `events` and `logs`.

use anstream::println;
use olivelatch_client::Client;
use serde_json::json;

use crate::args::GlobalArgs;
use crate::exit::CommandError;
use crate::output::print_value;
use crate::render;

/// The largest number of tasks that controllers return in one response.
const MAX_TASKS_SHOWN: usize = 500;

pub(super) fn show(
    global_args: &GlobalArgs,
    client: &mut Client,
    id: &str,
    tasks: usize,
) -> Result<(), CommandError> {
    let detail = client.job_detail(id, None, tasks.clamp(1, MAX_TASKS_SHOWN))?;
    print_value(global_args, &detail, || render::job_detail_text(&detail))
}

pub(super) fn explain(
    global_args: &GlobalArgs,
    client: &mut Client,
    id: &str,
    task: Option<u32>,
) -> Result<(), CommandError> {
    let explanation = client.explain(id, task)?;
    print_value(global_args, &explanation, || render::explanation_text(&explanation))
}

pub(super) fn cancel(
    global_args: &GlobalArgs,
    client: &mut Client,
    ids: &[String],
) -> Result<(), CommandError> {
    for id in ids {
        let job = client.cancel(id)?;
        print_value(global_args, &json!({"id": job.id, "state": job.status}), || {
            format!("{}  {}", job.id, job.status)
        })?;
    }
    Ok(())
}

pub(super) fn events(global_args: &GlobalArgs, client: &mut Client, id: &str) -> Result<(), CommandError> {
    let events = client.events(id)?;
    print_value(global_args, &events, || render::events_table(&events))
}

pub(super) fn logs(client: &Client, id: &str, task: u32) -> Result<(), CommandError> {
    let logs = client.logs(id, task)?;
    for attempt in &logs.attempts {
        let truncated = if attempt.truncated { " (truncated to its end)" } else { "" };
        println!("--- {} attempt {}{truncated}\n{}", logs.task, attempt.attempt, attempt.text.trim_end());
    }
    Ok(())
}
