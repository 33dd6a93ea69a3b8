//! Reasons why a request to change a run of a graph is rejected.

use thiserror::Error;

use crate::ids::JobId;
use crate::protocol::HttpResponse;
use crate::protocol::graphs::MAX_PARTS;

/// Why a request cannot be carried out. The texts are sent to clients in the response body.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(super) enum GraphRejection {
    #[error("parts: expected at least one, with part numbers from 0 to {}", MAX_PARTS - 1)]
    PartNumbers,
    #[error("part {part} has {bytes} bytes: expected at most {max_bytes}")]
    PartTooLarge { part: u32, bytes: usize, max_bytes: usize },
    #[error("no such run")]
    UnknownRun,
    #[error("the run is being deleted")]
    RunDeleting,
    #[error("the run's parts were not committed in time: choose another name for it")]
    UploadExpired,
    #[error("part {0} is already stored with different content")]
    PartConflict(u32),
    #[error("parts are missing: upload them first")]
    PartsMissing,
    #[error("part {0} is missing: upload it first")]
    PartMissing(u32),
    #[error("another run already has this name")]
    NameTaken,
    #[error("the run has changed: its next part number is {next_part}")]
    RunChanged { next_part: u32 },
    #[error("expected {expected} nodes in the parts, found {found}")]
    NodeCount { found: usize, expected: u32 },
    #[error("a service runs indefinitely, so it cannot be a node of a graph")]
    ServiceNode,
    #[error("unknown pool {0}")]
    UnknownPool(String),
    #[error("{0} already exists")]
    JobNameTaken(JobId),
    /// The graph itself or one of its templates is not valid.
    #[error("{0}")]
    InvalidGraph(String),
}

impl GraphRejection {
    fn status(&self) -> u16 {
        match self {
            GraphRejection::PartNumbers | GraphRejection::PartTooLarge { .. } => 400,
            GraphRejection::UnknownRun | GraphRejection::RunDeleting => 404,
            GraphRejection::UploadExpired
            | GraphRejection::PartConflict(_)
            | GraphRejection::PartsMissing
            | GraphRejection::PartMissing(_)
            | GraphRejection::NameTaken
            | GraphRejection::RunChanged { .. } => 409,
            GraphRejection::NodeCount { .. }
            | GraphRejection::ServiceNode
            | GraphRejection::UnknownPool(_)
            | GraphRejection::JobNameTaken(_)
            | GraphRejection::InvalidGraph(_) => 422,
        }
    }
}

impl From<GraphRejection> for HttpResponse {
    fn from(rejection: GraphRejection) -> HttpResponse {
        HttpResponse::error(rejection.status(), &rejection.to_string())
    }
}

#[cfg(test)]
#[path = "tests/rejection.rs"]
mod tests;
