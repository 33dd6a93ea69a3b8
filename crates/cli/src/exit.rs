//! Exit codes, documented in `latch --help`.

use std::process::ExitCode;

use olivelatch_client::{ClientError, ConfigFileError, ContextsError, JobFileError};
use olivelatch_flow::FlowFileError;
use olivelatch_region::RegionError;
use olivelatch_scale::ScaleError;

/// Something was not found, or the region could not go on.
const OTHER: u8 = 1;
/// Wrong arguments or files, as clap has it.
const USAGE: u8 = 2;
const NO_ANSWER: u8 = 3;
const REFUSED: u8 = 4;
/// `wait`: a job was withdrawn, or a run did not go well.
pub const WITHDRAWN: u8 = 5;
/// `wait`: the time was over.
pub const NOT_YET: u8 = 6;

#[derive(Debug)]
pub enum Failure {
    Usage(String),
    Client(ClientError),
    Region(RegionError),
    /// The request is wrong, or meets a conflict.
    Refused(String),
    Other(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Usage(text) | Failure::Refused(text) | Failure::Other(text) => f.write_str(text),
            Failure::Client(error) => error.fmt(f),
            Failure::Region(error) => error.fmt(f),
        }
    }
}

impl Failure {
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Usage(_) => USAGE,
            Failure::Client(ClientError::NoAnswer { .. }) => NO_ANSWER,
            Failure::Client(ClientError::Refused { status: 404, .. }) => OTHER,
            Failure::Client(ClientError::Refused { status: 503, .. }) => NO_ANSWER,
            Failure::Client(ClientError::Refused { .. }) | Failure::Refused(_) => REFUSED,
            Failure::Client(_) | Failure::Region(_) | Failure::Other(_) => OTHER,
        })
    }
}

impl From<ClientError> for Failure {
    fn from(error: ClientError) -> Failure {
        Failure::Client(error)
    }
}

impl From<RegionError> for Failure {
    fn from(error: RegionError) -> Failure {
        Failure::Region(error)
    }
}

impl From<ContextsError> for Failure {
    fn from(error: ContextsError) -> Failure {
        Failure::Usage(error.to_string())
    }
}

impl From<JobFileError> for Failure {
    fn from(error: JobFileError) -> Failure {
        Failure::Usage(error.to_string())
    }
}

impl From<ConfigFileError> for Failure {
    fn from(error: ConfigFileError) -> Failure {
        Failure::Usage(error.to_string())
    }
}

impl From<FlowFileError> for Failure {
    fn from(error: FlowFileError) -> Failure {
        Failure::Usage(error.to_string())
    }
}

impl From<ScaleError> for Failure {
    fn from(error: ScaleError) -> Failure {
        match error {
            ScaleError::Plan(_) | ScaleError::Refused(_) => Failure::Usage(error.to_string()),
            _ => Failure::Other(error.to_string()),
        }
    }
}

impl From<serde_json::Error> for Failure {
    fn from(error: serde_json::Error) -> Failure {
        Failure::Other(error.to_string())
    }
}
