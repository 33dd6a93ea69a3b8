//! Reasons why a change of a graph's run is refused.

use thiserror::Error;

use crate::ids::JobId;
use crate::protocol::HttpResponse;
use crate::protocol::graphs::MAX_PARTS;

/// Why a request cannot be carried out as it is. The texts are part of the interface.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(super) enum GraphRejection {
    #[error("parts: expected some of 0 to {}", MAX_PARTS - 1)]
    PartNumbers,
    #[error("part {part} is {bytes} bytes: at most {max_bytes} are kept")]
    PartTooLarge { part: u32, bytes: usize, max_bytes: usize },
    #[error("no such run")]
    UnknownRun,
    #[error("the run is being forgotten")]
    RunDeleting,
    #[error("the run's parts were not committed in time: choose another name for it")]
    UploadExpired,
    #[error("part {0} is there with another content")]
    PartConflict(u32),
    #[error("parts are missing: send them first")]
    PartsMissing,
    #[error("part {0} is missing: send it first")]
    PartMissing(u32),
    #[error("another run has that name")]
    NameTaken,
    #[error("the run has changed: its next part is {next_part}")]
    RunChanged { next_part: u32 },
    #[error("the parts hold {found} nodes, not {expected}")]
    NodeCount { found: usize, expected: u32 },
    #[error("a service never ends: it cannot be a node")]
    ServiceNode,
    #[error("unknown pool {0}")]
    UnknownPool(String),
    #[error("{0} is known already")]
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
