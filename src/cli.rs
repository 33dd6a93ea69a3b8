//! The command line of the controller: checks the settings, or runs the controller until it is killed.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use thiserror::Error;

use crate::settings::{Settings, SettingsError};
use crate::transport;
use crate::tunables::{Tunables, TunablesError};

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
    /// The tunables file (HCL); if omitted, the defaults apply
    #[arg(long, value_name = "FILE")]
    tunables: Option<PathBuf>,
    /// The platform's settings file (JSON)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

/// Errors in the files given on the command line.
#[derive(Debug, Error)]
enum ConfigError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Tunables(#[from] TunablesError),
}

/// Exit code for invalid settings or tunables; clap exits with the same code for invalid arguments.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Runs the program with the command-line arguments of the process.
pub fn main() -> ExitCode {
    run(std::env::args_os())
}

/// Runs the program with the given arguments, of which the first is the program's name. A local cluster starts its
/// controllers through this function.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = Cli::parse_from(arguments);
    let (Command::Serve(files) | Command::Check(files)) = &cli.command;
    let (settings, tunables) = match load_files(files) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("olivelatch: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    match cli.command {
        Command::Check(_) => {
            println!("settings of {} are valid", settings.controller);
            ExitCode::SUCCESS
        }
        Command::Serve(_) => serve(settings, tunables),
    }
}

fn serve(settings: Settings, tunables: Tunables) -> ExitCode {
    crate::logging::init(&settings.controller, tunables.log.format);
    match transport::serve(settings, tunables) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("cannot serve: {error}");
            ExitCode::FAILURE
        }
    }
}

fn load_files(files: &ConfigFiles) -> Result<(Settings, Tunables), ConfigError> {
    let settings = Settings::load(&files.config)?;
    let tunables = files.tunables.as_deref().map(Tunables::load).transpose()?.unwrap_or_default();
    Ok((settings, tunables))
}
