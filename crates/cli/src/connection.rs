//! Selects the controllers that a command connects to: finds the contexts file, selects a context and creates
//! the client.

use std::path::PathBuf;
use std::time::Duration;

use olivelatch::protocol::operators::ControllerStatus;
use olivelatch_client::{Client, Contexts};

use crate::args::GlobalArgs;
use crate::exit::CommandError;

const DEADLINE_RANGE_S: std::ops::RangeInclusive<f64> = 0.1..=3600.0;

/// Creates a client of the context that the flags select.
pub fn connect(global_args: &GlobalArgs) -> Result<Client, CommandError> {
    connect_to(global_args, None)
}

/// Creates a client of the named context, or of the one that the flags select if no name is given. Opens no connection.
pub fn connect_to(global_args: &GlobalArgs, context: Option<&str>) -> Result<Client, CommandError> {
    if !DEADLINE_RANGE_S.contains(&global_args.deadline) {
        return Err(CommandError::Usage(format!(
            "--deadline: expected 0.1 to 3600 seconds, not {}",
            global_args.deadline
        )));
    }
    let no_file = "no contexts file found: start a local cluster with `olivelatchctl up`, or pass a file with --contexts";
    let path = contexts_path(global_args).ok_or_else(|| CommandError::Usage(no_file.into()))?;
    let contexts = Contexts::load(&path)?;
    let context = contexts.select(&path.display().to_string(), context.or(global_args.context.as_deref()))?;
    Ok(Client::new(context, Duration::from_secs_f64(global_args.deadline)))
}

/// Returns the path of the contexts file: the first of the flag, the environment variable, the file of a
/// local cluster started in the current directory, and the file in the user's home directory. The last two
/// count only if they exist.
fn contexts_path(global_args: &GlobalArgs) -> Option<PathBuf> {
    let named =
        global_args.contexts.clone().or_else(|| std::env::var_os("LATCH_CONTEXTS").map(PathBuf::from));
    let in_current_dir = || Some(PathBuf::from(".latch/contexts.hcl")).filter(|path| path.exists());
    let in_home = || Some(PathBuf::from(std::env::var_os("HOME")?).join(".config/latch/contexts.hcl"));
    named.or_else(in_current_dir).or_else(|| in_home().filter(|path| path.exists()))
}

/// Returns the address and the status of each controller of the context; `None` if it does not respond.
pub fn controller_statuses(client: &Client) -> Vec<(String, Option<ControllerStatus>)> {
    client.controller_statuses().into_iter().map(|(addr, status)| (addr.to_string(), status)).collect()
}
