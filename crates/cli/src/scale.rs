//! `latch scale`: a control plane of the planned size on this machine.

use std::process::ExitCode;

use olivelatch_scale::{Plan, RunArguments, ScaleError, run as play, serve_state, serve_zone};
use serde::de::DeserializeOwned;

use crate::args::Scale;
use crate::exit::Failure;

/// What the run hands to a process that it starts.
fn handed<T: DeserializeOwned>(text: &str) -> Result<T, Failure> {
    serde_json::from_str(text).map_err(|error| Failure::Usage(format!("arguments of a scale run: {error}")))
}

pub fn run(command: Scale) -> Result<ExitCode, Failure> {
    match command {
        Scale::Run { plan, out, log_level } => {
            let program = std::env::current_exe()
                .map_err(|error| Failure::Other(format!("finding latch itself: {error}")))?;
            return Ok(play(&RunArguments { plan, out, program, log_level })?);
        }
        Scale::Check { plan } => {
            let checked = Plan::load(&plan).map_err(ScaleError::from)?;
            println!(
                "{} is fine: {} controllers, {} workers at most, {} teams, {} processes, {:.0} s of load",
                plan.display(),
                checked.controllers,
                checked.most_workers(),
                checked.teams.count,
                checked.processes(),
                checked.load_s()
            );
        }
        Scale::Zone { arguments } => serve_zone(handed(&arguments)?)?,
        Scale::State { arguments } => serve_state(handed(&arguments)?)?,
    }
    Ok(ExitCode::SUCCESS)
}
