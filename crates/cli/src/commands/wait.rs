//! `olivelatchctl wait`: waits until jobs are in a terminal state or the timeout has passed.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use olivelatch_client::{Client, ClientError};
use serde_json::json;

use crate::args::GlobalArgs;
use crate::exit::{CommandError, NOT_SUCCESSFUL, WAIT_TIMEOUT};
use crate::output::{print_value, progress_bar};

pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Longer timeouts are reduced to this, as adding a very long duration to an `Instant` overflows.
const MAX_TIMEOUT_S: f64 = 1e9;

/// The statuses of jobs in a terminal state, as on the wire.
const DONE: &str = "done";
const CANCELLED: &str = "withdrawn";

/// The time at which a wait gives up; `None` if it has no timeout.
pub(super) struct WaitDeadline(Option<Instant>);

impl WaitDeadline {
    pub(super) fn after(timeout_s: Option<f64>) -> WaitDeadline {
        let end =
            |timeout_s: f64| Instant::now() + Duration::from_secs_f64(timeout_s.clamp(0.0, MAX_TIMEOUT_S));
        WaitDeadline(timeout_s.map(end))
    }

    pub(super) fn has_passed(&self) -> bool {
        self.0.is_some_and(|end| Instant::now() >= end)
    }
}

/// Polls the jobs until all are in a terminal state or the timeout, in seconds, has passed.
pub(super) fn wait(
    global_args: &GlobalArgs,
    client: &mut Client,
    ids: &[String],
    timeout_s: Option<f64>,
) -> Result<ExitCode, CommandError> {
    let deadline = WaitDeadline::after(timeout_s);
    let progress = progress_bar(global_args, ids.len(), "waiting");
    let mut unfinished: Vec<&String> = ids.iter().collect();
    let mut any_cancelled = false;
    loop {
        let mut still_unfinished = Vec::new();
        for id in unfinished {
            let Some(state) = terminal_state(client, id)? else {
                still_unfinished.push(id);
                continue;
            };
            any_cancelled |= state == CANCELLED;
            progress.inc(1);
            progress.suspend(|| {
                print_value(global_args, &json!({"id": id, "state": state}), || format!("{id}  {state}"))
            })?;
        }
        unfinished = still_unfinished;
        if unfinished.is_empty() {
            break;
        }
        if deadline.has_passed() {
            progress.finish_and_clear();
            let ids: Vec<&str> = unfinished.iter().map(|id| id.as_str()).collect();
            eprintln!("olivelatchctl: not finished within the timeout: {}", ids.join(", "));
            return Ok(ExitCode::from(WAIT_TIMEOUT));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    progress.finish_and_clear();
    Ok(if any_cancelled { ExitCode::from(NOT_SUCCESSFUL) } else { ExitCode::SUCCESS })
}

/// Returns the job's status if it is terminal. While no controller can respond, the job counts as unfinished.
fn terminal_state(client: &mut Client, id: &str) -> Result<Option<String>, ClientError> {
    match client.job_status(id) {
        Ok(job) => Ok(Some(job.status).filter(|status| [DONE, CANCELLED].contains(&status.as_str()))),
        Err(error) if error.is_unavailable() => Ok(None),
        Err(error) => Err(error),
    }
}
