//! The controllers' decision logic: it receives events together with the current time and returns actions.
//! Nothing here performs I/O or reads a clock, and random numbers come only from a seed, so a run in virtual
//! time is reproducible.
//!
//! - [`controller`]: one controller, which dispatches events to the modules below;
//! - [`user_requests`], `graph_requests`, `config_requests`, `operator_queries`: clients' requests that wait for
//!   a read or a write of the store;
//! - [`kv_client`], [`read_watermarks`]: requests to the store, and the revision up to which each controller has read;
//! - [`leadership`], [`peers`]: leader election, and health beacons between controllers;
//! - [`leader`]: the duties of the leader alone: placing tasks, commanding workers, scaling the fleet.

mod config_requests;
pub mod controller;
mod controller_state;
mod graph_requests;
pub mod kv_client;
mod kv_mutations;
pub mod leader;
pub mod leadership;
mod operator_queries;
pub mod peers;
mod pending_request;
pub mod read_watermarks;
pub mod token_bucket;
mod unavailable;
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

/// The readings of both clocks at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    /// Monotonic time, in milliseconds.
    pub now: Millis,
    /// Time of day, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// Identifies an HTTP request from a client or worker that has not been answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InboundId(pub u64);

/// Identifies an HTTP request that this controller has sent and whose outcome is not known yet. The requests to the
/// key-value store are numbered in the order in which they are sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OutboundId(pub u64);

/// Something that happened and that a controller reacts to.
#[derive(Debug)]
pub enum Event {
    /// The periodic timer has fired.
    Tick,
    /// A user's request: submit, poll or cancel a job.
    User { inbound: InboundId, request: UserRequest },
    /// A worker's heartbeat.
    Heartbeat { inbound: InboundId, heartbeat: Heartbeat },
    /// The outcome of a request to the key-value store.
    Kv { outbound: OutboundId, outcome: HttpOutcome },
    /// The outcome of a request to the cloud provider.
    Cloud { outbound: OutboundId, outcome: HttpOutcome },
    /// The outcome of commands that were sent directly to a worker.
    WorkerCommands { outbound: OutboundId, outcome: HttpOutcome },
    /// A message from another controller.
    Peer { controller: String, message: PeerMessage },
    /// An operator's query.
    Operator { inbound: InboundId, request: OperatorRequest },
    /// A request to change a run of a graph.
    Graph { inbound: InboundId, request: DagRequest },
    /// A request to read or change the configuration.
    Config { inbound: InboundId, request: ConfigRequest },
}

impl Event {
    /// Returns the label of this kind of event in metrics.
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

/// Something that the transport does on behalf of a controller.
#[derive(Debug)]
pub enum Action {
    /// Answers an HTTP request.
    Respond { inbound: InboundId, response: HttpResponse },
    /// Sends a request to the key-value store.
    CallKv { outbound: OutboundId, request: KvRequest, timeout_ms: u64 },
    /// Sends a request to the cloud provider.
    CallCloud { outbound: OutboundId, request: CloudRequest, timeout_ms: u64 },
    /// Sends commands directly to a worker, without waiting for its next heartbeat.
    SendWorkerCommands { outbound: OutboundId, endpoint: String, request: HttpRequest, timeout_ms: u64 },
    /// Sends a message to another controller.
    SendPeerMessage { controller: String, message: PeerMessage },
}

impl Action {
    fn respond(inbound: InboundId, response: impl Into<HttpResponse>) -> Action {
        Action::Respond { inbound, response: response.into() }
    }
}
