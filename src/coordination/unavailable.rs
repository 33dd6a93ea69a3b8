//! Reasons why a controller cannot serve a request now: each becomes a 503 that says when to retry.

use thiserror::Error;

use crate::protocol::HttpResponse;

/// Delay that clients are given before they retry, in seconds.
const RETRY_AFTER_S: u32 = 1;
/// Retry delay while other uploads hold the room for graph parts, in seconds.
const UNCOMMITTED_PARTS_RETRY_S: u32 = 10;
/// Retry delay until finished runs have been deleted, in seconds.
const NODE_LIMIT_RETRY_S: u32 = 30;

/// Why the client should repeat its request later. The texts are part of the interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unavailable {
    /// The store is not reachable, the records are not loaded, or too many requests wait.
    #[error("cannot decide now")]
    CannotDecide,
    /// The transaction may or may not have been applied.
    #[error("not certain to be stored")]
    WriteOutcomeUnknown,
    /// The write is durable, but another controller may already have reported a later state.
    #[error("stored too long ago")]
    WriteAcknowledgedLate,
    /// The catalog has not been loaded: whether a job could run is not known.
    #[error("machine types are not known yet")]
    MachineTypesUnknown,
    /// The store does not answer.
    #[error("the state service does not answer this controller")]
    KvUnreachable,
    /// The records have not been read as a whole.
    #[error("the records are being read")]
    CacheLoading,
    /// No read of the store completed in time.
    #[error("no fresh answer from the state service")]
    ReadBarrierTimeout,
    /// Too many operators' queries wait.
    #[error("too many questions")]
    TooManyQueries,
    /// The budget of operators' queries a second is used up.
    #[error("too many questions a second")]
    QueryRateExceeded,
    /// A query forwarded by another controller.
    #[error("does not lead, or too many questions")]
    ForwardedQueryRefused,
    /// The leader did not answer a forwarded query in time.
    #[error("the leader does not answer")]
    LeaderUnresponsive,
    /// An operator's query that only a leader can answer.
    #[error("nobody leads")]
    NoLeaderForQuery,
    /// A heartbeat while no leader is known.
    #[error("no leader")]
    NoLeaderForHeartbeat,
    /// The leader must not renew the machine's lease.
    #[error("not entitled")]
    HeartbeatRejected,
    /// A run can be executed again once its cancellation is complete.
    #[error("the run is being cancelled")]
    RunCancelling,
    /// Too many parts of graphs are stored without a commit.
    #[error("too many parts wait for their commit")]
    UncommittedPartLimit,
    /// Too many nodes of accepted runs are stored.
    #[error("too many nodes are kept now")]
    NodeLimit,
}

impl Unavailable {
    fn retry_after_s(self) -> u32 {
        match self {
            Unavailable::UncommittedPartLimit => UNCOMMITTED_PARTS_RETRY_S,
            Unavailable::NodeLimit => NODE_LIMIT_RETRY_S,
            _ => RETRY_AFTER_S,
        }
    }
}

impl From<Unavailable> for HttpResponse {
    fn from(reason: Unavailable) -> HttpResponse {
        HttpResponse::retry_later(&reason.to_string(), reason.retry_after_s())
    }
}

#[cfg(test)]
#[path = "tests/unavailable.rs"]
mod tests;
