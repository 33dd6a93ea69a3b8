//! Exit codes, documented in `olivelatchctl --help`.

use std::process::ExitCode;

use olivelatch_client::{ClientError, ConfigFileError, ContextsError, JobFileError};
use olivelatch_dag_files::DagFileError;
use olivelatch_local_cluster::LocalClusterError;
use olivelatch_scale_test::ScaleError;

/// Something was not found, or the region could not go on.
const OTHER_FAILURE: u8 = 1;
/// Wrong arguments or files, as clap has it.
const USAGE: u8 = 2;
const NO_RESPONSE: u8 = 3;
const REFUSED: u8 = 4;
/// `wait`: a job was withdrawn, or a run did not go well.
pub const NOT_SUCCESSFUL: u8 = 5;
/// `wait`: the time was over.
pub const WAIT_TIMEOUT: u8 = 6;

#[derive(Debug)]
pub enum CommandError {
    Usage(String),
    Client(ClientError),
    LocalCluster(LocalClusterError),
    /// The request is wrong, or meets a conflict.
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

impl From<ContextsError> for CommandError {
    fn from(error: ContextsError) -> CommandError {
        CommandError::Usage(error.to_string())
    }
}

impl From<JobFileError> for CommandError {
    fn from(error: JobFileError) -> CommandError {
        CommandError::Usage(error.to_string())
    }
}

impl From<ConfigFileError> for CommandError {
    fn from(error: ConfigFileError) -> CommandError {
        CommandError::Usage(error.to_string())
    }
}

impl From<DagFileError> for CommandError {
    fn from(error: DagFileError) -> CommandError {
        CommandError::Usage(error.to_string())
    }
}

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
