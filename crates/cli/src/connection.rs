//! Which controllers a command talks to: the contexts file, the context in it, and the client made from both.

use std::path::PathBuf;
use std::time::Duration;

use olivelatch::protocol::operators::ControllerStatus;
use olivelatch_client::{Client, Contexts};

use crate::args::Common;
use crate::exit::CommandError;

const DEADLINE_RANGE_S: std::ops::RangeInclusive<f64> = 0.1..=3600.0;

/// A client of the context that the flags choose.
pub fn connect(common: &Common) -> Result<Client, CommandError> {
    connect_to(common, None)
}

/// A client of the named context, or without a name of the one that the flags choose. No connection is opened yet.
pub fn connect_to(common: &Common, context: Option<&str>) -> Result<Client, CommandError> {
    if !DEADLINE_RANGE_S.contains(&common.deadline) {
        return Err(CommandError::Usage(format!(
            "--deadline: expected 0.1 to 3600 seconds, not {}",
            common.deadline
        )));
    }
    let no_file = "no contexts file: start a region with `olivelatchctl up`, or name one with --contexts";
    let path = contexts_path(common).ok_or_else(|| CommandError::Usage(no_file.into()))?;
    let contexts = Contexts::load(&path)?;
    let context = contexts.select(&path.display().to_string(), context.or(common.context.as_deref()))?;
    Ok(Client::new(context, Duration::from_secs_f64(common.deadline)))
}

/// The first of: the flag, the environment variable, the file of a region started in this folder, the user's own file.
fn contexts_path(common: &Common) -> Option<PathBuf> {
    let named = common.contexts.clone().or_else(|| std::env::var_os("LATCH_CONTEXTS").map(PathBuf::from));
    let in_this_folder = || Some(PathBuf::from(".latch/contexts.hcl")).filter(|path| path.exists());
    let in_home = || Some(PathBuf::from(std::env::var_os("HOME")?).join(".config/latch/contexts.hcl"));
    named.or_else(in_this_folder).or_else(|| in_home().filter(|path| path.exists()))
}

/// The status of each controller of the context, `None` where it does not respond.
pub fn controller_statuses(client: &Client) -> Vec<(String, Option<ControllerStatus>)> {
    client.controller_statuses().into_iter().map(|(addr, status)| (addr.to_string(), status)).collect()
}
