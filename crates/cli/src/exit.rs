//! Errors of commands, their texts for the user, and the exit codes that `olivelatchctl --help` documents.

use std::path::PathBuf;
use std::process::ExitCode;

use olivelatch_client::{ClientError, ConfigFileError, ContextsError, JobFileError};
use olivelatch_dag_files::DagFileError;
use olivelatch_local_cluster::LocalClusterError;
use olivelatch_scale_test::ScaleError;

/// Something was not found, or the command failed in a way that has no other code.
const OTHER_FAILURE: u8 = 1;
/// Invalid arguments or files; clap uses the same code.
const USAGE: u8 = 2;
/// No controller responded in time, or the last response had status 503.
const NO_RESPONSE: u8 = 3;
const REFUSED: u8 = 4;
/// `wait`: a job was cancelled, or a run did not succeed.
pub const NOT_SUCCESSFUL: u8 = 5;
/// `wait`: the timeout passed first. Commands of `config` with `--wait`: the change was not in force in time.
pub const WAIT_TIMEOUT: u8 = 6;

/// Why a command failed. `Display` gives the message for the user.
#[derive(Debug)]
pub enum CommandError {
    /// Arguments or files are invalid.
    Usage(String),
    Client(ClientError),
    LocalCluster(LocalClusterError),
    /// The request is invalid, or conflicts with the current state.
    Refused(String),
    Other(String),
}

impl std::fmt::Display for CommandError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CommandError::Usage(text) | CommandError::Refused(text) | CommandError::Other(text) => {
                f.write_str(text)
            }
            CommandError::Client(error) => error.fmt(f),
            CommandError::LocalCluster(error) => error.fmt(f),
        }
    }
}

impl CommandError {
    /// Returns the exit code for the error.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Usage(_) => USAGE,
            CommandError::Client(ClientError::NoResponse { .. }) => NO_RESPONSE,
            CommandError::Client(ClientError::Refused { status: 404, .. }) => OTHER_FAILURE,
            CommandError::Client(ClientError::Refused { status: 503, .. }) => NO_RESPONSE,
            CommandError::Client(ClientError::Refused { .. }) | CommandError::Refused(_) => REFUSED,
            CommandError::Client(_) | CommandError::LocalCluster(_) | CommandError::Other(_) => OTHER_FAILURE,
        })
    }
}

impl From<ClientError> for CommandError {
    fn from(error: ClientError) -> CommandError {
        CommandError::Client(error)
    }
}

impl From<LocalClusterError> for CommandError {
    fn from(error: LocalClusterError) -> CommandError {
        CommandError::LocalCluster(error)
    }
}

/// Converts errors in files that the user wrote into usage errors.
macro_rules! usage_error_from {
    ($($error:ty),+) => {
        $(impl From<$error> for CommandError {
            fn from(error: $error) -> CommandError {
                CommandError::Usage(error.to_string())
            }
        })+
    };
}

usage_error_from!(ContextsError, JobFileError, ConfigFileError, DagFileError);

impl From<ScaleError> for CommandError {
    fn from(error: ScaleError) -> CommandError {
        match error {
            ScaleError::Plan(_) | ScaleError::Refused(_) => CommandError::Usage(error.to_string()),
            _ => CommandError::Other(error.to_string()),
        }
    }
}

impl From<serde_json::Error> for CommandError {
    fn from(error: serde_json::Error) -> CommandError {
        CommandError::Other(error.to_string())
    }
}

/// Returns the path of this program, which is also started for the processes of a local cluster or a scale test.
pub fn own_program() -> Result<PathBuf, CommandError> {
    std::env::current_exe().map_err(|error| {
        CommandError::Other(format!("cannot find the path of the running olivelatchctl program: {error}"))
    })
}
