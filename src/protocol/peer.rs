//! What controllers say to each other: short frames, `rkyv` inside, validated on receipt.

use rkyv::{Archive, Deserialize, Serialize, rancor};

use super::operators::{MAX_PAGE_SIZE, OperatorRequest};
use crate::ids::JobId;

#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// First frame of a connection: which node is calling.
    Hello { controller: String },
    /// Something was accepted or has ended at this revision; the receiver may want to look, and says how far it has read.
    RevisionNotice { revision: u64 },
    /// Once a second: is the state service answering, and how many workers that
    /// belong to the leader have turned up here lately, or at nodes heard from here?
    HealthStatus { kv_reachable: bool, misrouted_workers: u32, misrouted_workers_elsewhere: u32 },
    /// The leader resigns and would like the receiver to take over.
    TransferLeadership,
    /// A client asked what only the leader knows. Only said where the operators' interface is on.
    Query { query_id: u64, query: LeaderQuery },
    /// The leader's answer, ready to be passed on.
    QueryResponse { query_id: u64, status: u16, retry_after_s: Option<u32>, body: Vec<u8> },
    /// The sender has read the records up to this revision, and answers with nothing older.
    ReadWatermark { revision: u64 },
}

/// What operators may ask of the leader.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum LeaderQuery {
    InspectJob { job: u64, after: Option<u32>, limit: u32 },
    ExplainJob { job: u64, task: Option<u32> },
    JobEvents { job: u64 },
}

impl OperatorRequest {
    /// How the leader is asked, if only it can answer.
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
    fn from(question: &LeaderQuery) -> OperatorRequest {
        match question {
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

/// Largest frame that is read; anything above is taken for garbage.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

/// A frame is its length (4 bytes, little endian) and the archived message.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let bytes = rkyv::to_bytes::<rancor::Error>(message).unwrap_or_default();
    let mut frame = Vec::with_capacity(bytes.len() + 4);
    frame.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    frame.extend_from_slice(&bytes);
    frame
}

pub fn decode(payload: &[u8]) -> Option<PeerMessage> {
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(payload.len());
    aligned.extend_from_slice(payload);
    rkyv::from_bytes::<PeerMessage, rancor::Error>(&aligned).ok()
}
