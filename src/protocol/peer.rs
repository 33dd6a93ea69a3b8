//! Messages between controllers: length-prefixed frames that hold `rkyv` archives, which are validated on receipt.
//!
//! Controllers of different versions may exchange messages, so the order of variants and fields must not change.

use rkyv::{Archive, Deserialize, Serialize, rancor};

use super::operators::{MAX_PAGE_SIZE, OperatorRequest};
use crate::ids::JobId;

/// A message from one controller to another.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// The first frame of a connection, with the name of the controller that opened it.
    Hello { controller: String },
    /// The store has a change at this revision that the receiver should read. The receiver polls the store and replies
    /// with its read watermark.
    RevisionNotice { revision: u64 },
    /// Health beacon, sent once a second: whether the sender can reach the key-value store, how many workers recently
    /// sent it heartbeats although another controller leads (misdirected workers), and the sum of that number over the
    /// other controllers whose beacons the sender receives, excluding the receiver.
    HealthStatus { kv_reachable: bool, misdirected_workers: u32, misdirected_workers_elsewhere: u32 },
    /// The leader steps down and asks the receiver to become the leader.
    TransferLeadership,
    /// A client's query that only the leader can answer. Sent only if the operators' interface is enabled.
    Query { query_id: u64, query: LeaderQuery },
    /// The leader's response to a query, which the receiver forwards to the client.
    QueryResponse { query_id: u64, status: u16, retry_after_s: Option<u32>, body: Vec<u8> },
    /// The sender has read the stored records up to this revision, and its responses reflect at least that state.
    ReadWatermark { revision: u64 },
}

/// An operator's query that only the leader can answer.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum LeaderQuery {
    InspectJob { job: u64, after: Option<u32>, limit: u32 },
    ExplainJob { job: u64, task: Option<u32> },
    JobEvents { job: u64 },
}

impl OperatorRequest {
    /// Returns the query to forward to the leader; None if any controller can answer the request.
    pub fn to_leader_query(&self) -> Option<LeaderQuery> {
        Some(match self {
            OperatorRequest::InspectJob { id, after, limit } => {
                LeaderQuery::InspectJob { job: id.0, after: *after, limit: *limit as u32 }
            }
            OperatorRequest::ExplainJob { id, task } => LeaderQuery::ExplainJob { job: id.0, task: *task },
            OperatorRequest::JobEvents { id } => LeaderQuery::JobEvents { job: id.0 },
            OperatorRequest::ListJobs(_)
            | OperatorRequest::Status
            | OperatorRequest::Metrics
            | OperatorRequest::ListDagRuns(_)
            | OperatorRequest::InspectDagRun { .. } => return None,
        })
    }
}

impl From<&LeaderQuery> for OperatorRequest {
    fn from(query: &LeaderQuery) -> OperatorRequest {
        match query {
            LeaderQuery::InspectJob { job, after, limit } => OperatorRequest::InspectJob {
                id: JobId(*job),
                after: *after,
                limit: (*limit as usize).min(MAX_PAGE_SIZE),
            },
            LeaderQuery::ExplainJob { job, task } => {
                OperatorRequest::ExplainJob { id: JobId(*job), task: *task }
            }
            LeaderQuery::JobEvents { job } => OperatorRequest::JobEvents { id: JobId(*job) },
        }
    }
}

/// Largest payload of a frame, in bytes; a frame that announces a longer one is invalid.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Size of a frame's header, which holds the payload's length in bytes as a little-endian `u32`.
pub const FRAME_HEADER_BYTES: usize = 4;

/// Returns the frame of a message: the header and the archived message.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let bytes = rkyv::to_bytes::<rancor::Error>(message).unwrap_or_default();
    let mut frame = Vec::with_capacity(bytes.len() + FRAME_HEADER_BYTES);
    frame.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    frame.extend_from_slice(&bytes);
    frame
}

/// Returns the message in a frame's payload; None if the payload is not a valid archive.
pub fn decode(payload: &[u8]) -> Option<PeerMessage> {
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(payload.len());
    aligned.extend_from_slice(payload);
    rkyv::from_bytes::<PeerMessage, rancor::Error>(&aligned).ok()
}
