//! Commands about the controllers: `top`, and `check`, which also checks job files.

use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anstream::println;
use olivelatch_client::{Client, ClientError, JobFile};
use serde_json::json;

use crate::args::GlobalArgs;
use crate::connection::controller_statuses;
use crate::exit::CommandError;
use crate::output::print_value;
use crate::render;

const TOP_INTERVAL: Duration = Duration::from_secs(2);
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Shows the controllers once, or every [`TOP_INTERVAL`] until the user interrupts the program.
pub(super) fn top(global_args: &GlobalArgs, client: &Client, once: bool) -> Result<(), CommandError> {
    loop {
        let statuses = controller_statuses(client);
        let value: BTreeMap<_, _> = statuses.iter().map(|(addr, status)| (addr, status)).collect();
        if !once && std::io::stdout().is_terminal() {
            print!("{CLEAR_SCREEN}");
        }
        print_value(global_args, &value, || render::controllers_table(&statuses))?;
        if once {
            return Ok(());
        }
        std::thread::sleep(TOP_INTERVAL);
    }
}

/// Checks the job files, then whether at least one controller responds.
pub(super) fn check(
    global_args: &GlobalArgs,
    client: &Client,
    files: &[PathBuf],
) -> Result<(), CommandError> {
    for file in files {
        println!("{}", check_file(file)?);
    }
    let statuses = controller_statuses(client);
    let total = statuses.len();
    let unresponsive = statuses.iter().filter(|(_, status)| status.is_none()).count();
    let leaders = statuses.iter().filter_map(|(_, status)| status.as_ref()).filter(|status| status.is_leader);
    let leaders = leaders.count();
    let value = json!({"controllers": total, "silent": unresponsive, "leaders": leaders});
    print_value(global_args, &value, || {
        format!("{total} controllers, {unresponsive} not responding, {leaders} leading")
    })?;
    if unresponsive == total {
        let addresses: Vec<String> = statuses.into_iter().map(|(addr, _)| addr).collect();
        return Err(CommandError::Client(ClientError::NoResponse {
            deadline_s: global_args.deadline,
            tried: addresses.join(", "),
        }));
    }
    Ok(())
}

fn check_file(file: &Path) -> Result<String, CommandError> {
    let jobs = JobFile::load(file)?.prepare()?;
    let tasks: u64 = jobs.iter().filter_map(|job| job.submission["pieces"].as_u64()).sum();
    Ok(format!("{}: valid, {} jobs with {tasks} tasks", file.display(), jobs.len()))
}
