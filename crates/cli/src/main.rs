//! `olivelatchctl`: the command line of olivelatch.
//!
//! A thin assembly: `olivelatch-client` asks, `olivelatch-local-cluster` runs a region on one machine, `olivelatch` is the controller
//! that it starts. What is here is arguments, tables and words.

mod args;
mod commands;
mod config;
mod config_tables;
mod demo;
mod exit;
mod graphs;
mod render;
mod scale;
mod up;

use std::process::ExitCode;

use clap::Parser;

use args::{Cli, Command};
use exit::CommandError;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        Command::Controller(args) => {
            return olivelatch::cli::run(std::iter::once("olivelatch".into()).chain(args.rest));
        }
        Command::Up(args) => up::run_up(&args).map(|()| ExitCode::SUCCESS),
        Command::Scale(args) => scale::run(args),
        Command::Config(command) => config::run(&cli.common, &command),
        Command::Demo(args) => demo::demo(&args).map(|()| ExitCode::SUCCESS),
        Command::Completions { shell } => {
            args::completions(shell);
            Ok(ExitCode::SUCCESS)
        }
        command => commands::run(&cli.common, command),
    };
    result.unwrap_or_else(|failure: CommandError| {
        eprintln!("olivelatchctl: {failure}");
        failure.exit_code()
    })
}
