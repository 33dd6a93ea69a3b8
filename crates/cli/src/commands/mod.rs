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
    let global_args = &cli.global_args;
    match cli.command {
        Command::Submit(args) => return submit::submit(global_args, &mut connect(global_args)?, &args),
        Command::List(args) => list::list(global_args, &mut connect(global_args)?, &args)?,
        Command::Show { id, tasks } => jobs::show(global_args, &mut connect(global_args)?, &id, tasks)?,
        Command::Explain { id, task } => jobs::explain(global_args, &mut connect(global_args)?, &id, task)?,
        Command::Cancel { ids } => jobs::cancel(global_args, &mut connect(global_args)?, &ids)?,
        Command::Wait { ids, timeout } => {
            return wait::wait(global_args, &mut connect(global_args)?, &ids, timeout);
        }
        Command::Events { id } => jobs::events(global_args, &mut connect(global_args)?, &id)?,
        Command::Logs { id, task } => jobs::logs(&connect(global_args)?, &id, task)?,
        Command::Top { once } => controllers::top(global_args, &connect(global_args)?, once)?,
        Command::Graph(command) => return graphs::run(global_args, &mut connect(global_args)?, &command),
        Command::Config(command) => return config::run(global_args, &command),
        Command::Check { files } => controllers::check(global_args, &connect(global_args)?, &files)?,
        Command::Completions { shell } => args::completions(shell),
        Command::Up(args) => up::run_up(&args)?,
        Command::Demo(args) => demo::demo(&args)?,
        Command::Scale(command) => return scale::run(command),
        // `main` runs this command, as it has different exit codes.
        Command::Controller(_) => {}
    }
    Ok(ExitCode::SUCCESS)
}
