//! Reasons why a controller cannot serve a request now. Each becomes a response with status 503 and a retry
//! delay.

use thiserror::Error;

use crate::protocol::HttpResponse;

/// Retry delay for most reasons, in seconds.
const RETRY_AFTER_S: u32 = 1;
/// Retry delay while uploads without a commit use up the space for graph parts, in seconds.
const UNCOMMITTED_PARTS_RETRY_S: u32 = 10;
/// Retry delay until finished runs have been deleted, in seconds.
const NODE_LIMIT_RETRY_S: u32 = 30;

/// Why the client should repeat its request later. The texts are sent to clients in the response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unavailable {
    /// The store is unreachable, the records are not loaded, the deadline has passed or too many requests
    /// wait.
    #[error("the request cannot be decided now: retry later")]
    CannotDecide,
    /// The transaction may or may not have been applied.
    #[error("the write was not confirmed by the key-value store: repeat the request")]
    WriteOutcomeUnknown,
    /// The write is durable, but another controller may already have reported a later state.
    #[error("the write was stored, but its confirmation came too late: repeat the request")]
    WriteAcknowledgedLate,
    /// The catalog has not been loaded, so it is unknown whether a job could run.
    #[error("the machine types have not been loaded yet")]
    MachineTypesUnknown,
    /// The store does not respond to this controller.
    #[error("the key-value store does not respond to this controller")]
    KvUnreachable,
    /// The records have not been loaded completely.
    #[error("the stored records are still being loaded")]
    CacheLoading,
    /// No read of the store completed in time.
    #[error("no read of the key-value store completed in time")]
    ReadBarrierTimeout,
    /// Too many operators' queries wait.
    #[error("too many operators' queries are waiting")]
    TooManyQueries,
    /// The rate limit of operators' queries is exhausted.
    #[error("too many operators' queries per second")]
    QueryRateExceeded,
    /// Another controller forwarded a query, but this one does not lead or holds too many queries. The text
    /// is sent between controllers and never reaches a client.
    #[error("does not lead, or too many questions")]
    ForwardedQueryRefused,
    /// The leader did not answer a forwarded query in time.
    #[error("the leader does not answer")]
    LeaderUnresponsive,
    /// Only a leader can answer the operator's query.
    #[error("there is no leader to answer the query")]
    NoLeaderForQuery,
    /// A worker's heartbeat arrived while no leader is known.
    #[error("no leader")]
    NoLeaderForHeartbeat,
    /// The leader must not renew the lease of the machine that sent a heartbeat.
    #[error("this controller must not renew the machine's lease now")]
    HeartbeatRejected,
    /// The run is being cancelled; its nodes can be rerun once the cancellation is complete.
    #[error("the run is being cancelled")]
    RunCancelling,
    /// Too many graph parts are stored without a commit.
    #[error("too many graph parts are stored without a commit")]
    UncommittedPartLimit,
    /// Too many nodes of accepted runs are stored.
    #[error("too many graph nodes are stored now")]
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
