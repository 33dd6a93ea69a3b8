//! Command line.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::settings::Settings;
use crate::transport;
use crate::tunables::Tunables;

#[derive(Parser)]
#[command(name = "olivelatch", version, about = "A cluster scheduler for small controllers")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed
    Serve(ConfigFiles),
    /// Check the settings and exit
    Check(ConfigFiles),
}

#[derive(clap::Args)]
struct ConfigFiles {
    /// Tunables (HCL); without it the defaults hold
    #[arg(long, value_name = "FILE")]
    tunables: Option<PathBuf>,
    /// The platform's settings file (JSON)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

/// Exit code for settings that can't be used, as for wrong arguments.
const EXIT_INVALID_SETTINGS: u8 = 2;

pub fn main() -> ExitCode {
    run(std::env::args_os())
}

/// The same with arguments given, the program's name first: a region on one machine starts its controllers so.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = Cli::parse_from(arguments);
    let (Command::Serve(files) | Command::Check(files)) = &cli.command;
    let (settings, tunables) = match load_files(files) {
        Ok(loaded) => loaded,
        Err(problem) => {
            eprintln!("olivelatch: {problem}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    match cli.command {
        Command::Check(_) => {
            println!("settings of {} are fine", settings.controller);
            ExitCode::SUCCESS
        }
        Command::Serve(_) => {
            crate::logging::init(&settings.controller, tunables.log.format);
            match transport::serve(settings, tunables) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    log::error!("cannot serve: {error}");
                    ExitCode::FAILURE
                }
            }
        }
    }
}

fn load_files(files: &ConfigFiles) -> Result<(Settings, Tunables), String> {
    let settings = Settings::load(&files.config).map_err(|error| error.to_string())?;
    let tunables = match &files.tunables {
        Some(path) => Tunables::load(path).map_err(|error| error.to_string())?,
        None => Tunables::default(),
    };
    Ok((settings, tunables))
}
