//! `olivelatchctl`: the command line of olivelatch.
//!
//! A thin assembly: `olivelatch-client` sends the requests, `olivelatch-local-cluster` runs a region on one machine,
//! `olivelatch` is the controller that it starts. What is here is arguments, output for people and programs, and exit codes.

#![warn(missing_docs)]

mod args;
mod commands;
mod connection;
mod exit;
mod output;
mod render;

use std::process::ExitCode;

use clap::Parser;

use args::{Cli, Command};

fn main() -> ExitCode {
    let cli = Cli::parse();
    // The controller has exit codes of its own.
    if let Command::Controller(args) = cli.command {
        return olivelatch::cli::run(std::iter::once("olivelatch".into()).chain(args.rest));
    }
    commands::run(cli).unwrap_or_else(|error| {
        eprintln!("olivelatchctl: {error}");
        error.exit_code()
    })
}
