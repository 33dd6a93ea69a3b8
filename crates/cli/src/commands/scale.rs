//! `olivelatchctl scale`: scale tests on this machine, and the processes that a scale test starts.

use std::process::ExitCode;

use olivelatch_scale_test::{Plan, RunArguments, ScaleError, serve_kv_store, serve_zone};
use serde::de::DeserializeOwned;

use crate::args::ScaleCommand;
use crate::exit::{CommandError, own_program};

/// Parses the JSON that a scale test passes to the processes that it starts.
fn parse_arguments<T: DeserializeOwned>(text: &str) -> Result<T, CommandError> {
    serde_json::from_str(text)
        .map_err(|error| CommandError::Usage(format!("invalid arguments of a scale test process: {error}")))
}

pub(super) fn run(command: ScaleCommand) -> Result<ExitCode, CommandError> {
    match command {
        ScaleCommand::Run { plan, out, log_level } => {
            let program = own_program()?;
            return Ok(olivelatch_scale_test::run(&RunArguments { plan, out, program, log_level })?);
        }
        ScaleCommand::Check { plan } => {
            let checked = Plan::load(&plan).map_err(ScaleError::from)?;
            println!(
                "{}: valid, {} controllers, up to {} workers, {} teams, {} processes, {:.0} s of load",
                plan.display(),
                checked.controllers,
                checked.max_workers(),
                checked.teams.count,
                checked.process_count(),
                checked.load_s()
            );
        }
        ScaleCommand::Zone { arguments } => serve_zone(parse_arguments(&arguments)?)?,
        ScaleCommand::State { arguments } => serve_kv_store(parse_arguments(&arguments)?)?,
    }
    Ok(ExitCode::SUCCESS)
}
