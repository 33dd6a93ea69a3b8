//! What controllers say to each other: short frames, `rkyv` inside, validated on receipt.

use rkyv::{Archive, Deserialize, Serialize, rancor};

#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum MeshMessage {
    /// First frame of a connection: which node is calling.
    Hello { node: String },
    /// Something was accepted or withdrawn at this revision; the leader may want to look.
    Poke { revision: u64 },
    /// Once a second: is the state service answering, and how many workers that
    /// belong to the leader have turned up here lately, or at nodes heard from here?
    Beat { state_ok: bool, strays: u32, hearsay: u32 },
    /// The leader resigns and would like the receiver to take over.
    Yield,
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
