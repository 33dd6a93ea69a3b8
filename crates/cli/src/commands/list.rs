//! `olivelatchctl list`: fetches jobs page by page and prints them.

use olivelatch::protocol::operators::JobSummary;
use olivelatch_client::{Client, ClientError};
use serde_json::json;

use crate::args::{GlobalArgs, ListArgs};
use crate::exit::CommandError;
use crate::output::print_value;
use crate::render;

/// Maximum number of jobs that one request fetches.
const PAGE_SIZE: usize = 200;

/// The jobs that were fetched until the list ended, the limit was reached or a request failed.
struct FetchedJobs {
    rows: Vec<JobSummary>,
    /// Whether the controllers have more jobs after `rows`.
    more_follow: bool,
    /// The error that stopped the list early.
    error: Option<ClientError>,
}

/// Prints the jobs. If an error stops the list early, the jobs fetched so far are printed and the list is reported as
/// incomplete.
pub(super) fn list(
    global_args: &GlobalArgs,
    client: &mut Client,
    args: &ListArgs,
) -> Result<(), CommandError> {
    let FetchedJobs { mut rows, more_follow, error } = fetch_jobs(client, args)?;
    let truncated = more_follow || rows.len() > args.most;
    rows.truncate(args.most);
    let after = rows.last().filter(|_| truncated).map(|row| row.id.clone());
    let complete = after.is_none() && error.is_none();
    print_value(global_args, &json!({"jobs": rows, "complete": complete, "after": after}), || {
        render::jobs_table(&rows)
    })?;
    if let Some(error) = error {
        return Err(CommandError::Other(format!("the list is incomplete: {error}")));
    }
    if let Some(after) = after.filter(|_| !global_args.json) {
        eprintln!("olivelatchctl: more jobs follow; continue with --after {after}");
    }
    Ok(())
}

fn fetch_jobs(client: &mut Client, args: &ListArgs) -> Result<FetchedJobs, CommandError> {
    let query = list_query(args);
    let (mut rows, mut after) = (Vec::new(), args.after.clone());
    loop {
        match client.list_jobs_page(&query, after.as_deref()) {
            Ok(page) => {
                rows.extend(page.jobs);
                after = page.next;
            }
            Err(error) if rows.is_empty() => return Err(error.into()),
            Err(error) => {
                return Ok(FetchedJobs { rows, more_follow: after.is_some(), error: Some(error) });
            }
        }
        if after.is_none() || rows.len() >= args.most {
            return Ok(FetchedJobs { rows, more_follow: after.is_some(), error: None });
        }
    }
}

fn list_query(args: &ListArgs) -> String {
    let mut query = format!("limit={}", PAGE_SIZE.min(args.most.max(1)));
    for (name, value) in [("state", &args.state), ("team", &args.team), ("class", &args.class)] {
        if let Some(value) = value {
            query.push_str(&format!("&{name}={value}"));
        }
    }
    query
}
