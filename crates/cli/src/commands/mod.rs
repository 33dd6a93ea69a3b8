//! The commands, with one module for each group of them, and their dispatch.

mod config;
mod controllers;
mod demo;
mod graphs;
mod jobs;
mod list;
mod scale;
mod submit;
mod up;
mod wait;

use std::process::ExitCode;

use crate::args::{self, Cli, Command};
use crate::connection::connect;
use crate::exit::CommandError;

/// Runs the command and returns its exit code.
pub fn run(cli: Cli) -> Result<ExitCode, CommandError> {
    let common = &cli.common;
    match cli.command {
        Command::Submit(args) => return submit::submit(common, &mut connect(common)?, &args),
        Command::List(args) => list::list(common, &mut connect(common)?, &args)?,
        Command::Show { id, tasks } => jobs::show(common, &mut connect(common)?, &id, tasks)?,
        Command::Explain { id, task } => jobs::explain(common, &mut connect(common)?, &id, task)?,
        Command::Cancel { ids } => jobs::cancel(common, &mut connect(common)?, &ids)?,
        Command::Wait { ids, timeout } => {
            return wait::wait(common, &mut connect(common)?, &ids, timeout);
        }
        Command::Events { id } => jobs::events(common, &mut connect(common)?, &id)?,
        Command::Logs { id, task } => jobs::logs(&connect(common)?, &id, task)?,
        Command::Top { once } => controllers::top(common, &connect(common)?, once)?,
        Command::Graph(command) => return graphs::run(common, &mut connect(common)?, &command),
        Command::Config(command) => return config::run(common, &command),
        Command::Check { files } => controllers::check(common, &connect(common)?, &files)?,
        Command::Completions { shell } => args::completions(shell),
        Command::Up(args) => up::run_up(&args)?,
        Command::Demo(args) => demo::demo(&args)?,
        Command::Scale(command) => return scale::run(command),
        // `main` runs this command, as it has different exit codes.
        Command::Controller(_) => {}
    }
    Ok(ExitCode::SUCCESS)
}
