//! `olivelatchctl`: the command line of olivelatch.
//!
//! This crate defines the arguments, the output for people and programs, and the exit codes.
//! `olivelatch-client` sends the requests, `olivelatch-local-cluster` runs a local cluster, and `olivelatch`
//! is the controller that the cluster starts.

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
    // The controller returns its own exit codes.
    if let Command::Controller(args) = cli.command {
        return olivelatch::cli::run(std::iter::once("olivelatch".into()).chain(args.rest));
    }
    commands::run(cli).unwrap_or_else(|error| {
        eprintln!("olivelatchctl: {error}");
        error.exit_code()
    })
}
