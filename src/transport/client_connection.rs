//! Targets of requests of our own, and the connections to them.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::coordination::{Event, OutboundId};
use crate::ids::Millis;
use crate::protocol::{HttpOutcome, HttpRequest};
use olivelatch_net::stream::BufferedStream;

/// The recipient of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Target {
    KvStore,
    Cloud,
    Worker(SocketAddr),
}

impl Target {
    /// Most connections to one target. The store gets enough of them that the renewal of a lease does not wait behind a
    /// transaction.
    pub(super) fn max_connections(self) -> usize {
        match self {
            Target::KvStore => 6,
            Target::Cloud => 2,
            Target::Worker(_) => 1,
        }
    }

    /// The event that reports the outcome of a request to it.
    pub(super) fn outcome_event(self, outbound: OutboundId, outcome: HttpOutcome) -> Event {
        match self {
            Target::KvStore => Event::Kv { outbound, outcome },
            Target::Cloud => Event::Cloud { outbound, outcome },
            Target::Worker(_) => Event::WorkerCommands { outbound, outcome },
        }
    }
}

/// A connection to a target.
pub(super) struct ClientConnection {
    pub(super) stream: BufferedStream,
    pub(super) target: Target,
    /// The request that waits for its response.
    pub(super) outbound: Option<OutboundId>,
    pub(super) last_active: Millis,
}

/// The connections to one target.
#[derive(Default)]
pub(super) struct ConnectionPool {
    /// Keys of connections without a request.
    pub(super) idle: Vec<usize>,
    /// Number of connections, idle or not.
    pub(super) open: usize,
    /// Requests that wait for a connection.
    pub(super) queue: VecDeque<(OutboundId, HttpRequest)>,
}

/// A request without an outcome.
#[derive(Clone, Copy)]
pub(super) struct Outstanding {
    pub(super) target: Target,
    /// The connection over which it was sent; None while it is queued.
    pub(super) connection: Option<usize>,
}

/// The result of looking for a connection.
pub(super) enum Acquired {
    Connection(usize),
    /// All connections that the target may have are in use.
    Busy,
    /// No connection is open, and none can be opened.
    Unavailable,
}
