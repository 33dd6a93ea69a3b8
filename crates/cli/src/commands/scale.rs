//! `olivelatchctl scale`: a control plane of the planned size on this machine, and the processes that a run starts.

use std::process::ExitCode;

use olivelatch_scale_test::{Plan, RunArguments, ScaleError, serve_kv_store, serve_zone};
use serde::de::DeserializeOwned;

use crate::args::Scale;
use crate::exit::{CommandError, own_program};

/// The JSON that a run passes to a process that it starts.
fn parse_arguments<T: DeserializeOwned>(text: &str) -> Result<T, CommandError> {
    serde_json::from_str(text)
        .map_err(|error| CommandError::Usage(format!("arguments of a scale run: {error}")))
}

pub(super) fn run(command: Scale) -> Result<ExitCode, CommandError> {
    match command {
        Scale::Run { plan, out, log_level } => {
            let program = own_program()?;
            return Ok(olivelatch_scale_test::run(&RunArguments { plan, out, program, log_level })?);
        }
        Scale::Check { plan } => {
            let checked = Plan::load(&plan).map_err(ScaleError::from)?;
            println!(
                "{} is fine: {} controllers, {} workers at most, {} teams, {} processes, {:.0} s of load",
                plan.display(),
                checked.controllers,
                checked.max_workers(),
                checked.teams.count,
                checked.processes(),
                checked.load_s()
            );
        }
        Scale::Zone { arguments } => serve_zone(parse_arguments(&arguments)?)?,
        Scale::State { arguments } => serve_kv_store(parse_arguments(&arguments)?)?,
    }
    Ok(ExitCode::SUCCESS)
}
