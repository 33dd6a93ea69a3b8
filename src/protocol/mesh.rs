//! What controllers say to each other: short frames, `rkyv` inside, validated on receipt.

use rkyv::{Archive, Deserialize, Serialize, rancor};

use super::operators::{LARGEST_PAGE, OperatorRequest};
use crate::ids::JobId;

#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum MeshMessage {
    /// First frame of a connection: which node is calling.
    Hello { node: String },
    /// Something was accepted or has ended at this revision; the receiver may want to look, and says how far it has read.
    Notify { revision: u64 },
    /// Once a second: is the state service answering, and how many workers that
    /// belong to the leader have turned up here lately, or at nodes heard from here?
    Beat { state_ok: bool, misdirected: u32, misdirected_elsewhere: u32 },
    /// The leader resigns and would like the receiver to take over.
    Yield,
    /// A client asked what only the leader knows. Only said where the operators' interface is on.
    Ask { ask: u64, question: Question },
    /// The leader's answer, ready to be passed on.
    Told { ask: u64, status: u16, retry_after_s: Option<u32>, body: Vec<u8> },
    /// The sender has read the records up to this revision, and answers with nothing older.
    Read { revision: u64 },
}

/// What operators may ask of the leader.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum Question {
    Inspect { job: u64, after: Option<u32>, limit: u32 },
    Explain { job: u64, task: Option<u32> },
    Events { job: u64 },
}

impl OperatorRequest {
    /// How the leader is asked, if only it can answer.
    pub fn question(&self) -> Option<Question> {
        Some(match self {
            OperatorRequest::Inspect { id, after, limit } => {
                Question::Inspect { job: id.0, after: *after, limit: *limit as u32 }
            }
            OperatorRequest::Explain { id, task } => Question::Explain { job: id.0, task: *task },
            OperatorRequest::Events { id } => Question::Events { job: id.0 },
            OperatorRequest::List(_)
            | OperatorRequest::Status
            | OperatorRequest::Metrics
            | OperatorRequest::Runs(_)
            | OperatorRequest::Run { .. } => return None,
        })
    }
}

impl From<&Question> for OperatorRequest {
    fn from(question: &Question) -> OperatorRequest {
        match question {
            Question::Inspect { job, after, limit } => OperatorRequest::Inspect {
                id: JobId(*job),
                after: *after,
                limit: (*limit as usize).min(LARGEST_PAGE),
            },
            Question::Explain { job, task } => OperatorRequest::Explain { id: JobId(*job), task: *task },
            Question::Events { job } => OperatorRequest::Events { id: JobId(*job) },
        }
    }
}

/// Largest frame that is read; anything above is taken for garbage.
pub const LARGEST_FRAME: usize = 256 * 1024;

/// A frame is its length (4 bytes, little endian) and the archived message.
pub fn encode(message: &MeshMessage) -> Vec<u8> {
    let bytes = rkyv::to_bytes::<rancor::Error>(message).unwrap_or_default();
    let mut frame = Vec::with_capacity(bytes.len() + 4);
    frame.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    frame.extend_from_slice(&bytes);
    frame
}

pub fn decode(payload: &[u8]) -> Option<MeshMessage> {
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(payload.len());
    aligned.extend_from_slice(payload);
    rkyv::from_bytes::<MeshMessage, rancor::Error>(&aligned).ok()
}
