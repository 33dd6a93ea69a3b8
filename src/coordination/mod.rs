//! Decisions. Events and the time go in, actions come out: no I/O, no clock,
//! seeded randomness, so that a run in virtual time repeats exactly.

pub mod config_requests;
pub mod controller;
pub mod graph_requests;
pub mod kv_client;
pub mod leader;
pub mod leadership;
pub mod operator_queries;
pub mod peers;
pub mod read_watermarks;
pub mod token_bucket;
pub mod user_requests;

use crate::ids::Millis;
use crate::protocol::cloud::CloudRequest;
use crate::protocol::config::ConfigRequest;
use crate::protocol::graphs::DagRequest;
use crate::protocol::kv::KvRequest;
use crate::protocol::operators::OperatorRequest;
use crate::protocol::peer::PeerMessage;
use crate::protocol::users::UserRequest;
use crate::protocol::workers::Heartbeat;
use crate::protocol::{HttpOutcome, HttpRequest, HttpResponse};

/// The two clocks: one that never jumps, and the time of day.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    pub now: Millis,
    pub wall_ms: u64,
}

/// An HTTP request that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InboundId(pub u64);

/// A request of ours that waits for its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OutboundId(pub u64);

#[derive(Debug)]
pub enum Event {
    Tick,
    User { inbound: InboundId, request: UserRequest },
    Heartbeat { inbound: InboundId, heartbeat: Heartbeat },
    Kv { outbound: OutboundId, outcome: HttpOutcome },
    Cloud { outbound: OutboundId, outcome: HttpOutcome },
    WorkerCommands { outbound: OutboundId, outcome: HttpOutcome },
    Peer { controller: String, message: PeerMessage },
    Operator { inbound: InboundId, request: OperatorRequest },
    Graph { inbound: InboundId, request: DagRequest },
    Config { inbound: InboundId, request: ConfigRequest },
}

impl Event {
    /// For measurements.
    pub fn name(&self) -> &'static str {
        match self {
            Event::Tick => "tick",
            Event::User { .. } => "user",
            Event::Heartbeat { .. } => "report",
            Event::Kv { .. } => "state",
            Event::Cloud { .. } => "cloud",
            Event::WorkerCommands { .. } => "orders",
            Event::Peer { .. } => "mesh",
            Event::Operator { .. } => "operator",
            Event::Graph { .. } => "graph",
            Event::Config { .. } => "config",
        }
    }
}

#[derive(Debug)]
pub enum Action {
    Respond { inbound: InboundId, response: HttpResponse },
    CallKv { outbound: OutboundId, request: KvRequest, timeout_ms: u64 },
    CallCloud { outbound: OutboundId, request: CloudRequest, timeout_ms: u64 },
    SendWorkerCommands { outbound: OutboundId, endpoint: String, request: HttpRequest, timeout_ms: u64 },
    SendPeerMessage { controller: String, message: PeerMessage },
}
